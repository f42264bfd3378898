//! What a scale run measures.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use umberpond_model::{EndpointRecord, EndpointStatus, Incarnation, Millis, NodeName, Timestamp, Version};
use umberpond_node::message_kind;
use umberpond_overlay::interface::Decision;
use umberpond_overlay::{PeerMessage, Update};

use super::hollow::{ByteMeter, HollowNode};
use super::platform::PlatformModel;

/// Longest time that the histograms hold, in milliseconds.
const LONGEST_MILLIS: u64 = 3_600_000;
/// Digits that the histograms keep.
const DIGITS: u8 = 3;
/// A version that is older than this must be in force on every running node.
pub const CONVERGENCE_LIMIT: Millis = Millis(10_000);

/// Count and bytes of one kind of message.
#[derive(Debug, Default, Clone, Copy, serde::Serialize)]
pub struct MessageCount {
    /// Messages sent.
    pub messages: u64,
    /// Bytes sent, overhead included.
    pub bytes: u64,
}

/// Figures of a run.
#[derive(Debug)]
pub struct Measurement {
    /// Events handled.
    pub events: u64,
    /// Decisions told, by name.
    pub decisions: BTreeMap<String, u64>,
    /// Versions accepted in the measured time.
    pub versions: u64,
    /// Time from acceptance until in force, one value for each version and node, in milliseconds.
    pub convergence: Histogram<u64>,
    /// Time from the begin of a drain until a caller's node knew it, in milliseconds.
    pub drain_spread: Histogram<u64>,
    /// Times at which a version older than one held before was put in force.
    pub went_back: u64,
    /// Running nodes that at the end lacked a version older than [`CONVERGENCE_LIMIT`].
    pub lagging_at_end: u64,
    /// Time from the end of the storm until the last running node had the version of that moment in force.
    pub recovery: Option<Millis>,
    /// Messages by kind.
    pub messages: BTreeMap<&'static str, MessageCount>,
    /// Platform requests before the measurement began.
    pub requests_before: u64,
    /// Distinct readers of the platform at once, before the measurement began.
    pub readers_before: usize,
    begun: bool,
    accepted_at: Vec<Timestamp>,
    newest_in_force: Version,
    draining: BTreeMap<NodeName, (Incarnation, Timestamp)>,
    storm_over: Option<(Timestamp, Version)>,
    sized: Option<(Arc<Update>, u64)>,
}

impl Default for Measurement {
    fn default() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, LONGEST_MILLIS, DIGITS).expect("constant bounds are valid");
        Self {
            events: 0,
            decisions: BTreeMap::new(),
            versions: 0,
            convergence: histogram(),
            drain_spread: histogram(),
            went_back: 0,
            lagging_at_end: 0,
            recovery: None,
            messages: BTreeMap::new(),
            requests_before: 0,
            readers_before: 0,
            begun: false,
            accepted_at: Vec::new(),
            newest_in_force: Version::GENESIS,
            draining: BTreeMap::new(),
            storm_over: None,
            sized: None,
        }
    }
}

impl Measurement {
    /// Forgets what the warm-up did.
    pub(super) fn begin(&mut self, nodes: &mut [HollowNode], platform: &PlatformModel) {
        self.begun = true;
        self.messages.clear();
        self.decisions.clear();
        self.requests_before = platform.requests;
        self.readers_before = platform.most_readers;
        for node in nodes {
            node.bytes = ByteMeter::default();
            node.core_time = Duration::ZERO;
        }
    }

    /// Whether the warm-up is over.
    pub(super) const fn has_begun(&self) -> bool {
        self.begun
    }

    pub(super) fn accepted(&mut self, now: Timestamp, version: Version) {
        debug_assert_eq!(version.0, self.accepted_at.len() as u64 + 1, "versions are accepted one by one");
        self.accepted_at.push(now);
        if self.begun {
            self.versions += 1;
        }
    }

    /// A commit index that is known to have been reached: the newest version in force anywhere.
    pub(super) const fn lowest_commit(&self) -> Version {
        self.newest_in_force
    }

    pub(super) fn activated(&mut self, now: Timestamp, node: &mut HollowNode, version: Version) {
        if version < node.highest_active {
            self.went_back += 1;
        }
        let first_new = node.active.unwrap_or(node.measured_after).max(node.measured_after).next();
        node.active = Some(version);
        node.highest_active = node.highest_active.max(version);
        self.newest_in_force = self.newest_in_force.max(version);
        if self.begun {
            for measured in first_new.0..=version.0 {
                let accepted_at =
                    usize::try_from(measured - 1).ok().and_then(|index| self.accepted_at.get(index));
                let taken = accepted_at.map_or(Millis(0), |at| now.since(*at));
                self.convergence.saturating_record(taken.0.max(1));
            }
        }
        if let Some((over_at, expected)) = self.storm_over
            && version >= expected
            && first_new <= expected
        {
            self.recovery = self.recovery.max(Some(now.since(over_at)));
        }
    }

    pub(super) fn decided(&mut self, decision: &Decision) {
        let text = format!("{decision:?}");
        let name = text.split([' ', '{']).next().unwrap_or_default();
        *self.decisions.entry(name.to_owned()).or_default() += 1;
    }

    pub(super) fn drain_began(&mut self, now: Timestamp, record: &EndpointRecord) {
        self.draining.insert(record.node.clone(), (record.incarnation, now));
    }

    pub(super) fn endpoints_learnt(&mut self, now: Timestamp, records: &[EndpointRecord]) {
        for record in records.iter().filter(|record| record.status == EndpointStatus::Draining) {
            let known = self.draining.get(&record.node);
            if let Some((_, began)) = known.filter(|(incarnation, _)| *incarnation == record.incarnation) {
                self.drain_spread.saturating_record(now.since(*began).0.max(1));
            }
        }
    }

    /// Bytes of a message on the wire, without framing. The same update to many receivers is encoded once.
    pub(super) fn size_of(&mut self, message: &PeerMessage) -> u64 {
        let PeerMessage::Update(update) = message else { return encoded_size(message) };
        if let Some((_, size)) = self.sized.as_ref().filter(|(sized, _)| Arc::ptr_eq(sized, update)) {
            return *size;
        }
        let size = encoded_size(message);
        self.sized = Some((Arc::clone(update), size));
        size
    }

    pub(super) fn sent(&mut self, message: &PeerMessage, bytes: u64) {
        let count = self.messages.entry(message_kind(message)).or_default();
        count.messages += 1;
        count.bytes += bytes;
    }

    pub(super) fn storm_ended(&mut self, now: Timestamp, newest: Version) {
        self.storm_over = Some((now, newest));
        self.recovery = Some(Millis(0));
    }

    pub(super) fn finish(&mut self, nodes: &[HollowNode], now: Timestamp) {
        let due = self.accepted_at.iter().filter(|at| now.since(**at).0 > CONVERGENCE_LIMIT.0).count() as u64;
        let lags = |node: &&HollowNode| {
            node.core.is_some()
                && node.active.is_none_or(|active| active.0 < due)
                && node.measured_after.0 < due
        };
        self.lagging_at_end = nodes.iter().filter(lags).count() as u64;
    }
}

fn encoded_size(message: &PeerMessage) -> u64 {
    bitcode::encode(message).len() as u64
}
