//! Sends quota reports of this node to the token pools, and responds to reports if this node is a pool.

use std::net::SocketAddr;
use std::sync::Arc;

use umberpond_forwarding::QuotaGate;
use umberpond_membership::{Datagram, Membership, Outgoing};
use umberpond_quotas::{QuotaGrant, QuotaReport};

/// Number of nodes per pool. Each of them sends the pool several reports a second.
const NODES_PER_POOL: usize = 10;
/// Maximum number of pools. The more pools there are, the fewer tokens of a small tenant each of them has.
const MAX_POOLS: usize = 16;

/// The token pools that this node has selected.
#[derive(Debug)]
pub(super) struct TokenPools {
    gate: Arc<QuotaGate>,
    /// Addresses of the pools; `None` stands for the pool on this node.
    addresses: Vec<Option<SocketAddr>>,
    /// Whether the reachable nodes have changed since the pools were selected.
    are_addresses_stale: bool,
    next: usize,
}

impl TokenPools {
    pub(super) const fn new(gate: Arc<QuotaGate>) -> Self {
        Self { gate, addresses: Vec::new(), are_addresses_stale: true, next: 0 }
    }

    /// Handles a change of the reachable nodes.
    pub(super) const fn on_changed(&mut self) {
        self.are_addresses_stale = true;
    }

    /// Selects the pools among the reachable nodes.
    fn find(&mut self, membership: &Membership) {
        let count = (membership.reachable_count() + 1) / NODES_PER_POOL;
        self.addresses = membership.first_ranked(count.clamp(1, MAX_POOLS));
        self.are_addresses_stale = false;
    }

    /// Sends a report to the next pool, if there is anything to report. The pool on this node responds
    /// immediately.
    pub(super) fn report(&mut self, membership: &Membership) -> Vec<Outgoing> {
        if !self.gate.has_quotas() {
            return Vec::new();
        }
        if self.are_addresses_stale {
            self.find(membership);
        }
        for _ in 0..self.addresses.len() {
            let Some(report) = self.gate.next_report() else { return Vec::new() };
            self.next = (self.next + 1) % self.addresses.len();
            if let Some(to) = self.addresses[self.next] {
                return vec![Outgoing { to, datagram: Datagram::QuotaReport(Box::new(report)) }];
            }
            if let Some(grant) = self.gate.on_report(&report) {
                self.gate.on_grant(&grant, self.addresses.len());
            }
        }
        Vec::new()
    }

    /// Number of tokens granted to this node that expired unused since the last call.
    pub(super) fn take_expired_tokens(&self) -> u64 {
        self.gate.take_expired_tokens()
    }

    /// Responds to the report of the node at `from`.
    pub(super) fn on_report(&self, from: SocketAddr, report: &QuotaReport) -> Vec<Outgoing> {
        let grant = self.gate.on_report(report).filter(|grant| !grant.granted.is_empty());
        let grant = grant.map(|grant| Outgoing { to: from, datagram: Datagram::QuotaGrant(grant) });
        grant.into_iter().collect()
    }

    /// Handles a grant of a pool, and requests missing tokens from the next one.
    pub(super) fn on_grant(&mut self, membership: &Membership, grant: &QuotaGrant) -> Vec<Outgoing> {
        self.gate.on_grant(grant, self.addresses.len());
        self.report(membership)
    }
}
