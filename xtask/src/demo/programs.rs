//! The programs of the demo: built for release and found beside this one.

use std::path::{Path, PathBuf};
use std::process::Stdio;

use tokio::process::Command;

use crate::error::XtaskError;

/// Paths of the built programs.
#[derive(Debug)]
pub struct Programs {
    /// The daemon and its command line.
    pub umberpond: PathBuf,
    /// The platform stand-in.
    pub platform: PathBuf,
    /// The back end stand-in.
    pub backend: PathBuf,
    /// The caller stand-in.
    pub caller: PathBuf,
}

impl Programs {
    /// Builds all of them, with Cargo's own output on the terminal.
    ///
    /// # Errors
    /// Fails when Cargo does.
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
        let folder = release_directory()?;
        Ok(Self {
            umberpond: folder.join("umberpond"),
            platform: folder.join("standin-platform"),
            backend: folder.join("standin-backend"),
            caller: folder.join("standin-caller"),
        })
    }
}

/// Root of the repository.
pub fn repository_root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap_or_else(|| Path::new("."))
}

/// Folder of release builds: beside that of this program, which follows a changed target folder.
fn release_directory() -> Result<PathBuf, XtaskError> {
    let own = std::env::current_exe().map_err(XtaskError::file("xtask"))?;
    let target = own.ancestors().nth(2).unwrap_or_else(|| Path::new("target"));
    Ok(target.join("release"))
}
