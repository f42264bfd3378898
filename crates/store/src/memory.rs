//! An in-memory platform with fault injection, for tests.
//!
//! [`MemoryPlatform`] holds the objects; each [`MemoryStore`] is one process's client of it, with its own
//! faults and counters. Versions and conditional writes follow the platform's protocol.

mod faults;
mod state;

use std::collections::BTreeMap;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::unfold;
use parking_lot::Mutex;
use tokio::time::sleep;

pub use faults::{Fault, RequestInfo, Verb};
use state::{Change, State};

use crate::{
    ListPage, NotSentCause, Object, ObjectKind, ObjectStore, ObjectVersion, PlatformError, Revision,
    UnknownCause, WatchError, WatchEvent, WatchStream,
};

/// The platform: objects, their history, and delayed changes that have not arrived yet.
#[derive(Debug, Clone, Default)]
pub struct MemoryPlatform {
    state: Arc<Mutex<State>>,
}

impl MemoryPlatform {
    /// Creates a platform without objects.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a client without faults.
    #[must_use]
    pub fn client(&self) -> MemoryStore {
        MemoryStore { platform: self.clone(), faults: Arc::default(), counters: Arc::default() }
    }

    /// Applies the changes delayed by [`Fault::Delayed`], in order; returns how many took effect.
    pub fn release_delayed(&self) -> usize {
        let mut state = self.state.lock();
        let delayed = std::mem::take(&mut state.delayed);
        delayed.into_iter().filter(|change| state.apply(change.clone()).is_ok()).count()
    }

    /// Ends every open watch.
    pub fn cut_watches(&self) {
        self.state.lock().cut_watches();
    }

    /// Keeps only the last `changes` changes for watches; a watch that needs older ones fails as too old.
    pub fn limit_history(&self, changes: usize) {
        self.state.lock().set_window(changes);
    }

    /// All objects of a kind, by name.
    #[must_use]
    pub fn objects(&self, kind: ObjectKind) -> BTreeMap<String, Object> {
        self.state.lock().objects_of(kind)
    }

    /// Writes an object unconditionally, for tests with damaged data.
    pub fn overwrite(&self, kind: ObjectKind, name: &str, value: Bytes) -> ObjectVersion {
        self.state.lock().record(kind, name, Some(value))
    }
}

/// Counters of the requests that a client has made.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests by verb and kind, failed ones included.
    pub requests: BTreeMap<(Verb, ObjectKind), u64>,
    /// Total body size of all `create` and `put_if` requests, in bytes.
    pub bytes_written: u64,
    /// Total size of all objects read, in bytes.
    pub bytes_read: u64,
}

impl Counters {
    /// Number of requests of all verbs and kinds.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.requests.values().sum()
    }
}

type FaultPlan = Box<dyn FnMut(&RequestInfo) -> Fault + Send>;

#[derive(Default)]
struct Faults {
    next_index: u64,
    plan: Option<FaultPlan>,
}

/// One process's client of a [`MemoryPlatform`].
#[derive(Clone)]
pub struct MemoryStore {
    platform: MemoryPlatform,
    faults: Arc<Mutex<Faults>>,
    counters: Arc<Mutex<Counters>>,
}

impl MemoryStore {
    /// Calls `plan` before each request to select its fault. Replaces an earlier plan; the request index
    /// continues.
    pub fn set_faults(&self, plan: impl FnMut(&RequestInfo) -> Fault + Send + 'static) {
        self.faults.lock().plan = Some(Box::new(plan));
    }

    /// Removes the fault plan.
    pub fn clear_faults(&self) {
        self.faults.lock().plan = None;
    }

    /// Counters of the requests made so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters.lock().clone()
    }

    /// Counts the request and selects its fault. Waits for the delay of [`Fault::Slow`] and then returns
    /// [`Fault::None`].
    async fn next_fault(&self, verb: Verb, kind: ObjectKind, name: &str, bytes: usize) -> Fault {
        let fault = self.plan_fault(verb, kind, name, bytes);
        if let Fault::Slow(duration) = fault {
            sleep(duration).await;
            return Fault::None;
        }
        fault
    }

    fn plan_fault(&self, verb: Verb, kind: ObjectKind, name: &str, bytes: usize) -> Fault {
        let mut counters = self.counters.lock();
        *counters.requests.entry((verb, kind)).or_default() += 1;
        counters.bytes_written += bytes as u64;
        let mut faults = self.faults.lock();
        let info = RequestInfo { index: faults.next_index, verb, kind, name: name.to_owned() };
        faults.next_index += 1;
        faults.plan.as_mut().map_or(Fault::None, |plan| plan(&info))
    }

    async fn read<T>(
        &self,
        verb: Verb,
        kind: ObjectKind,
        name: &str,
        read: impl FnOnce(&State) -> T + Send,
    ) -> Result<T, PlatformError> {
        match self.next_fault(verb, kind, name, 0).await {
            Fault::None | Fault::Slow(_) => Ok(read(&self.platform.state.lock())),
            Fault::NotSent => Err(not_sent()),
            Fault::Refused { retry_after } => Err(PlatformError::Refused { retry_after }),
            Fault::LostRequest | Fault::LostResponse | Fault::Delayed => Err(unknown()),
        }
    }

    async fn change(&self, verb: Verb, change: Change) -> Result<ObjectVersion, PlatformError> {
        let bytes = change.value.as_ref().map_or(0, Bytes::len);
        let fault = self.next_fault(verb, change.kind, &change.name, bytes).await;
        let mut state = self.platform.state.lock();
        match fault {
            Fault::None | Fault::Slow(_) => state.apply(change),
            Fault::NotSent => Err(not_sent()),
            Fault::Refused { retry_after } => Err(PlatformError::Refused { retry_after }),
            Fault::LostRequest => Err(unknown()),
            Fault::LostResponse => {
                // The response is lost, so the caller does not get the result.
                let _ = state.apply(change);
                Err(unknown())
            }
            Fault::Delayed => {
                state.delayed.push(change);
                Err(unknown())
            }
        }
    }
}

const fn not_sent() -> PlatformError {
    PlatformError::NotSent { cause: NotSentCause::ConnectionFailed }
}

const fn unknown() -> PlatformError {
    PlatformError::OutcomeUnknown { cause: UnknownCause::ConnectionLost }
}

#[async_trait]
impl ObjectStore for MemoryStore {
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<Object>, PlatformError> {
        let object = self.read(Verb::Get, kind, name, |state| state.object(kind, name)).await?;
        self.counters.lock().bytes_read += object.as_ref().map_or(0, |object| object.value.len()) as u64;
        Ok(object)
    }

    async fn list(
        &self,
        kind: ObjectKind,
        after: Option<&str>,
        limit: usize,
    ) -> Result<ListPage, PlatformError> {
        self.read(Verb::List, kind, "", |state| state.list(kind, after, limit)).await
    }

    async fn create(
        &self,
        kind: ObjectKind,
        name: &str,
        value: Bytes,
    ) -> Result<ObjectVersion, PlatformError> {
        let change = Change { kind, name: name.to_owned(), expected: None, value: Some(value) };
        self.change(Verb::Create, change).await
    }

    async fn put_if(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: ObjectVersion,
        value: Bytes,
    ) -> Result<ObjectVersion, PlatformError> {
        let change = Change { kind, name: name.to_owned(), expected: Some(expected), value: Some(value) };
        self.change(Verb::Put, change).await
    }

    async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: ObjectVersion,
    ) -> Result<(), PlatformError> {
        let change = Change { kind, name: name.to_owned(), expected: Some(expected), value: None };
        self.change(Verb::Delete, change).await.map(drop)
    }

    async fn watch(&self, kind: ObjectKind, after: Revision) -> Result<WatchStream, WatchError> {
        let state = &self.platform.state;
        let watch = self.read(Verb::Watch, kind, "", |state| state.subscribe(kind, after)).await??;
        let state = Arc::clone(state);
        Ok(unfold(Some(watch), move |watch| {
            let state = Arc::clone(&state);
            async move { next_change(&state, watch?).await }
        })
        .boxed())
    }
}

type WatchStep = (Result<WatchEvent, WatchError>, Option<state::Subscription>);

async fn next_change(state: &Mutex<State>, mut watch: state::Subscription) -> Option<WatchStep> {
    loop {
        let next = state.lock().next_for(&mut watch);
        match next {
            Ok(Some(event)) => return Some((Ok(event), Some(watch))),
            Ok(None) => watch.wait().await,
            Err(error) => return Some((Err(error), None)),
        }
    }
}
