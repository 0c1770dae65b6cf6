//! The entry program as a process that is signalled by its id.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
};

use anyhow::Context as _;
use bluebell_adapter::SETTINGS_VARIABLE;
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

/// A process that this soak started.
#[derive(Debug)]
pub struct EntryProcess {
    child: Child,
    /// Whether a signal that ends it was sent.
    is_ending: bool,
}

impl EntryProcess {
    /// Starts `program` with the settings file; its log is appended to `log`.
    pub fn start(program: &Path, settings: &Path, log: &Path) -> anyhow::Result<EntryProcess> {
        let output = File::options().create(true).append(true).open(log)?;
        let errors = output.try_clone()?;
        let child = Command::new(program)
            .env(SETTINGS_VARIABLE, settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("failed to start `{}`", program.display()))?;
        Ok(EntryProcess {
            child,
            is_ending: false,
        })
    }

    /// Sends a signal; to a process that has ended already, nothing.
    pub fn signal(&mut self, signal: Signal) {
        self.is_ending |= signal == Signal::KILL || signal == Signal::TERM;
        // A child that was waited for has no id any more, so no other process can
        // be hit.
        let id = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        if let Some(id) = id
            && let Err(error) = kill_process(id, signal)
        {
            eprintln!("event=signal_failed signal={signal:?} error=\"{error}\"");
        }
    }

    /// Waits for its end.
    pub async fn wait(&mut self) -> std::io::Result<ExitStatus> {
        self.child.wait().await
    }

    /// How it ended, if it did so by itself.
    pub fn own_end(&mut self) -> Option<ExitStatus> {
        if self.is_ending {
            return None;
        }
        self.child.try_wait().ok().flatten()
    }
}

/// The entry program beside this one, as the workspace builds it.
pub fn program_path() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let candidates = folders.map(|folder| folder.join("bluebell-ingress"));
    let found = candidates.into_iter().find(|path| path.exists());
    found.context(
        "`bluebell-ingress` is not beside this program; build it with `cargo build --bins`",
    )
}
