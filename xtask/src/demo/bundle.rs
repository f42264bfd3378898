//! The bundles of the demo: Gridwell's example, and a second version of it with one more route.

use std::fs;
use std::path::{Path, PathBuf};

use super::programs::repository_root;
use crate::error::XtaskError;
use crate::supervise::ScratchDirectory;

/// Name under which the bundle is submitted.
pub const BUNDLE: &str = "gridwell";

/// Path of the route that only the second version has.
pub const SECOND_VERSION_PATH: &str = "/search";

/// What the second version adds.
const ADDED_ROUTE: &str = r#"schema = 1

[[route]]
name = "archive-search"
service = "archive"
callers = ["web"]
path_prefix = "/search"
methods = ["GET"]
idempotent = true
class = "status"
timeout_millis = 3000
"#;

/// Folder of the example bundle.
pub fn first_version() -> PathBuf {
    repository_root().join("examples").join(BUNDLE)
}

/// Writes the second version into `scratch`; tells its folder.
///
/// # Errors
/// Fails when a file can't be read or written.
pub fn second_version(scratch: &ScratchDirectory) -> Result<PathBuf, XtaskError> {
    version_with("gridwell-second-version", ADDED_ROUTE, scratch)
}

/// Writes into `scratch` the version that differs from all others by the time limit of its added route.
///
/// # Errors
/// Fails when a file can't be read or written.
pub fn numbered_version(number: u64, scratch: &ScratchDirectory) -> Result<PathBuf, XtaskError> {
    let limit = format!("timeout_millis = {}", 3_000 + number);
    let route = ADDED_ROUTE.replace("timeout_millis = 3000", &limit);
    version_with(&format!("gridwell-version-{number}"), &route, scratch)
}

fn version_with(name: &str, route: &str, scratch: &ScratchDirectory) -> Result<PathBuf, XtaskError> {
    let folder = scratch.file(name);
    copy_folder(&first_version(), &folder)?;
    let added = folder.join("search.toml");
    fs::write(&added, route).map_err(XtaskError::file(&added))?;
    Ok(folder)
}

fn copy_folder(from: &Path, to: &Path) -> Result<(), XtaskError> {
    fs::create_dir_all(to).map_err(XtaskError::file(to))?;
    for entry in fs::read_dir(from).map_err(XtaskError::file(from))? {
        let source = entry.map_err(XtaskError::file(from))?.path();
        let target = to.join(source.file_name().unwrap_or_default());
        if source.is_dir() {
            copy_folder(&source, &target)?;
        } else {
            fs::copy(&source, &target).map_err(XtaskError::file(&source))?;
        }
    }
    Ok(())
}
