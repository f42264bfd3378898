//! Tells the other nodes what is found of requests that may end back ends, and takes in what they tell.
//!
//! What is found is told at once to all, or to a few who pass it on. Each second every node that knows of anything shows one other, drawn at random, a sum of it; where two
//! sums differ both tell the other what it lacks. So a node that was cut off, or has just started, knows it after a second or two.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use umberpond_forwarding::{FindingSource, Quarantine};
use umberpond_membership::{Datagram, Membership, Outgoing, SuspectMessage};
use umberpond_quarantine::{RequestFingerprint, SuspectRecord};

/// Time between two comparisons. With one of each node a second, a node that was not told of something is left without a comparison for three seconds with a chance of
/// e^-3; most have heard of it long before.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// Most records in one datagram; one has 50 to 110 bytes.
const MAX_RECORDS: usize = 24;
/// Nodes that are asked for all that they know once this one has joined, or may have missed something.
const ASKED: usize = 3;

/// What this node tells of requests under suspicion.
#[derive(Debug)]
pub(super) struct SuspectSpread {
    quarantine: Arc<Quarantine>,
    compare_next_at: Option<Instant>,
    /// Whether others should be asked for all that they know.
    is_in_doubt: bool,
}

impl SuspectSpread {
    pub(super) const fn new(quarantine: Arc<Quarantine>) -> Self {
        Self { quarantine, compare_next_at: None, is_in_doubt: false }
    }

    /// Tells what was found here.
    pub(super) fn tell(membership: &mut Membership, records: &[SuspectRecord]) -> Vec<Outgoing> {
        let audience = membership.audience();
        audience.into_iter().flat_map(|to| in_parts(to, records, SuspectMessage::Told)).collect()
    }

    /// Takes in what the node at `from` tells.
    pub(super) fn on_news(
        &self,
        membership: &mut Membership,
        from: SocketAddr,
        news: &SuspectMessage,
    ) -> Vec<Outgoing> {
        match news {
            SuspectMessage::Told(records) => {
                let changed = self.quarantine.join(records, FindingSource::Node).changed;
                if changed.is_empty() || membership.broadcasts_to_all() {
                    return Vec::new();
                }
                Self::tell(membership, &self.quarantine.records(&changed))
            }
            SuspectMessage::Digest(digest) => {
                if self.quarantine.digest().unwrap_or_default() == *digest {
                    return Vec::new();
                }
                repair(from, &self.quarantine.repair_records(), true)
            }
            SuspectMessage::Repair { records, wants_response } => {
                let lacking = self.lacking_there(records);
                if lacking.is_empty() || !wants_response {
                    return Vec::new();
                }
                repair(from, &lacking, false)
            }
        }
    }

    /// Joins what another node has sent of all that it knows; gives what that one lacks.
    fn lacking_there(&self, records: &[SuspectRecord]) -> Vec<SuspectRecord> {
        let joined = self.quarantine.join(records, FindingSource::Node);
        let told = |fingerprint: &RequestFingerprint| {
            records.iter().any(|record| record.fingerprint == *fingerprint)
        };
        let untold = self.quarantine.repair_records().into_iter();
        let mut lacking: Vec<SuspectRecord> = untold.filter(|record| !told(&record.fingerprint)).collect();
        lacking.extend(self.quarantine.records(&joined.sender_outdated));
        lacking
    }

    /// Asks some nodes with the next tick for all that they know: this one may have missed something.
    pub(super) const fn doubt(&mut self) {
        self.is_in_doubt = true;
    }

    /// Shows another node what is known here, if that is due, or asks some for all that they know.
    pub(super) fn on_tick(&mut self, now: Instant, membership: &mut Membership) -> Vec<Outgoing> {
        if std::mem::take(&mut self.is_in_doubt) {
            return self.ask(membership);
        }
        if self.compare_next_at.is_some_and(|at| now < at) {
            return Vec::new();
        }
        self.compare_next_at = Some(now + COMPARE_INTERVAL);
        // Where nothing is known there is nothing that others could lack.
        let Some(digest) = self.quarantine.digest().filter(|digest| *digest != 0) else { return Vec::new() };
        let compared = membership.sample_reachable(1).into_iter();
        compared.map(|to| outgoing(to, SuspectMessage::Digest(digest))).collect()
    }

    /// Asks some nodes for all that they know, and tells them what is known here.
    pub(super) fn ask(&self, membership: &mut Membership) -> Vec<Outgoing> {
        let records = self.quarantine.repair_records();
        let asked = membership.sample_reachable(ASKED).into_iter();
        asked.flat_map(|to| repair(to, &records, true)).collect()
    }
}

/// The datagrams of a repair; one without records asks for those of the other node.
fn repair(to: SocketAddr, records: &[SuspectRecord], wants_response: bool) -> Vec<Outgoing> {
    let repair = |records| SuspectMessage::Repair { records, wants_response };
    if records.is_empty() {
        return vec![outgoing(to, repair(Vec::new()))];
    }
    in_parts(to, records, repair)
}

fn in_parts(
    to: SocketAddr,
    records: &[SuspectRecord],
    news: impl Fn(Vec<SuspectRecord>) -> SuspectMessage,
) -> Vec<Outgoing> {
    records.chunks(MAX_RECORDS).map(|part| outgoing(to, news(part.to_vec()))).collect()
}

const fn outgoing(to: SocketAddr, news: SuspectMessage) -> Outgoing {
    Outgoing { to, datagram: Datagram::Suspects(news) }
}
