//! The report of one check: all its faults as one diagnostic.

use std::fmt;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::Fault;

/// All faults found by one check, ordered by bundle, file and line. Never empty.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub struct CheckReport {
    /// The faults.
    pub faults: Vec<Fault>,
}

impl CheckReport {
    /// Creates a report of `faults`; `None` if there are none.
    #[must_use]
    pub fn of(mut faults: Vec<Fault>) -> Option<Self> {
        faults.sort();
        faults.dedup();
        (!faults.is_empty()).then_some(Self { faults })
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.faults.len() {
            1 => formatter.write_str("1 fault; nothing was changed"),
            count => write!(formatter, "{count} faults; nothing was changed"),
        }
    }
}

impl Diagnostic for CheckReport {
    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(self.faults.iter().map(|fault| fault as &dyn Diagnostic)))
    }
}
