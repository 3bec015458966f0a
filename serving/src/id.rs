//! Identifier types that all modules share. Each is a newtype with `Display` and `FromStr`.

use std::{convert::Infallible, fmt, str::FromStr};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

macro_rules! string_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Infallible;

            fn from_str(text: &str) -> Result<$name, Infallible> {
                Ok($name(text.to_string()))
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> $name {
                $name(text.to_string())
            }
        }
    )*};
}

macro_rules! number_ids {
    ($($(#[$doc:meta])* $name:ident($repr:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<$name, std::num::ParseIntError> {
                text.parse().map($name)
            }
        }
    )*};
}

string_ids! {
    /// A virtual machine: an entry VM, which runs this daemon, or a VM that runs upstreams.
    Vm;
    /// A data centre. Traffic between data centres is slower and more expensive than within one.
    DataCentre;
    /// A customer's workspace: the unit of rate limits, fair sharing and isolation.
    Workspace;
    /// One backend instance: a replica of a deployment or of a plain service.
    Upstream;
    /// Software version of an upstream. Versions have no order, and what upstreams of two versions
    /// write doesn't fit together.
    Version;
    /// A group of interchangeable upstreams that serve one model.
    Deployment;
    /// A plain service, or the name by which callers address one.
    Service;
    /// The name of a model in requests. An adapter is written `model:adapter`.
    Model;
    /// A team that owns one section of an environment's configuration document.
    Team;
    /// An environment, such as `trial` or `production`.
    Environment;
    /// A route in the configuration.
    Route;
    /// A batch job.
    Job;
    /// An uploaded file or a results file.
    File;
    /// A stream of the platform's log service.
    Stream;
}

number_ids! {
    /// The position of a record in its stream.
    Offset(u64);
    /// A number that grows with each claim of a partition; the highest claim owns the partition.
    Epoch(u64);
    /// A partition of the batch jobs. Each partition has a stream of its own and at most one owner.
    Partition(u16);
    /// One run of a process. Each restart on the same VM has a greater incarnation.
    Incarnation(u64);
    /// The index of an item in its job, counted from zero.
    Item(u32);
    /// One run of an upstream's process: a hash of the upstream's id and the start of the process.
    Process(u32);
}

impl Job {
    /// The id under which nodes keep the job that callers name `id`: another one in each workspace,
    /// and `id` itself without a workspace, so that no caller can name a job of another workspace.
    pub fn scoped(workspace: Option<&Workspace>, id: &str) -> Job {
        let Some(workspace) = workspace else {
            // Submitted ids hold no slash. One that does names no job, and must not name one of a
            // workspace.
            let separator = if id.contains('/') { "/" } else { "" };
            return Job(format!("{separator}{id}"));
        };
        let digest = Sha256::digest(workspace.0.as_bytes());
        let (scope, _) = digest.split_at(SCOPE_BYTES);
        let scope: String = scope.iter().map(|byte| format!("{byte:02x}")).collect();
        Job(format!("{scope}/{id}"))
    }

    /// What decides on the partition of the job. All jobs of a workspace share one, so that its owner
    /// knows all tokens that wait for the workspace.
    pub(crate) fn partition_key(&self) -> &str {
        self.0.split_once('/').map_or(&self.0, |(scope, _)| scope)
    }
}

/// Bytes of the digest of a workspace's name in the ids of its jobs. Names of any length leave room
/// for the job's own id in a key of the log.
const SCOPE_BYTES: usize = 16;

impl Process {
    /// `started` is the start of the process in Unix milliseconds.
    pub fn of(upstream: &Upstream, started: u64) -> Process {
        Process(xxh3_64_with_seed(upstream.0.as_bytes(), started) as u32)
    }
}
