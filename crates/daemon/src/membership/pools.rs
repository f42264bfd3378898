//! Reports of this node to the pools of tokens, and its answers as one of them.

use std::net::SocketAddr;
use std::sync::Arc;

use umberpond_forwarding::QuotaGate;
use umberpond_membership::{Datagram, Membership, Outgoing};
use umberpond_quotas::{QuotaGrant, QuotaReport};

/// Nodes for which there is one pool: it hears from each of them some times a second.
const NODES_PER_POOL: usize = 10;
/// Most pools. The more there are, the thinner the tokens of a small tenant are spread.
const MOST_POOLS: usize = 16;

/// The pools as this node finds them.
#[derive(Debug)]
pub(super) struct TokenPools {
    gate: Arc<QuotaGate>,
    /// Where they are; absent for the one of this node.
    places: Vec<Option<SocketAddr>>,
    /// Whether the nodes that can be reached have changed since the pools were found.
    are_places_stale: bool,
    next: usize,
}

impl TokenPools {
    pub(super) const fn new(gate: Arc<QuotaGate>) -> Self {
        Self { gate, places: Vec::new(), are_places_stale: true, next: 0 }
    }

    /// Takes in that the nodes that can be reached have changed.
    pub(super) const fn on_changed(&mut self) {
        self.are_places_stale = true;
    }

    /// Finds the pools among the nodes that can be reached.
    fn find(&mut self, membership: &Membership) {
        let count = (membership.reachable_count() + 1) / NODES_PER_POOL;
        self.places = membership.first_ranked(count.clamp(1, MOST_POOLS));
        self.are_places_stale = false;
    }

    /// Reports to the next pool, if there is anything to report. The pool of this node answers at once.
    pub(super) fn report(&mut self, membership: &Membership) -> Vec<Outgoing> {
        if !self.gate.has_quotas() {
            return Vec::new();
        }
        if self.are_places_stale {
            self.find(membership);
        }
        for _ in 0..self.places.len() {
            let Some(report) = self.gate.next_report() else { return Vec::new() };
            self.next = (self.next + 1) % self.places.len();
            if let Some(to) = self.places[self.next] {
                return vec![Outgoing { to, datagram: Datagram::QuotaReport(Box::new(report)) }];
            }
            if let Some(grant) = self.gate.on_report(&report) {
                self.gate.on_grant(&grant, self.places.len());
            }
        }
        Vec::new()
    }

    /// Tokens that this node was given and nobody used, since the last call.
    pub(super) fn take_expired_tokens(&self) -> u64 {
        self.gate.take_expired_tokens()
    }

    /// Answers the report of the node at `from`.
    pub(super) fn on_report(&self, from: SocketAddr, report: &QuotaReport) -> Vec<Outgoing> {
        let grant = self.gate.on_report(report).filter(|grant| !grant.granted.is_empty());
        let grant = grant.map(|grant| Outgoing { to: from, datagram: Datagram::QuotaGrant(grant) });
        grant.into_iter().collect()
    }

    /// Takes in the answer of a pool, and asks the next one for what is missing.
    pub(super) fn on_grant(&mut self, membership: &Membership, grant: &QuotaGrant) -> Vec<Outgoing> {
        self.gate.on_grant(grant, self.places.len());
        self.report(membership)
    }
}
