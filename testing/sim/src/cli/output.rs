//! Writing results.

use std::path::Path;

use serde::Serialize;

/// Writes `value` as JSON; tells on standard error if that fails.
pub fn write_json(file: &Path, value: &impl Serialize) -> bool {
    let written = serde_json::to_vec_pretty(value)
        .map_err(std::io::Error::from)
        .and_then(|bytes| std::fs::write(file, bytes));
    if let Err(error) = &written {
        eprintln!("{} could not be written: {error}", file.display());
    }
    written.is_ok()
}
