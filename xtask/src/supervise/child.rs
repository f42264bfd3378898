//! A supervised child process.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncBufReadExt, AsyncRead, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::ScratchDirectory;
use crate::error::XtaskError;

/// A running child process. Dropping it kills the process.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    lines: mpsc::UnboundedReceiver<String>,
    log: PathBuf,
}

impl ChildProcess {
    /// Starts `program` and copies its standard output and error to `<name>.log` in `scratch`.
    ///
    /// # Errors
    /// Fails when the program can't be started or the log can't be created.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        scratch: &ScratchDirectory,
    ) -> Result<Self, XtaskError> {
        let log = scratch.file(&format!("{name}.log"));
        let file = File::create(&log).map_err(XtaskError::file(&log))?;
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| XtaskError::Start { name: name.to_owned(), source })?;
        let (sender, lines) = mpsc::unbounded_channel();
        let file = Arc::new(Mutex::new(file));
        if let Some(output) = child.stdout.take() {
            tokio::spawn(copy_lines(output, Arc::clone(&file), sender.clone()));
        }
        if let Some(output) = child.stderr.take() {
            tokio::spawn(copy_lines(output, file, sender));
        }
        Ok(Self { name: name.to_owned(), child, lines, log })
    }

    /// Name of the process.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Path of the log file.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Reads lines of output until `find` returns a value, for at most `limit`.
    ///
    /// # Errors
    /// [`XtaskError::NotReady`] when the time limit passes or the output ends first.
    pub async fn wait_for_line<T>(
        &mut self,
        limit: Duration,
        mut find: impl FnMut(&str) -> Option<T>,
    ) -> Result<T, XtaskError> {
        let found = async {
            while let Some(line) = self.lines.recv().await {
                if let Some(found) = find(&line) {
                    return Some(found);
                }
            }
            None
        };
        let found = timeout(limit, found).await.ok().flatten();
        found.ok_or_else(|| XtaskError::NotReady { name: self.name.clone(), log: self.log.clone() })
    }

    /// Sends SIGTERM, which requests a graceful stop.
    ///
    /// # Errors
    /// Fails when the signal can't be sent.
    pub fn terminate(&self) -> Result<(), XtaskError> {
        self.send_signal(Signal::TERM)
    }

    /// Sends SIGHUP, on which a node reloads its settings.
    ///
    /// # Errors
    /// Fails when the signal can't be sent.
    pub fn hang_up(&self) -> Result<(), XtaskError> {
        self.send_signal(Signal::HUP)
    }

    /// Sends SIGKILL, which ends the process at once.
    ///
    /// # Errors
    /// Fails when the signal can't be sent.
    pub fn kill(&self) -> Result<(), XtaskError> {
        self.send_signal(Signal::KILL)
    }

    /// Sends SIGSTOP, which suspends the process; it can't handle or ignore the signal.
    ///
    /// # Errors
    /// Fails when the signal can't be sent.
    pub fn pause(&self) -> Result<(), XtaskError> {
        self.send_signal(Signal::STOP)
    }

    /// Sends SIGCONT, which resumes a suspended process.
    ///
    /// # Errors
    /// Fails when the signal can't be sent.
    pub fn resume(&self) -> Result<(), XtaskError> {
        self.send_signal(Signal::CONT)
    }

    /// Waits for at most `limit` until the process exits.
    ///
    /// # Errors
    /// [`XtaskError::NotExited`] when the process does not exit in time.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Result<ExitStatus, XtaskError> {
        match timeout(limit, self.child.wait()).await {
            Ok(Ok(status)) => Ok(status),
            Ok(Err(source)) => Err(XtaskError::ProcessControl { name: self.name.clone(), source }),
            Err(_) => Err(XtaskError::NotExited { name: self.name.clone(), log: self.log.clone() }),
        }
    }

    /// Waits for at most `limit` until the process exits, and checks that it exits with code 0.
    ///
    /// # Errors
    /// [`XtaskError::NotExited`] when the process does not exit in time, [`XtaskError::Failed`] when it exits
    /// with another code or by a signal.
    pub async fn wait_for_success(&mut self, limit: Duration) -> Result<(), XtaskError> {
        let status = self.wait_for_exit(limit).await?;
        if status.success() {
            return Ok(());
        }
        Err(XtaskError::Failed { name: self.name.clone(), status, log: self.log.clone() })
    }

    fn send_signal(&self, signal: Signal) -> Result<(), XtaskError> {
        let id = self.child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        // Without an id, the process has exited and was reaped. Its id may belong to another process by now.
        let Some(id) = id else {
            return Ok(());
        };
        kill_process(id, signal)
            .map_err(|error| XtaskError::ProcessControl { name: self.name.clone(), source: error.into() })
    }
}

async fn copy_lines(
    output: impl AsyncRead + Unpin,
    log: Arc<Mutex<File>>,
    sender: mpsc::UnboundedSender<String>,
) {
    let mut lines = BufReader::new(output).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
        // A failed write, for example on a full disk, must not stop the child process.
        let _ = writeln!(log, "{line}");
        drop(log);
        let _ = sender.send(line);
    }
}
