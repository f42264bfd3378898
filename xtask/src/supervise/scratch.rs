//! A temporary folder for settings and logs.

use std::fs;
use std::path::{Path, PathBuf};

use crate::error::XtaskError;

/// A folder that is removed with this value, unless it is to be kept.
#[derive(Debug)]
pub struct ScratchDirectory {
    path: PathBuf,
    is_kept: bool,
}

impl ScratchDirectory {
    /// Creates a folder of this process in the system's temporary folder.
    ///
    /// # Errors
    /// Fails when the folder can't be created.
    pub fn create(task: &str) -> Result<Self, XtaskError> {
        let path = std::env::temp_dir().join(format!("umberpond-{task}-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(XtaskError::file(&path))?;
        Ok(Self { path, is_kept: false })
    }

    /// Path of the folder.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Path of a file in it.
    #[must_use]
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Writes a file in it; tells its path.
    ///
    /// # Errors
    /// Fails when the file can't be written.
    pub fn write(&self, name: &str, content: impl AsRef<[u8]>) -> Result<PathBuf, XtaskError> {
        let path = self.file(name);
        fs::write(&path, content).map_err(XtaskError::file(&path))?;
        Ok(path)
    }

    /// Keeps the folder after this value is dropped.
    pub const fn keep(&mut self) {
        self.is_kept = true;
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        if !self.is_kept {
            // Nothing depends on the removal; the system clears its temporary folder.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
