//! Exchanges findings on requests that may crash back ends with other nodes.
//!
//! A finding is sent immediately to all nodes, or to a few that forward it. In addition, each node that has
//! any findings sends a digest of them to one random node each second. If the digests differ, both nodes send
//! each other the records that the other lacks. A node that was unreachable or has just started is thus up to
//! date after one or two seconds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use umberpond_forwarding::{FindingSource, Quarantine};
use umberpond_membership::{Datagram, Membership, Outgoing, SuspectMessage};
use umberpond_quarantine::{RequestFingerprint, SuspectRecord};

/// Interval between two digests that a node sends. With one digest per node and second, a node that missed a
/// finding gets no digest for three seconds with a probability of e^-3; most nodes receive the finding long
/// before.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of records in one datagram; a record takes 50 to 110 bytes.
const MAX_RECORDS: usize = 24;
/// Number of nodes whose records are requested once this node has joined or may have missed messages.
const RESYNC_PEERS: usize = 3;

/// Synchronizes the records of suspected requests with other nodes.
#[derive(Debug)]
pub(super) struct SuspectSync {
    quarantine: Arc<Quarantine>,
    next_digest_at: Option<Instant>,
    /// Whether the next tick requests the records of other nodes.
    needs_resync: bool,
}

impl SuspectSync {
    pub(super) const fn new(quarantine: Arc<Quarantine>) -> Self {
        Self { quarantine, next_digest_at: None, needs_resync: false }
    }

    /// Sends findings of this node to other nodes.
    pub(super) fn broadcast(membership: &mut Membership, records: &[SuspectRecord]) -> Vec<Outgoing> {
        let audience = membership.audience();
        audience.into_iter().flat_map(|to| in_datagrams(to, records, SuspectMessage::Records)).collect()
    }

    /// Handles a message of the node at `from`.
    pub(super) fn on_message(
        &self,
        membership: &mut Membership,
        from: SocketAddr,
        message: &SuspectMessage,
    ) -> Vec<Outgoing> {
        match message {
            SuspectMessage::Records(records) => {
                let changed = self.quarantine.merge(records, FindingSource::Node).changed;
                if changed.is_empty() || membership.broadcasts_to_all() {
                    return Vec::new();
                }
                Self::broadcast(membership, &self.quarantine.records(&changed))
            }
            SuspectMessage::Digest(digest) => {
                if self.quarantine.digest().unwrap_or_default() == *digest {
                    return Vec::new();
                }
                repair(from, &self.quarantine.repair_records(), true)
            }
            SuspectMessage::Repair { records, wants_response } => {
                let missing = self.missing_at_sender(records);
                if missing.is_empty() || !wants_response {
                    return Vec::new();
                }
                repair(from, &missing, false)
            }
        }
    }

    /// Merges the records that another node has sent; returns those that the sender lacks.
    fn missing_at_sender(&self, records: &[SuspectRecord]) -> Vec<SuspectRecord> {
        let outcome = self.quarantine.merge(records, FindingSource::Node);
        let was_sent = |fingerprint: &RequestFingerprint| {
            records.iter().any(|record| record.fingerprint == *fingerprint)
        };
        let own_records = self.quarantine.repair_records().into_iter();
        let mut missing: Vec<SuspectRecord> =
            own_records.filter(|record| !was_sent(&record.fingerprint)).collect();
        missing.extend(self.quarantine.records(&outcome.sender_outdated));
        missing
    }

    /// Requests the records of some nodes with the next tick, because this node may have missed messages.
    pub(super) const fn request_resync(&mut self) {
        self.needs_resync = true;
    }

    /// Sends a digest to another node if one is due, or requests the records of some nodes.
    pub(super) fn on_tick(&mut self, now: Instant, membership: &mut Membership) -> Vec<Outgoing> {
        if std::mem::take(&mut self.needs_resync) {
            return self.resync(membership);
        }
        if self.next_digest_at.is_some_and(|at| now < at) {
            return Vec::new();
        }
        self.next_digest_at = Some(now + DIGEST_INTERVAL);
        // A node without records has nothing that others could lack.
        let Some(digest) = self.quarantine.digest().filter(|digest| *digest != 0) else { return Vec::new() };
        let receivers = membership.sample_reachable(1).into_iter();
        receivers.map(|to| outgoing(to, SuspectMessage::Digest(digest))).collect()
    }

    /// Sends the records of this node to some nodes and requests theirs.
    pub(super) fn resync(&self, membership: &mut Membership) -> Vec<Outgoing> {
        let records = self.quarantine.repair_records();
        let peers = membership.sample_reachable(RESYNC_PEERS).into_iter();
        peers.flat_map(|to| repair(to, &records, true)).collect()
    }
}

/// The datagrams of a repair. Without records it is a single datagram that requests those of the other node.
fn repair(to: SocketAddr, records: &[SuspectRecord], wants_response: bool) -> Vec<Outgoing> {
    let repair = |records| SuspectMessage::Repair { records, wants_response };
    if records.is_empty() {
        return vec![outgoing(to, repair(Vec::new()))];
    }
    in_datagrams(to, records, repair)
}

fn in_datagrams(
    to: SocketAddr,
    records: &[SuspectRecord],
    message: impl Fn(Vec<SuspectRecord>) -> SuspectMessage,
) -> Vec<Outgoing> {
    records.chunks(MAX_RECORDS).map(|part| outgoing(to, message(part.to_vec()))).collect()
}

const fn outgoing(to: SocketAddr, message: SuspectMessage) -> Outgoing {
    Outgoing { to, datagram: Datagram::Suspects(message) }
}
