//! Writing a prepared version: content objects first, then the head.

use bytes::Bytes;
use umberpond_model::ContentHash;
use umberpond_store::{ObjectKind, ObjectStore, ObjectVersion, PlatformError};

use crate::chain::HEAD_NAME;

/// Tries to write one content object against a collection or another acceptor that changes it meanwhile.
const CONTENT_TRIES: usize = 3;

/// Writes a content object so that it is younger than the head that stood at `base`.
///
/// An object that exists already may be about to be collected. Collection never deletes an object whose version
/// is later than a head that it has read, and deletes under a condition; so an older object is rewritten with
/// the same bytes, which gives it a later version.
///
/// # Errors
/// Returns [`PlatformError::Conflict`] if others changed the object during every try.
pub(crate) async fn write_content(
    store: &dyn ObjectStore,
    hash: ContentHash,
    bytes: Bytes,
    base: Option<ObjectVersion>,
) -> Result<(), PlatformError> {
    let name = hash.to_string();
    for _ in 0..CONTENT_TRIES {
        let standing = match store.create(ObjectKind::Content, &name, bytes.clone()).await {
            Err(PlatformError::Conflict { standing }) => standing,
            other => return other.map(drop),
        };
        let Some(standing) = standing_version(store, &name, standing).await? else {
            continue;
        };
        if Some(standing) > base {
            return Ok(());
        }
        match store.put_if(ObjectKind::Content, &name, standing, bytes.clone()).await {
            Err(PlatformError::NotFound | PlatformError::Conflict { .. }) => {}
            other => return other.map(drop),
        }
    }
    Err(PlatformError::Conflict { standing: None })
}

/// The version told with a conflict, or else read; `None` if the object is gone by then.
async fn standing_version(
    store: &dyn ObjectStore,
    name: &str,
    told: Option<ObjectVersion>,
) -> Result<Option<ObjectVersion>, PlatformError> {
    if told.is_some() {
        return Ok(told);
    }
    Ok(store.get(ObjectKind::Content, name).await?.map(|object| object.version))
}

/// Moves the head from `expected` (absent: there is no head yet) by one compare-and-swap.
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
