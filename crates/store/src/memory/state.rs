//! The in-memory platform's objects and their history.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use bytes::Bytes;
use tokio::sync::watch;

use crate::{
    ListItem, ListPage, Object, ObjectKind, ObjectVersion, PlatformError, Revision, WatchError, WatchEvent,
};

/// Number of changes kept for watches unless a test sets a lower limit.
const DEFAULT_WINDOW: usize = 100_000;

/// A conditional change. Without an expected version it creates the object, without a value it deletes it.
#[derive(Debug, Clone)]
pub(super) struct Change {
    pub(super) kind: ObjectKind,
    pub(super) name: String,
    pub(super) expected: Option<ObjectVersion>,
    pub(super) value: Option<Bytes>,
}

#[derive(Debug)]
pub(super) struct State {
    revision: Revision,
    objects: BTreeMap<(ObjectKind, String), Object>,
    history: VecDeque<(ObjectKind, WatchEvent)>,
    window: usize,
    /// Newest revision whose change is no longer in the history.
    compacted_revision: Revision,
    /// Incremented to end all open watches.
    watch_generation: u64,
    wake: watch::Sender<()>,
    pub(super) delayed: Vec<Change>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            revision: Revision(0),
            objects: BTreeMap::new(),
            history: VecDeque::new(),
            window: DEFAULT_WINDOW,
            compacted_revision: Revision(0),
            watch_generation: 0,
            wake: watch::Sender::new(()),
            delayed: Vec::new(),
        }
    }
}

/// Position of one open watch.
#[derive(Debug)]
pub(super) struct Subscription {
    kind: ObjectKind,
    after: Revision,
    watch_generation: u64,
    wake: watch::Receiver<()>,
}

impl Subscription {
    pub(super) async fn wait(&mut self) {
        // The sender lives as long as the platform; once it is dropped, no change can follow.
        if self.wake.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl State {
    pub(super) fn object(&self, kind: ObjectKind, name: &str) -> Option<Object> {
        self.objects.get(&(kind, name.to_owned())).cloned()
    }

    pub(super) fn objects_of(&self, kind: ObjectKind) -> BTreeMap<String, Object> {
        let of_kind = self.objects.iter().filter(|((other, _), _)| *other == kind);
        of_kind.map(|((_, name), object)| (name.clone(), object.clone())).collect()
    }

    pub(super) fn list(&self, kind: ObjectKind, after: Option<&str>, limit: usize) -> ListPage {
        let start = after.map_or_else(
            || Bound::Included((kind, String::new())),
            |name| Bound::Excluded((kind, name.to_owned())),
        );
        let mut rest = self
            .objects
            .range((start, Bound::Unbounded))
            .take_while(|((other, _), _)| *other == kind)
            .map(|((_, name), object)| ListItem { name: name.clone(), version: object.version });
        let items = rest.by_ref().take(limit).collect();
        ListPage { revision: self.revision, items, more: rest.next().is_some() }
    }

    /// Applies a change if its condition holds.
    pub(super) fn apply(&mut self, change: Change) -> Result<ObjectVersion, PlatformError> {
        let current = self.object(change.kind, &change.name).map(|object| object.version);
        match (change.expected, current) {
            (Some(_), None) => return Err(PlatformError::NotFound),
            (expected, current) if expected != current => {
                return Err(PlatformError::Conflict { current });
            }
            _ => {}
        }
        Ok(self.record(change.kind, &change.name, change.value))
    }

    /// Applies a change unconditionally.
    pub(super) fn record(&mut self, kind: ObjectKind, name: &str, value: Option<Bytes>) -> ObjectVersion {
        self.revision.0 += 1;
        let version = ObjectVersion(self.revision.0);
        let key = (kind, name.to_owned());
        match &value {
            Some(value) => self.objects.insert(key, Object { version, value: value.clone() }),
            None => self.objects.remove(&key),
        };
        let event = WatchEvent { revision: self.revision, name: name.to_owned(), value };
        self.history.push_back((kind, event));
        self.trim();
        self.wake.send_replace(());
        version
    }

    pub(super) fn set_window(&mut self, changes: usize) {
        self.window = changes;
        self.trim();
    }

    fn trim(&mut self) {
        while self.history.len() > self.window {
            if let Some((_, event)) = self.history.pop_front() {
                self.compacted_revision = event.revision;
            }
        }
    }

    pub(super) fn cut_watches(&mut self) {
        self.watch_generation += 1;
        self.wake.send_replace(());
    }

    pub(super) fn subscribe(&self, kind: ObjectKind, after: Revision) -> Result<Subscription, WatchError> {
        if after < self.compacted_revision {
            return Err(WatchError::TooOld { oldest: self.compacted_revision });
        }
        Ok(Subscription { kind, after, watch_generation: self.watch_generation, wake: self.wake.subscribe() })
    }

    /// Returns the next change for a watch, if there is one.
    pub(super) fn next_for(&self, watch: &mut Subscription) -> Result<Option<WatchEvent>, WatchError> {
        if watch.watch_generation != self.watch_generation {
            return Err(WatchError::Closed);
        }
        if watch.after < self.compacted_revision {
            return Err(WatchError::TooOld { oldest: self.compacted_revision });
        }
        let next = self
            .history
            .iter()
            .find(|(kind, event)| *kind == watch.kind && event.revision > watch.after)
            .map(|(_, event)| event.clone());
        if let Some(event) = &next {
            watch.after = event.revision;
        }
        Ok(next)
    }
}
