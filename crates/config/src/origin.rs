//! The location at which an entry is written, for faults that are found later.

use std::fmt;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// A file of a bundle and a line in it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
pub struct Origin {
    /// File name relative to the bundle's directory.
    pub file: String,
    /// Line number, starting at 1; 0 refers to the whole file.
    pub line: u32,
}

impl fmt::Display for Origin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => formatter.write_str(&self.file),
            line => write!(formatter, "{}:{line}", self.file),
        }
    }
}

/// A value with the location at which it is written. The origin is not part of the snapshot or its hash.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Sourced<T> {
    /// Location of the value.
    pub origin: Origin,
    /// The value.
    pub value: T,
}
