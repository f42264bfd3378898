//! The time that one node earns.

use std::time::{Duration, Instant};

/// Most real time that is earned between two looks, and most that is kept: a process that did not run for a while, or that reaches no
/// pool, earns nothing beyond it. More than the interval of reports and a node's wait for a processor, or time would be lost between two reports.
const MOST_KEPT: Duration = Duration::from_millis(250);

/// The part of the time of all nodes that this one has earned and not handed on.
#[derive(Debug, Default)]
pub struct EarnedTime {
    sharing_nodes: Option<u32>,
    looked_at: Option<Instant>,
    earned: Duration,
}

impl EarnedTime {
    /// Sets the number of nodes that share the time, those included that can't be reached: they earn their parts too. Until it is set nothing is earned.
    pub fn set_sharing_nodes(&mut self, now: Instant, count: usize) {
        self.earn(now);
        self.sharing_nodes = Some(u32::try_from(count.max(1)).unwrap_or(u32::MAX));
    }

    /// Takes in that time has passed.
    pub fn earn(&mut self, now: Instant) {
        let before = self.looked_at.replace(now).unwrap_or(now);
        let Some(nodes) = self.sharing_nodes else { return };
        let passed = now.saturating_duration_since(before).min(MOST_KEPT);
        self.earned = (self.earned + passed / nodes).min(MOST_KEPT / nodes);
    }

    /// What is kept.
    #[must_use]
    pub const fn kept(&self) -> Duration {
        self.earned
    }

    /// Hands on what is kept.
    pub const fn hand_on(&mut self) -> Duration {
        std::mem::replace(&mut self.earned, Duration::ZERO)
    }
}
