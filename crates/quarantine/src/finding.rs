//! What is known of a request and the ends of back ends, as nodes tell it one another.

use bitcode::{Decode, Encode};

use crate::fingerprint::RequestFingerprint;

/// One end of a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct CrashId(pub u64);

impl CrashId {
    /// The end of the life called `instance` while the requests called `requests` ran there, in any order. Their identities are new with each attempt, so no other
    /// end is taken for this one, also if the back end comes back under the same name.
    pub fn of<'a>(instance: &str, requests: impl Iterator<Item = &'a [u8]>) -> Self {
        let mut requests: Vec<&[u8]> = requests.collect();
        requests.sort_unstable();
        let mut hasher = blake3::Hasher::new();
        hasher.update(instance.as_bytes());
        for request in requests {
            hasher.update(&(request.len() as u64).to_le_bytes());
            hasher.update(request);
        }
        let mut first = [0; 8];
        hasher.finalize_xof().fill(&mut first);
        Self(u64::from_le_bytes(first))
    }
}

/// What an end of a back end says of a request that ran there. The greater one wins wherever two are joined.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Finding {
    /// It may have been the cause.
    Blamed,
    /// It was not: a back end has answered it since.
    Cleared,
}

/// All that a node knows of one fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct SuspectRecord {
    /// The fingerprint.
    pub fingerprint: RequestFingerprint,
    /// The ends that it was found at.
    pub findings: Vec<(CrashId, Finding)>,
    /// Time in milliseconds since the last end that it was blamed for.
    pub age_millis: u32,
}
