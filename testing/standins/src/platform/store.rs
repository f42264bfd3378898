//! Objects by kind and name under one global revision.

use std::collections::BTreeMap;

use bytes::Bytes;
use thiserror::Error;

use super::event_log::{Event, EventLog, TooOld};

/// One object as it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Revision of its last change.
    pub version: u64,
    /// Its bytes, never looked into.
    pub bytes: Bytes,
}

/// A change that was not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ChangeRefused {
    /// Another version stands than the one named by the writer, or an object where none was expected.
    #[error("version {version} stands")]
    Conflict {
        /// Version that stands.
        version: u64,
    },
    /// No such object.
    #[error("no such object")]
    NotFound,
}

/// One page of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Revision at which the page was read; a watch from here misses nothing.
    pub revision: u64,
    /// Names and versions in the order of names.
    pub items: Vec<ListedObject>,
    /// Whether more names follow.
    pub more: bool,
}

/// An object in a list.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct ListedObject {
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: u64,
}

#[derive(Debug, Default)]
struct Kind {
    objects: BTreeMap<String, Object>,
    log: EventLog,
}

/// Every object, and the recent changes of each kind.
#[derive(Debug)]
pub struct Store {
    revision: u64,
    kinds: BTreeMap<String, Kind>,
    watch_window: usize,
}

impl Store {
    /// An empty store that keeps `watch_window` changes a kind.
    pub fn new(watch_window: usize) -> Self {
        Self { revision: 0, kinds: BTreeMap::new(), watch_window }
    }

    /// Revision of the last change of anything.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Sets how many changes a kind keeps for its watchers, from the next change on.
    pub fn set_watch_window(&mut self, changes: usize) {
        self.watch_window = changes;
        for kind in self.kinds.values_mut() {
            kind.log.truncate(changes);
        }
    }

    /// The object of that kind and name.
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.kinds.get(kind)?.objects.get(name)
    }

    /// At most `limit` names after `after`.
    pub fn list(&self, kind: &str, after: &str, limit: usize) -> Page {
        let mut items = Vec::new();
        let mut more = false;
        let objects = self.kinds.get(kind).map(|kind| &kind.objects);
        let following = objects.into_iter().flatten().filter(|(name, _)| name.as_str() > after);
        for (name, object) in following {
            if items.len() == limit {
                more = true;
                break;
            }
            items.push(ListedObject { name: name.clone(), version: object.version });
        }
        Page { revision: self.revision, items, more }
    }

    /// Creates an object; tells its version.
    ///
    /// # Errors
    /// [`ChangeRefused::Conflict`] if it exists.
    pub fn create(&mut self, kind: &str, name: &str, bytes: Bytes) -> Result<u64, ChangeRefused> {
        match self.get(kind, name) {
            Some(object) => Err(ChangeRefused::Conflict { version: object.version }),
            None => Ok(self.write(kind, name, Some(bytes))),
        }
    }

    /// Replaces an object whose version is `expected`; tells its new version.
    ///
    /// # Errors
    /// [`ChangeRefused`] if there is none, or if another version stands.
    pub fn replace(
        &mut self,
        kind: &str,
        name: &str,
        expected: u64,
        bytes: Bytes,
    ) -> Result<u64, ChangeRefused> {
        self.check_version(kind, name, expected)?;
        Ok(self.write(kind, name, Some(bytes)))
    }

    /// Deletes an object whose version is `expected`; tells the revision of the deletion.
    ///
    /// # Errors
    /// [`ChangeRefused`] if there is none, or if another version stands.
    pub fn delete(&mut self, kind: &str, name: &str, expected: u64) -> Result<u64, ChangeRefused> {
        self.check_version(kind, name, expected)?;
        Ok(self.write(kind, name, None))
    }

    /// Writes (or deletes) an object without any condition; tells the revision.
    pub fn write(&mut self, kind: &str, name: &str, bytes: Option<Bytes>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let entry = self.kinds.entry(kind.to_owned()).or_default();
        match &bytes {
            Some(bytes) => {
                entry.objects.insert(name.to_owned(), Object { version: revision, bytes: bytes.clone() });
            }
            None => {
                entry.objects.remove(name);
            }
        }
        entry.log.push(Event { revision, name: name.to_owned(), value: bytes }, self.watch_window);
        revision
    }

    /// Changes of a kind later than `after`, oldest first.
    ///
    /// # Errors
    /// [`TooOld`] when some of them are no longer kept.
    pub fn changes_after(&self, kind: &str, after: u64) -> Result<Vec<Event>, TooOld> {
        self.kinds.get(kind).map_or_else(|| Ok(Vec::new()), |kind| kind.log.after(after))
    }

    fn check_version(&self, kind: &str, name: &str, expected: u64) -> Result<(), ChangeRefused> {
        let object = self.get(kind, name).ok_or(ChangeRefused::NotFound)?;
        if object.version == expected {
            return Ok(());
        }
        Err(ChangeRefused::Conflict { version: object.version })
    }
}
