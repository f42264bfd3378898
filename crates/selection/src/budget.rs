//! The retry budget of one service: one allowance for all nodes, of which each node spends its share.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Slices into which the window is divided.
const SLICES: u32 = 20;

/// The allowance of a service over all nodes, in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed on top, over all nodes together.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
    /// Part of the allowance that is spent at most; the rest covers what this node can't see, such as the calls that
    /// a repeated request makes in its turn.
    pub spent_share: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self { ratio: 0.1, extra: 10.0, window: Duration::from_secs(10), spent_share: 0.5 }
    }
}

#[derive(Debug, Clone, Copy)]
struct Slice {
    began: Instant,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one service at this node during the window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    /// Counts a request.
    pub fn count_request(&mut self, now: Instant, settings: &RetryBudgetSettings) {
        self.slice(now, settings).requests += 1;
    }

    /// Takes one repeat out of the budget; `false` if it is spent. `nodes` is the number of live nodes, this one
    /// included.
    pub fn take(&mut self, now: Instant, nodes: usize, settings: &RetryBudgetSettings) -> bool {
        self.slice(now, settings);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let repeats: u32 = self.slices.iter().map(|slice| slice.repeats).sum();
        let share = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
        let allowed = settings.ratio * f64::from(requests) + settings.extra / f64::from(share);
        if f64::from(repeats + 1) > allowed * settings.spent_share {
            return false;
        }
        self.slice(now, settings).repeats += 1;
        true
    }

    /// The slice of the present time; those that have left the window are dropped.
    fn slice(&mut self, now: Instant, settings: &RetryBudgetSettings) -> &mut Slice {
        let length = settings.window / SLICES;
        while self
            .slices
            .front()
            .is_some_and(|oldest| now.saturating_duration_since(oldest.began) > settings.window)
        {
            self.slices.pop_front();
        }
        let is_current =
            self.slices.back().is_some_and(|last| now.saturating_duration_since(last.began) < length);
        if !is_current {
            self.slices.push_back(Slice { began: now, requests: 0, repeats: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
