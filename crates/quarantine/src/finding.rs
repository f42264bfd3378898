//! Findings about requests and crashes, as nodes exchange them.

use bitcode::{Decode, Encode};

use crate::fingerprint::RequestFingerprint;

/// Identity of one crash of a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Identity of the crash of the process `instance` while `requests` ran there, in any order. Requests
    /// have a new identity for each attempt, so that two crashes never have the same identity, even if the
    /// back end restarts under the same name.
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

/// Finding about a request that ran at a back end that crashed. Where two findings are merged, the greater
/// one wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Finding {
    /// The request may have caused the crash.
    Blamed,
    /// The request did not cause the crash, since a back end has responded to it afterwards.
    Cleared,
}

/// All findings of a node about one fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct SuspectRecord {
    /// Fingerprint of the suspect request.
    pub fingerprint: RequestFingerprint,
    /// Crashes at which it was running, with the finding about each.
    pub findings: Vec<(CrashId, Finding)>,
    /// Time in milliseconds since the last crash that it was blamed for.
    pub age_millis: u32,
}
