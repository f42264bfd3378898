//! The object store interface.

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream::BoxStream;

use crate::{ListPage, Object, ObjectKind, ObjectVersion, PlatformError, Revision, WatchError, WatchEvent};

/// Changes in the order of their revisions. The stream ends after its first error; the caller opens a new
/// watch.
pub type WatchStream = BoxStream<'static, Result<WatchEvent, WatchError>>;

/// A store of versioned objects. Every method completes within a bounded time; an open watch stays open.
#[async_trait]
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    /// Returns [`PlatformError`] if the request fails.
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<Object>, PlatformError>;

    /// Lists at most `limit` objects whose names follow `after`.
    ///
    /// # Errors
    /// Returns [`PlatformError`] if the request fails.
    async fn list(
        &self,
        kind: ObjectKind,
        after: Option<&str>,
        limit: usize,
    ) -> Result<ListPage, PlatformError>;

    /// Creates an object that does not exist yet.
    ///
    /// # Errors
    /// Returns [`PlatformError::Conflict`] if it exists, and another [`PlatformError`] if the request fails.
    async fn create(
        &self,
        kind: ObjectKind,
        name: &str,
        value: Bytes,
    ) -> Result<ObjectVersion, PlatformError>;

    /// Replaces an object if its version is `expected` (compare-and-swap).
    ///
    /// # Errors
    /// Returns [`PlatformError::Conflict`] if it has another version, and another [`PlatformError`] if it
    /// does not exist or the request fails.
    async fn put_if(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: ObjectVersion,
        value: Bytes,
    ) -> Result<ObjectVersion, PlatformError>;

    /// Deletes an object if its version is `expected`.
    ///
    /// # Errors
    /// Returns [`PlatformError::Conflict`] if it has another version, and another [`PlatformError`] if it
    /// does not exist or the request fails.
    async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: ObjectVersion,
    ) -> Result<(), PlatformError>;

    /// Opens a watch that reports all changes of `kind` after revision `after`.
    ///
    /// # Errors
    /// Returns [`WatchError::TooOld`] if the changes after `after` are no longer kept, and another
    /// [`WatchError`] if the watch can't be opened.
    async fn watch(&self, kind: ObjectKind, after: Revision) -> Result<WatchStream, WatchError>;
}
