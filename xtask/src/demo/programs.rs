//! Builds the programs of the demo in release mode and locates them.

use std::path::{Path, PathBuf};
use std::process::Stdio;

use tokio::process::Command;

use crate::error::XtaskError;

/// Paths of the built programs.
#[derive(Debug)]
pub struct Programs {
    /// The daemon and command line tool.
    pub umberpond: PathBuf,
    /// The platform stand-in.
    pub platform: PathBuf,
    /// The back end stand-in.
    pub backend: PathBuf,
    /// The caller stand-in.
    pub caller: PathBuf,
}

impl Programs {
    /// Builds all programs; Cargo's output goes to the terminal.
    ///
    /// # Errors
    /// Fails when Cargo can't be started or the build fails.
    pub async fn build() -> Result<Self, XtaskError> {
        const CARGO: &str = "cargo build";
        let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
        let status = Command::new(cargo)
            .args(["build", "--release", "--package", "umberpond", "--package", "umberpond-standins"])
            .current_dir(repository_root())
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .status()
            .await
            .map_err(|source| XtaskError::Start { name: CARGO.to_owned(), source })?;
        if !status.success() {
            return Err(XtaskError::Failed { name: CARGO.to_owned(), status, log: PathBuf::from("above") });
        }
        let directory = release_directory()?;
        Ok(Self {
            umberpond: directory.join("umberpond"),
            platform: directory.join("standin-platform"),
            backend: directory.join("standin-backend"),
            caller: directory.join("standin-caller"),
        })
    }
}

/// Root directory of the repository.
pub fn repository_root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap_or_else(|| Path::new("."))
}

/// Directory of release builds. It is derived from the path of this program, so that a changed target
/// directory is respected.
fn release_directory() -> Result<PathBuf, XtaskError> {
    let own = std::env::current_exe().map_err(XtaskError::file("xtask"))?;
    let target = own.ancestors().nth(2).unwrap_or_else(|| Path::new("target"));
    Ok(target.join("release"))
}
