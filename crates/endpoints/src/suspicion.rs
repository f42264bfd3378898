//! Which lost owners an observer marks as suspect, and when.
//!
//! An observer is the node that an owner was connected to (its parent). It only adds a doubt to the owner's own
//! words; the owner refutes it by a later sequence (as in SWIM, Das, Gupta and Motivala 2002).
//!
//! Invariants:
//! 1. An owner is suspected only after [`SUSPECT_AFTER`] without a sign of life: a connection, or a record later
//!    than the one known at its loss.
//! 2. A suspicion doubts exactly the record known; it never hides a later one.

use std::collections::BTreeMap;

use umberpond_model::{EndpointRecord, EndpointStatus, Millis, NodeName, RecordOrder, Timestamp};

/// How long an observer waits for a lost owner to come back, there or elsewhere. Long enough for a reconnect to
/// the standby parent and for the owner's next record to travel.
pub const SUSPECT_AFTER: Millis = Millis(3_000);

#[derive(Debug, Clone, Copy)]
struct Loss {
    since: Timestamp,
    known: RecordOrder,
}

/// Owners that an observer has lost.
#[derive(Debug, Clone, Default)]
pub struct SuspicionTimer {
    lost: BTreeMap<NodeName, Loss>,
}

impl SuspicionTimer {
    /// A timer that waits for nobody.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The connection to the owner of `known` was lost.
    pub fn on_lost(&mut self, now: Timestamp, known: &EndpointRecord) {
        if known.status == EndpointStatus::Gone || known.suspect {
            return;
        }
        let loss = Loss { since: now, known: known.order() };
        self.lost.entry(known.node.clone()).or_insert(loss);
    }

    /// The owner is connected again.
    pub fn on_seen(&mut self, node: &NodeName) {
        self.lost.remove(node);
    }

    /// A record was merged; a later one than at the loss is a sign of life, or another observer's suspicion.
    pub fn on_record(&mut self, record: &EndpointRecord) {
        if self.lost.get(&record.node).is_some_and(|loss| record.order() > loss.known) {
            self.lost.remove(&record.node);
        }
    }

    /// When [`SuspicionTimer::take_due`] will next return something.
    #[must_use]
    pub fn next_due(&self) -> Option<Timestamp> {
        self.lost.values().map(|loss| loss.since + SUSPECT_AFTER).min()
    }

    /// Owners that have been lost for [`SUSPECT_AFTER`]; each is returned once.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<NodeName> {
        let is_due = |loss: &Loss| now.since(loss.since) >= SUSPECT_AFTER;
        let due: Vec<NodeName> =
            self.lost.iter().filter(|(_, loss)| is_due(loss)).map(|(node, _)| node.clone()).collect();
        for node in &due {
            self.lost.remove(node);
        }
        due
    }
}

/// The suspicion of `record`: the owner's own words with a doubt added, to be merged and spread.
#[must_use]
pub fn suspect(record: &EndpointRecord) -> EndpointRecord {
    EndpointRecord { suspect: true, ..record.clone() }
}
