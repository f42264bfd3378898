//! A temporary directory for settings and logs.

use std::fs;
use std::path::{Path, PathBuf};

use crate::error::XtaskError;

/// A temporary directory that is removed when this value is dropped, unless [`Self::keep`] was called.
#[derive(Debug)]
pub struct ScratchDirectory {
    path: PathBuf,
    is_kept: bool,
}

impl ScratchDirectory {
    /// Creates a directory named after `task` and the process id in the system's temporary directory.
    ///
    /// # Errors
    /// Fails when the directory can't be created.
    pub fn create(task: &str) -> Result<Self, XtaskError> {
        let path = std::env::temp_dir().join(format!("umberpond-{task}-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(XtaskError::file(&path))?;
        Ok(Self { path, is_kept: false })
    }

    /// Path of the directory.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Path of the file `name` in the directory.
    #[must_use]
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Writes the file `name` in the directory and returns its path.
    ///
    /// # Errors
    /// Fails when the file can't be written.
    pub fn write(&self, name: &str, content: impl AsRef<[u8]>) -> Result<PathBuf, XtaskError> {
        let path = self.file(name);
        fs::write(&path, content).map_err(XtaskError::file(&path))?;
        Ok(path)
    }

    /// Keeps the directory after this value is dropped.
    pub const fn keep(&mut self) {
        self.is_kept = true;
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        if !self.is_kept {
            // A failed removal does no harm: the system clears its temporary directory.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
