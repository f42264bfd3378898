//! The object store as the rest of the daemon sees it.

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream::BoxStream;

use crate::{ListPage, Object, ObjectKind, ObjectVersion, PlatformError, Revision, WatchError, WatchEvent};

/// Changes as they come. It ends after its first error; the caller opens a new watch.
pub type WatchStream = BoxStream<'static, Result<WatchEvent, WatchError>>;

/// Versioned objects. Every method ends within a bounded time, except that a watch stays open.
#[async_trait]
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    /// Returns [`PlatformError`] when no answer came.
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<Object>, PlatformError>;

    /// Lists at most `limit` objects whose names follow `after`.
    ///
    /// # Errors
    /// Returns [`PlatformError`] when no answer came.
    async fn list(
        &self,
        kind: ObjectKind,
        after: Option<&str>,
        limit: usize,
    ) -> Result<ListPage, PlatformError>;

    /// Creates an object that does not exist yet.
    ///
    /// # Errors
    /// Returns [`PlatformError::Conflict`] if it exists, and the other variants as they say.
    async fn create(
        &self,
        kind: ObjectKind,
        name: &str,
        value: Bytes,
    ) -> Result<ObjectVersion, PlatformError>;

    /// Replaces an object if it stands at `expected` (compare-and-swap).
    ///
    /// # Errors
    /// Returns [`PlatformError::Conflict`] if it stands at another version, and the other variants as they say.
    async fn put_if(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: ObjectVersion,
        value: Bytes,
    ) -> Result<ObjectVersion, PlatformError>;

    /// Deletes an object if it stands at `expected`.
    ///
    /// # Errors
    /// Returns [`PlatformError::Conflict`] if it stands at another version, and the other variants as they say.
    async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: ObjectVersion,
    ) -> Result<(), PlatformError>;

    /// Opens a watch of all changes of `kind` after `after`.
    ///
    /// # Errors
    /// Returns [`WatchError::TooOld`] if changes after `after` are no longer kept, and the other variants as
    /// they say.
    async fn watch(&self, kind: ObjectKind, after: Revision) -> Result<WatchStream, WatchError>;
}
