//! One child process: its start, its ready line and the signals it gets.

use std::{
    env,
    fs::{self, File, OpenOptions},
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
    time::Duration,
};

use anyhow::{Context, anyhow, ensure};
use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};
use serde::de::DeserializeOwned;
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, ChildStdin, ChildStdout, Command},
    time::timeout,
};

use crate::role;

use super::Result;

/// Time that a process may take until its ready line.
const READY_BOUND: Duration = Duration::from_secs(20);
/// Bytes of a log that a diagnosis shows.
const TAIL_BYTES: usize = 4_000;

/// An executable that runs the roles of this package.
#[derive(Clone, Debug)]
pub struct Program {
    path: PathBuf,
    arguments: Vec<String>,
}

impl Program {
    /// The `standin` binary at a path.
    pub fn at(path: impl Into<PathBuf>) -> Program {
        Program { path: path.into(), arguments: Vec::new() }
    }

    /// The running executable, whose `main` calls [`role::reenter`] first.
    pub fn current() -> Result<Program> {
        let arguments = vec![role::ARGUMENT.to_string()];
        Ok(Program { path: env::current_exe()?, arguments })
    }
}

/// A child process. It is killed when dropped.
pub struct Process {
    child: Child,
    pid: Pid,
    ended: Option<ExitStatus>,
    log: PathBuf,
    /// Kept open: the child may write to it, or ends when its stdin closes.
    _pipes: (Option<ChildStdin>, BufReader<ChildStdout>),
}

impl Process {
    /// Starts a process and reads its ready line. Its stderr goes to a file named after it.
    pub(crate) async fn start<T: DeserializeOwned>(
        program: &Program,
        arguments: &[String],
        directory: &Path,
        name: &str,
    ) -> Result<(Process, T)> {
        let log = directory.join(format!("{name}.log"));
        let mut child = Command::new(&program.path)
            .args(&program.arguments)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(open_log(&log)?)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("can't start {}", program.path.display()))?;
        let pid = child.id().context("the process ended at once")?;
        let mut stdout = BufReader::new(child.stdout.take().context("stdout is not piped")?);
        let mut line = String::new();
        let read = timeout(READY_BOUND, stdout.read_line(&mut line)).await;
        read.map_err(|_| anyhow!("{name} was not ready in {READY_BOUND:?}"))??;
        let ready = serde_json::from_str(&line)
            .with_context(|| format!("{name} gave no ready line: {}", tail(&log)))?;
        let pipes = (child.stdin.take(), stdout);
        let pid = Pid::from_raw(pid as i32);
        Ok((Process { child, pid, ended: None, log, _pipes: pipes }, ready))
    }

    /// The process id.
    pub fn id(&self) -> i32 {
        self.pid.as_raw()
    }

    /// Whether the process has not been seen to end.
    pub fn is_running(&self) -> bool {
        self.ended.is_none()
    }

    /// Ends the process by SIGKILL and waits for its end.
    pub async fn kill(&mut self) -> Result<()> {
        if self.is_running() {
            self.child.kill().await?;
            self.ended = Some(self.child.wait().await?);
        }
        Ok(())
    }

    /// Stops the process by SIGSTOP.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a frozen process go on.
    pub fn wake(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks the process to stop by SIGTERM.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits for the end of the process.
    pub async fn wait(&mut self, bound: Duration) -> Result<ExitStatus> {
        if let Some(status) = self.ended {
            return Ok(status);
        }
        let status = timeout(bound, self.child.wait()).await;
        let status = status.map_err(|_| anyhow!("the process did not end in {bound:?}"))??;
        self.ended = Some(status);
        Ok(status)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        if self.ended.is_none() {
            self.ended = self.child.try_wait().ok().flatten();
        }
        self.ended.is_some()
    }

    /// The end of what the process wrote to stderr.
    pub fn log_tail(&self) -> String {
        tail(&self.log)
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        ensure!(self.is_running(), "the process has ended");
        Ok(signal::kill(self.pid, signal)?)
    }
}

fn open_log(path: &Path) -> Result<File> {
    Ok(OpenOptions::new().create(true).append(true).open(path)?)
}

fn tail(path: &Path) -> String {
    let bytes = fs::read(path).unwrap_or_default();
    let start = bytes.len().saturating_sub(TAIL_BYTES);
    String::from_utf8_lossy(&bytes[start..]).to_string()
}
