//! Faults of bundles: location, description and suggested correction.

use std::fmt;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use umberpond_model::BundleName;

use super::FaultKind;
use crate::Origin;

/// Maximum number of characters printed of one part of a fault.
const MAX_SHOWN_CHARACTERS: usize = 300;

/// Kind of an entry of a bundle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryKind {
    /// A region and its zones.
    Region,
    /// A service.
    Service,
    /// A route.
    Route,
    /// A secret.
    Secret,
}

impl EntryKind {
    /// The kind's name in bundle files.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Region => "region",
            Self::Service => "service",
            Self::Route => "route",
            Self::Secret => "secret",
        }
    }
}

impl fmt::Display for EntryKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The entry in which a fault was found.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryName {
    /// Kind of the entry.
    pub kind: EntryKind,
    /// Name of the entry as written in the file.
    pub name: String,
}

impl fmt::Display for EntryName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} `{}`", self.kind, self.name)
    }
}

/// One fault of a bundle or of the joined configuration. Never contains a secret value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Error, Serialize, Deserialize)]
pub struct Fault {
    /// Bundle that contains the fault; absent while a bundle has no name yet.
    pub bundle: Option<BundleName>,
    /// File and line.
    pub origin: Origin,
    /// Entry that contains the fault, if any.
    pub entry: Option<EntryName>,
    /// Faulty key of the entry, if the fault concerns a single key.
    pub key: Option<String>,
    /// What is wrong.
    pub kind: FaultKind,
}

impl Fault {
    /// Creates a fault of a file that belongs to no entry.
    #[must_use]
    pub const fn of_file(origin: Origin, kind: FaultKind) -> Self {
        Self { bundle: None, origin, entry: None, key: None, kind }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(bundle) = &self.bundle {
            write!(formatter, "bundle `{bundle}`, ")?;
        }
        write!(formatter, "{}: ", printable(&self.origin.to_string()))?;
        if let Some(entry) = &self.entry {
            write!(formatter, "{} `{}`: ", entry.kind, printable(&entry.name))?;
        }
        if let Some(key) = &self.key {
            write!(formatter, "`{}`: ", printable(key))?;
        }
        formatter.write_str(&printable(&self.kind.to_string()))
    }
}

/// Prepares text of a file for output on a terminal: replaces control characters and limits the length.
fn printable(text: &str) -> String {
    let shown = text.chars().take(MAX_SHOWN_CHARACTERS);
    shown
        .map(|character| if character.is_control() { char::REPLACEMENT_CHARACTER } else { character })
        .collect()
}

impl Diagnostic for Fault {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.kind.suggestion()))
    }
}
