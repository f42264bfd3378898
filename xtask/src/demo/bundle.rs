//! Configuration bundles of the demo: the Gridwell example, and a second version with one more route.

use std::fs;
use std::path::{Path, PathBuf};

use super::programs::repository_root;
use crate::error::XtaskError;
use crate::supervise::ScratchDirectory;

/// Name under which the bundle is submitted.
pub const BUNDLE: &str = "gridwell";

/// Path of the route that only the second version has.
pub const SECOND_VERSION_PATH: &str = "/search";

/// Route file that the second version adds.
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

/// Directory of the example bundle.
pub fn first_version() -> PathBuf {
    repository_root().join("examples").join(BUNDLE)
}

/// Writes the second version into `scratch` and returns its directory.
///
/// # Errors
/// Fails when a file can't be read or written.
pub fn second_version(scratch: &ScratchDirectory) -> Result<PathBuf, XtaskError> {
    version_with("gridwell-second-version", ADDED_ROUTE, scratch)
}

/// Writes a version into `scratch` whose added route has a timeout derived from `number`, so that every
/// number gives a different bundle.
///
/// # Errors
/// Fails when a file can't be read or written.
pub fn numbered_version(number: u64, scratch: &ScratchDirectory) -> Result<PathBuf, XtaskError> {
    let limit = format!("timeout_millis = {}", 3_000 + number);
    let route = ADDED_ROUTE.replace("timeout_millis = 3000", &limit);
    version_with(&format!("gridwell-version-{number}"), &route, scratch)
}

fn version_with(name: &str, route: &str, scratch: &ScratchDirectory) -> Result<PathBuf, XtaskError> {
    let directory = scratch.file(name);
    copy_directory(&first_version(), &directory)?;
    let added = directory.join("search.toml");
    fs::write(&added, route).map_err(XtaskError::file(&added))?;
    Ok(directory)
}

fn copy_directory(from: &Path, to: &Path) -> Result<(), XtaskError> {
    fs::create_dir_all(to).map_err(XtaskError::file(to))?;
    for entry in fs::read_dir(from).map_err(XtaskError::file(from))? {
        let source = entry.map_err(XtaskError::file(from))?.path();
        let target = to.join(source.file_name().unwrap_or_default());
        if source.is_dir() {
            copy_directory(&source, &target)?;
        } else {
            fs::copy(&source, &target).map_err(XtaskError::file(&source))?;
        }
    }
    Ok(())
}
