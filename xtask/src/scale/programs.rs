//! The programs of a scale run.

use std::path::PathBuf;
use std::process::Stdio;

use tokio::process::Command;

use crate::demo::programs::{Programs, repository_root};
use crate::error::XtaskError;

/// Paths of the built programs.
#[derive(Debug)]
pub struct ScalePrograms {
    /// Those of the demo.
    pub common: Programs,
    /// Many control halves in one process.
    pub hollow_nodes: PathBuf,
}

impl ScalePrograms {
    /// Builds all of them for release.
    ///
    /// # Errors
    /// Fails when Cargo does.
    pub async fn build() -> Result<Self, XtaskError> {
        const CARGO: &str = "cargo build";
        let common = Programs::build().await?;
        let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
        let status = Command::new(cargo)
            .args(["build", "--release", "--package", "umberpond-hollow"])
            .current_dir(repository_root())
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .status()
            .await
            .map_err(|source| XtaskError::Start { name: CARGO.to_owned(), source })?;
        if !status.success() {
            return Err(XtaskError::Failed { name: CARGO.to_owned(), status, log: PathBuf::from("above") });
        }
        let hollow_nodes = common.umberpond.with_file_name("hollow-nodes");
        Ok(Self { common, hollow_nodes })
    }
}
