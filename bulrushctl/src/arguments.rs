//! The command line.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// Printed below the help.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no node reached, \
    4 another change came first, 5 not possible now, 6 accepted but not in force in time";

/// Operates bulrushspread and submits batch jobs.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(EXIT_CODES))]
pub struct Arguments {
    /// Prints JSON instead of text.
    pub json: bool,
    /// A node's listener for operators.
    #[bpaf(long, env("BULRUSHCTL_SERVER"), argument("ADDRESS:PORT"), optional)]
    pub server: Option<SocketAddr>,
    /// The operator's token.
    #[bpaf(long, env("BULRUSHCTL_TOKEN"), argument("TOKEN"), optional)]
    pub token: Option<String>,
    /// A node's listener for callers.
    #[bpaf(long, env("BULRUSHCTL_GATEWAY"), argument("ADDRESS:PORT"), optional)]
    pub gateway: Option<SocketAddr>,
    /// The caller's key.
    #[bpaf(long, env("BULRUSHCTL_KEY"), argument("KEY"), optional)]
    pub key: Option<String>,
    #[bpaf(external)]
    pub command: Command,
}

#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Reads and changes the environment document.
    #[bpaf(command)]
    Config {
        #[bpaf(external)]
        config: Config,
    },
    /// Lists the nodes that are alive.
    #[bpaf(command)]
    Members,
    /// Lists the upstreams.
    #[bpaf(command)]
    Upstreams,
    /// Shows where the node stands.
    #[bpaf(command)]
    Health,
    /// Uploads files.
    #[bpaf(command)]
    File {
        #[bpaf(external)]
        file: File,
    },
    /// Submits, watches and cancels batch jobs.
    #[bpaf(command)]
    Job {
        #[bpaf(external)]
        job: Job,
    },
}

/// Names the piece of a team.
#[derive(Clone, Debug, Bpaf)]
pub struct Place {
    /// The environment, such as trial or production.
    #[bpaf(long, argument("NAME"))]
    pub environment: String,
    /// The team that owns the piece.
    #[bpaf(long, argument("NAME"))]
    pub team: String,
}

#[derive(Clone, Debug, Bpaf)]
pub enum Config {
    /// Prints the document of an environment.
    #[bpaf(command)]
    Get {
        /// The environment, such as trial or production.
        #[bpaf(long, argument("NAME"))]
        environment: String,
    },
    /// Publishes the piece in FILE.
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        place: Place,
        /// The version that is replaced; the one in force where it is not given.
        #[bpaf(long, argument("VERSION"), optional)]
        base: Option<u64>,
        /// Who is named as the author.
        #[bpaf(long, argument("NAME"), optional)]
        author: Option<String>,
        /// Checks only and changes nothing.
        dry_run: bool,
        /// Waits until every live node has the change in force.
        wait: bool,
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Checks a configuration of the platform without a node.
    ///
    /// Exit codes: 0 clean, 1 errors or, with --strict, warnings, 2 a file can't be read.
    #[bpaf(command)]
    Check {
        /// The version in force, to show what differs from it.
        #[bpaf(long, argument("VERSION_FILE"), optional)]
        against: Option<PathBuf>,
        /// Warnings count as errors.
        strict: bool,
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows how the piece in FILE differs from the one in force.
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        place: Place,
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Replaces the document of an environment by that of another.
    #[bpaf(command)]
    Promote {
        /// The environment that is promoted.
        #[bpaf(long, argument("NAME"), fallback("trial".to_string()))]
        from: String,
        /// The environment that is replaced.
        #[bpaf(long, argument("NAME"), fallback("production".to_string()))]
        to: String,
        /// The version that is promoted; the one in force where it is not given.
        #[bpaf(long, argument("VERSION"), optional)]
        version: Option<u64>,
        /// The version that is replaced; the one in force where it is not given.
        #[bpaf(long, argument("VERSION"), optional)]
        base: Option<u64>,
        /// Who is named as the author.
        #[bpaf(long, argument("NAME"), optional)]
        author: Option<String>,
        /// Waits until every live node has the change in force.
        wait: bool,
    },
    /// Lists the latest changes of an environment.
    #[bpaf(command)]
    History {
        /// The environment, such as trial or production.
        #[bpaf(long, argument("NAME"))]
        environment: String,
    },
}

#[derive(Clone, Debug, Bpaf)]
pub enum File {
    /// Uploads FILE, one JSON object a line.
    #[bpaf(command)]
    Upload {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

#[derive(Clone, Debug, Bpaf)]
pub enum Job {
    /// Uploads FILE and creates a job of its lines.
    #[bpaf(command)]
    Submit {
        /// The path of every item.
        #[bpaf(long, argument("PATH"), fallback("/v1/chat/completions".to_string()))]
        endpoint: String,
        /// Time until the job is due, such as 8h, 90m or 30s.
        #[bpaf(long, argument("SPAN"), fallback("8h".to_string()))]
        window: String,
        /// Names the job, so that submitting it again creates no second one.
        #[bpaf(long, argument("KEY"), optional)]
        idempotency_key: Option<String>,
        /// No item may run twice.
        at_most_once: bool,
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows a job.
    #[bpaf(command)]
    Get {
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Lists the workspace's jobs.
    #[bpaf(command)]
    List,
    /// Cancels a job.
    #[bpaf(command)]
    Cancel {
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Follows a job to its end.
    #[bpaf(command)]
    Watch {
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Prints the results of a job that has ended, one JSON object a line.
    #[bpaf(command)]
    Results {
        /// Prints the items that failed for good.
        errors: bool,
        #[bpaf(positional("JOB"))]
        job: String,
    },
}
