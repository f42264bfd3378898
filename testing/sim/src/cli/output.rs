//! Writes results to files.

use std::path::Path;

use serde::Serialize;

/// Writes `value` as JSON and returns whether that succeeded. Errors are printed to standard error.
pub fn write_json(file: &Path, value: &impl Serialize) -> bool {
    let written = serde_json::to_vec_pretty(value)
        .map_err(std::io::Error::from)
        .and_then(|bytes| std::fs::write(file, bytes));
    if let Err(error) = &written {
        eprintln!("failed to write {}: {error}", file.display());
    }
    written.is_ok()
}
