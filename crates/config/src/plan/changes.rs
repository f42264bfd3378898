//! Names of added, removed and changed entries.

use serde::Serialize;

use crate::{Entries, Record};

/// Changes of the entries of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Changes<K> {
    /// Only in the new snapshot.
    pub added: Vec<K>,
    /// Only in the old snapshot.
    pub removed: Vec<K>,
    /// In both snapshots, with different content.
    pub changed: Vec<K>,
}

impl<K> Default for Changes<K> {
    fn default() -> Self {
        Self { added: Vec::new(), removed: Vec::new(), changed: Vec::new() }
    }
}

impl<K: Ord + Clone> Changes<K> {
    /// Computes the changes between two sets of entries.
    pub(super) fn between<T: Record<Name = K>>(before: &Entries<T>, after: &Entries<T>) -> Self {
        let mut changes = Self::default();
        for (name, entry) in after {
            match before.get(name) {
                None => changes.added.push(name.clone()),
                Some(old) if old != entry => changes.changed.push(name.clone()),
                Some(_) => {}
            }
        }
        changes.removed.extend(before.keys().filter(|name| !after.contains_key(*name)).cloned());
        changes
    }
}
