//! One program run as a process of its own.

use std::{
    fs::{self, File},
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
};

use anyhow::{Context, bail};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tempfile::TempDir;
use tokio::{
    io::{AsyncBufReadExt, BufReader, Lines},
    process::{Child, ChildStdout, Command},
    time::timeout,
};

use crate::wait::EVENT_LIMIT;

/// The addresses that a program prints once it listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Where it answers HTTP, as `ip:port`.
    pub http: String,
    /// Where it takes peer connections, if it does.
    pub peer: Option<String>,
}

impl ListenAddresses {
    /// Parses the line `listening http=… peer=…`.
    pub fn parse(line: &str) -> Option<ListenAddresses> {
        let pairs = line.strip_prefix("listening ")?;
        let value = |name: &str| {
            let pair = pairs.split(' ').find_map(|pair| pair.strip_prefix(name));
            pair.map(|value| value.trim().to_string())
        };
        Some(ListenAddresses {
            http: value("http=")?,
            peer: value("peer="),
        })
    }
}

/// A running program. It is killed by its process id when this is dropped, also
/// when the test panics.
#[derive(Debug)]
pub struct ProgramProcess {
    name: String,
    child: Child,
    pid: Pid,
    addresses: ListenAddresses,
    files: TempDir,
    _stdout: Lines<BufReader<ChildStdout>>,
}

/// The built program called `name`, beside the running test.
pub fn program_path(name: &str) -> anyhow::Result<PathBuf> {
    let test = std::env::current_exe().context("failed to find the running test")?;
    let profile = test
        .ancestors()
        .find(|folder| folder.join(name).is_file())
        .map(Path::to_path_buf);
    let profile = profile.with_context(|| {
        format!("no `{name}` beside the tests: run `cargo build --workspace --bins` first")
    })?;
    Ok(profile.join(name))
}

impl ProgramProcess {
    /// Runs the program called `name` with these settings, and waits until it
    /// listens.
    pub async fn start(name: &str, settings: &str) -> anyhow::Result<ProgramProcess> {
        let files = TempDir::new().context("failed to create a folder for settings")?;
        let path = files.path().join("settings.toml");
        fs::write(&path, settings).with_context(|| format!("failed to write `{path:?}`"))?;
        let log = File::create(files.path().join("log"))?;
        let mut child = Command::new(program_path(name)?)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("failed to run `{name}`"))?;
        let pid = child.id().context("the child has just been started")?;
        let stdout = child.stdout.take().context("stdout is piped")?;
        let mut lines = BufReader::new(stdout).lines();
        let line = timeout(EVENT_LIMIT, lines.next_line()).await;
        let line = line.ok().and_then(Result::ok).flatten();
        let addresses = line.as_deref().and_then(ListenAddresses::parse);
        let Some(addresses) = addresses else {
            let log = fs::read_to_string(files.path().join("log")).unwrap_or_default();
            bail!("`{name}` does not listen; it printed {line:?} and logged:\n{log}");
        };
        Ok(ProgramProcess {
            name: name.to_string(),
            child,
            pid: Pid::from_raw(pid as i32),
            addresses,
            files,
            _stdout: lines,
        })
    }

    /// Where it answers HTTP, as `ip:port`.
    pub fn http(&self) -> &str {
        &self.addresses.http
    }

    /// Where it takes peer connections, if it does.
    pub fn peer(&self) -> Option<&str> {
        self.addresses.peer.as_deref()
    }

    /// What it logged so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.files.path().join("log")).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        kill(self.pid, signal)
            .with_context(|| format!("failed to send {signal} to `{}`", self.name))
    }

    /// Asks it to end (SIGTERM).
    pub fn terminate(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Kills it (SIGKILL).
    pub fn kill(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGKILL)
    }

    /// Freezes it (SIGSTOP).
    pub fn pause(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets it go on (SIGCONT).
    pub fn resume(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Waits until it has ended.
    pub async fn ended(&mut self) -> anyhow::Result<ExitStatus> {
        let ended = timeout(EVENT_LIMIT, self.child.wait()).await;
        let ended = ended.with_context(|| format!("`{}` does not end", self.name))?;
        Ok(ended?)
    }
}
