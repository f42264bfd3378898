//! Entries with the location of their definition.

use umberpond_model::BundleName;

use super::{EntryKind, EntryName, Fault, FaultKind};
use crate::Origin;

/// An entry with the bundle, file and line that define it.
pub(super) struct Located<'a, T> {
    pub(super) bundle: Option<&'a BundleName>,
    pub(super) origin: &'a Origin,
    pub(super) value: &'a T,
}

impl<T> Located<'_, T> {
    /// Creates a fault of the entry `name`.
    pub(super) fn fault(&self, kind: EntryKind, name: &str, key: &str, fault: FaultKind) -> Fault {
        Fault {
            bundle: self.bundle.cloned(),
            origin: self.origin.clone(),
            entry: Some(EntryName { kind, name: name.to_owned() }),
            key: Some(key.to_owned()),
            kind: fault,
        }
    }
}
