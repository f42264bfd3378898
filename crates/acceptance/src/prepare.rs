//! Computes the next version without any I/O.

use std::sync::Arc;

use bytes::Bytes;
use umberpond_config::{Bundle, CheckReport, Delta, join};
use umberpond_model::{BundleName, ContentHash, Head, SubmissionId, Version, VersionRecord};

use crate::base::Base;
use crate::encoding::encode;
use crate::objects::has_checkpoint;
use crate::{RecordObject, Step};

/// The request of a submission, with its content encoded once.
#[derive(Debug, Clone)]
pub(crate) enum Request {
    Put { name: BundleName, bundle: Arc<Bundle>, bytes: Bytes, hash: ContentHash },
    Withdraw { name: BundleName },
    Abandon,
}

impl Request {
    pub(crate) fn put(name: BundleName, bundle: Bundle) -> Self {
        let bytes = Bytes::from(bundle.to_bytes());
        let hash = ContentHash::of(&bytes);
        Self::Put { name, bundle: Arc::new(bundle), bytes, hash }
    }

    /// Returns the step for the record of the accepted version.
    pub(crate) fn step(&self) -> Step {
        match self {
            Self::Put { name, hash, .. } => Step::Put { bundle: name.clone(), content: *hash },
            Self::Withdraw { name } => Step::Withdraw { bundle: name.clone() },
            Self::Abandon => Step::Abandon,
        }
    }
}

/// Why the next version can't be computed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PrepareError {
    Faulty(CheckReport),
    NotInForce { bundle: BundleName, version: Version },
}

/// The encoded next version, ready to be written.
#[derive(Debug, Clone)]
pub(crate) struct Prepared {
    /// Encoded content objects with their names.
    pub(crate) objects: Vec<(ContentHash, Bytes)>,
    /// Bytes of the new head.
    pub(crate) head: Bytes,
    /// The new version as the base of its successor.
    pub(crate) base: Arc<Base>,
    pub(crate) record: VersionRecord,
}

/// Inputs of one attempt that depend on neither the base nor the request.
pub(crate) struct AttemptInfo {
    pub(crate) submission: SubmissionId,
    pub(crate) unix_millis: u64,
}

/// Computes the version after `base`.
pub(crate) fn prepare(base: &Base, request: &Request, info: AttemptInfo) -> Result<Prepared, PrepareError> {
    let mut next = apply_request(base, request)?;
    let mut objects = Vec::new();
    if let Request::Put { bytes, hash, .. } = request {
        objects.push((*hash, bytes.clone()));
    }
    let manifest = add_object(&mut objects, encode(&next.manifest));
    let delta = Delta::between(&base.snapshot, &next.snapshot);
    let delta = add_object(&mut objects, Bytes::from(delta.to_bytes()));
    let record = VersionRecord {
        version: base.version().next(),
        previous: base.record.as_ref().map(|(hash, _)| *hash),
        submission: info.submission,
        manifest,
        delta,
        snapshot: next.snapshot.content_hash(),
        accepted_at_unix_millis: info.unix_millis,
    };
    let checkpoint = has_checkpoint(record.version)
        .then(|| add_object(&mut objects, Bytes::from(next.snapshot.to_bytes())));
    let object = record_object(base, record.clone(), request.step(), checkpoint);
    let hash = add_object(&mut objects, encode(&object));
    let head = encode(&Head { version: record.version, record: hash });
    next.record = Some((hash, Arc::new(object)));
    Ok(Prepared { objects, head, base: Arc::new(next), record })
}

/// Returns the base with the changed bundles, manifest and snapshot; the record is still that of `base`.
fn apply_request(base: &Base, request: &Request) -> Result<Base, PrepareError> {
    let mut next = base.clone();
    match request {
        Request::Put { name, bundle, hash, .. } => {
            next.manifest.bundles.insert(name.clone(), *hash);
            next.bundles.insert(name.clone(), Arc::clone(bundle));
        }
        Request::Withdraw { name } => {
            if next.manifest.bundles.remove(name).is_none() {
                let bundle = name.clone();
                return Err(PrepareError::NotInForce { bundle, version: base.version() });
            }
            next.bundles.remove(name);
        }
        Request::Abandon => return Ok(next),
    }
    next.snapshot = join(&next.bundles).map_err(PrepareError::Faulty)?;
    Ok(next)
}

fn record_object(
    base: &Base,
    record: VersionRecord,
    step: Step,
    checkpoint: Option<ContentHash>,
) -> RecordObject {
    let (page, previous_page) =
        base.record.as_ref().map(|(hash, object)| object.next_page(*hash)).unwrap_or_default();
    RecordObject { record, step, page, previous_page, checkpoint }
}

fn add_object(objects: &mut Vec<(ContentHash, Bytes)>, bytes: Bytes) -> ContentHash {
    let hash = ContentHash::of(&bytes);
    objects.push((hash, bytes));
    hash
}
