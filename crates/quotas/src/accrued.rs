//! Token-earning time accrued by one node.

use std::time::{Duration, Instant};

/// Maximum real time that counts between two calls, and maximum time that is stored. A process that was
/// suspended or that reaches no pool accrues no more. It exceeds the report interval plus the scheduling
/// delay of a node, so that no time is lost between two reports.
const MAX_STORED: Duration = Duration::from_millis(250);

/// This node's share of the time of all nodes, accrued and not yet handed to a pool.
#[derive(Debug, Default)]
pub struct AccruedTime {
    sharing_nodes: Option<u32>,
    updated_at: Option<Instant>,
    accrued: Duration,
}

impl AccruedTime {
    /// Sets the number of nodes that share the time. Unreachable nodes count, since they accrue their share
    /// as well. Nothing accrues until this is set.
    pub fn set_sharing_nodes(&mut self, now: Instant, count: usize) {
        self.accrue(now);
        self.sharing_nodes = Some(u32::try_from(count.max(1)).unwrap_or(u32::MAX));
    }

    /// Accrues the time since the last call.
    pub fn accrue(&mut self, now: Instant) {
        let before = self.updated_at.replace(now).unwrap_or(now);
        let Some(nodes) = self.sharing_nodes else { return };
        let passed = now.saturating_duration_since(before).min(MAX_STORED);
        self.accrued = (self.accrued + passed / nodes).min(MAX_STORED / nodes);
    }

    /// The accrued time.
    #[must_use]
    pub const fn stored(&self) -> Duration {
        self.accrued
    }

    /// Takes out the accrued time to hand it to a pool.
    pub const fn take_stored(&mut self) -> Duration {
        std::mem::replace(&mut self.accrued, Duration::ZERO)
    }
}
