//! Writes a prepared version: content objects first, then the head.

use bytes::Bytes;
use umberpond_model::ContentHash;
use umberpond_store::{ObjectKind, ObjectStore, ObjectVersion, PlatformError};

use crate::chain::HEAD_NAME;

/// Number of attempts to write one content object while a collection or another acceptor changes it
/// concurrently.
const CONTENT_TRIES: usize = 3;

/// Writes a content object so that its version is later than `base`, the version of the head object.
///
/// An object that exists already may be about to be garbage-collected. The collection never deletes an object
/// whose version is later than the head that it has read, and its deletes are conditional on the version. So
/// an older object is rewritten with the same bytes, which gives it a later version.
///
/// # Errors
/// Returns [`PlatformError::Conflict`] if other processes changed the object during every attempt.
pub(crate) async fn write_content(
    store: &dyn ObjectStore,
    hash: ContentHash,
    bytes: Bytes,
    base: Option<ObjectVersion>,
) -> Result<(), PlatformError> {
    let name = hash.to_string();
    for _ in 0..CONTENT_TRIES {
        let current = match store.create(ObjectKind::Content, &name, bytes.clone()).await {
            Err(PlatformError::Conflict { current }) => current,
            other => return other.map(drop),
        };
        let Some(current) = current_version(store, &name, current).await? else {
            continue;
        };
        if Some(current) > base {
            return Ok(());
        }
        match store.put_if(ObjectKind::Content, &name, current, bytes.clone()).await {
            Err(PlatformError::NotFound | PlatformError::Conflict { .. }) => {}
            other => return other.map(drop),
        }
    }
    Err(PlatformError::Conflict { current: None })
}

/// Returns the version from the conflict response, or reads it; `None` if the object no longer exists.
async fn current_version(
    store: &dyn ObjectStore,
    name: &str,
    reported: Option<ObjectVersion>,
) -> Result<Option<ObjectVersion>, PlatformError> {
    if reported.is_some() {
        return Ok(reported);
    }
    Ok(store.get(ObjectKind::Content, name).await?.map(|object| object.version))
}

/// Replaces the head at version `expected` with one compare-and-swap; creates it if `expected` is absent.
pub(crate) async fn swap_head(
    store: &dyn ObjectStore,
    expected: Option<ObjectVersion>,
    head: Bytes,
) -> Result<ObjectVersion, PlatformError> {
    match expected {
        Some(expected) => store.put_if(ObjectKind::Head, HEAD_NAME, expected, head).await,
        None => store.create(ObjectKind::Head, HEAD_NAME, head).await,
    }
}
