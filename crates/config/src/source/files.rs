//! Reads a bundle's directory with size limits, and never reads files outside it.

use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Component, Path, PathBuf};

use zeroize::Zeroizing;

use crate::{CheckReport, Fault, FaultKind, Origin, SecretValue};

/// Maximum size of a bundle's file, in bytes (1 MiB; 2,000 routes take about half of it).
pub const MAX_FILE_BYTES: u64 = 1 << 20;
/// Maximum total size of a bundle's files, in bytes (8 MiB).
pub const MAX_BUNDLE_BYTES: u64 = 8 << 20;
/// Maximum number of files of a bundle.
pub const MAX_FILES: usize = 256;
/// Maximum size of a secret value, in bytes (8 KiB, the usual limit of a header line).
pub const MAX_SECRET_BYTES: u64 = 8 << 10;

/// One file of a bundle.
pub(super) struct SourceFile {
    /// Name relative to the directory.
    pub(super) name: String,
    /// Content.
    pub(super) text: String,
}

/// A bundle's directory with all symbolic links resolved.
pub(super) struct Directory {
    root: PathBuf,
}

impl Directory {
    pub(super) fn open(path: &Path) -> Result<Self, CheckReport> {
        let report = |error: io::Error| {
            let origin = whole_file(&path.to_string_lossy());
            CheckReport { faults: vec![Fault::of_file(origin, unreadable(&error))] }
        };
        let root = fs::canonicalize(path).map_err(report)?;
        Ok(Self { root })
    }

    /// Reads all `*.toml` files in the order of their names; returns a fault for each unusable file.
    pub(super) fn read(&self) -> (Vec<SourceFile>, Vec<Fault>) {
        let names = match self.file_names() {
            Ok(names) => names,
            Err(error) => return (Vec::new(), vec![self.directory_fault(unreadable(&error))]),
        };
        if names.is_empty() {
            return (Vec::new(), vec![self.directory_fault(FaultKind::NoFiles)]);
        }
        if names.len() > MAX_FILES {
            return (Vec::new(), vec![self.directory_fault(FaultKind::TooManyFiles { limit: MAX_FILES })]);
        }
        let mut files = Vec::new();
        let mut faults = Vec::new();
        let mut remaining = MAX_BUNDLE_BYTES;
        for path in names {
            let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            match self.read_text(&path, &mut remaining) {
                Ok(text) => files.push(SourceFile { name, text }),
                Err(kind) => faults.push(Fault::of_file(whole_file(&name), kind)),
            }
        }
        (files, faults)
    }

    /// Reads a secret's value from the file `path`, relative to the directory.
    pub(super) fn read_secret(&self, path: &str) -> Result<SecretValue, FaultKind> {
        let relative = Path::new(path);
        let is_plain = relative.components().all(|part| matches!(part, Component::Normal(_)));
        if path.is_empty() || !is_plain {
            return Err(FaultKind::ValueOutsideDirectory);
        }
        let resolved =
            fs::canonicalize(self.root.join(relative)).map_err(|error| unreadable_value(&error))?;
        if !self.holds_file(&resolved) {
            return Err(FaultKind::ValueOutsideDirectory);
        }
        let bytes =
            read_at_most(&resolved, MAX_SECRET_BYTES + 2).map_err(|error| unreadable_value(&error))?;
        parse_header_value(&bytes)
    }

    fn file_names(&self) -> io::Result<Vec<PathBuf>> {
        let mut paths = Vec::new();
        for entry in fs::read_dir(&self.root)? {
            let path = entry?.path();
            if path.extension().is_some_and(|extension| extension == "toml") {
                paths.push(path);
            }
            if paths.len() > MAX_FILES {
                break;
            }
        }
        paths.sort();
        Ok(paths)
    }

    fn read_text(&self, path: &Path, remaining: &mut u64) -> Result<String, FaultKind> {
        let resolved = fs::canonicalize(path).map_err(|error| unreadable(&error))?;
        if !self.holds_file(&resolved) {
            return Err(FaultKind::OutsideDirectory);
        }
        let bytes = read_at_most(&resolved, MAX_FILE_BYTES + 1).map_err(|error| unreadable(&error))?;
        let length = bytes.len() as u64;
        if length > MAX_FILE_BYTES {
            return Err(FaultKind::OversizeFile { limit: MAX_FILE_BYTES });
        }
        let left = remaining.checked_sub(length);
        *remaining = left.ok_or(FaultKind::OversizeBundle { limit: MAX_BUNDLE_BYTES })?;
        std::str::from_utf8(&bytes).map(str::to_owned).map_err(|_| FaultKind::NotUtf8)
    }

    /// Whether `resolved` is a regular file in the directory. Pipes and devices are not, so they are never
    /// opened.
    fn holds_file(&self, resolved: &Path) -> bool {
        resolved.starts_with(&self.root) && resolved.is_file()
    }

    fn directory_fault(&self, kind: FaultKind) -> Fault {
        Fault::of_file(whole_file(&self.root.to_string_lossy()), kind)
    }
}

/// Accepts one line of text that is valid as a header value; the line ending is not part of the value.
pub(super) fn parse_header_value(bytes: &[u8]) -> Result<SecretValue, FaultKind> {
    let line = bytes.strip_suffix(b"\n").unwrap_or(bytes);
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let is_printable = line.iter().all(|byte| matches!(byte, b' '..=b'~'));
    let has_space_at_end = line.first() == Some(&b' ') || line.last() == Some(&b' ');
    if line.is_empty() || line.len() as u64 > MAX_SECRET_BYTES || !is_printable || has_space_at_end {
        return Err(FaultKind::UnfitValue { limit: MAX_SECRET_BYTES });
    }
    Ok(SecretValue::new(line.to_vec()))
}

fn read_at_most(path: &Path, limit: u64) -> io::Result<Zeroizing<Vec<u8>>> {
    let mut bytes = Zeroizing::new(Vec::new());
    File::open(path)?.take(limit).read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn whole_file(name: &str) -> Origin {
    Origin { file: name.to_owned(), line: 0 }
}

fn unreadable(error: &io::Error) -> FaultKind {
    FaultKind::Unreadable { reason: error.kind().to_string() }
}

fn unreadable_value(error: &io::Error) -> FaultKind {
    FaultKind::UnreadableValue { reason: error.kind().to_string() }
}
