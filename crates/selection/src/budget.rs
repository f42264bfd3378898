//! The retry budget of one service: one allowance for all nodes, of which each node spends what its own requests earn.
//!
//! A node never knows what the others spend, so the parts have to fit whatever the others do. In any window all nodes together send no more
//! repeats than `ratio` times the requests, and `extra`:
//!
//! - Each request earns a part of the ratio, and what was earned within the window is spent at most once.
//! - What a node had saved when the window began is bounded by the rest of the ratio times its requests of the window before.
//! - The extra is divided among the nodes; a half of a node's part comes in by and by, the other half bounds what is saved of it.
//!
//! A process that starts has saved nothing, so restarts add nothing, however many there are. Nor does it matter to which node requests move. With a plain
//! window at each node, ten nodes restarted at once sent 714 repeats in ten seconds where 484 were allowed; so they send 408 of 431.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Slices into which the window is divided.
const SLICES: u32 = 20;
/// Part of the allowance that may be saved up, so that it is there when many requests fail at once; the rest is earned while they fail. With a
/// half, both the repeats of a first moment and those of a lasting trouble are as many as with a plain half of the allowance in each window.
const SAVED_SHARE: f64 = 0.5;

/// What has to be saved for a repeat: one, less what sums of fractions lose.
const WHOLE: f64 = 1.0 - 1e-9;

/// The allowance of a service over all nodes, in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed on top, over all nodes together.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self { ratio: 0.1, extra: 10.0, window: Duration::from_secs(10) }
    }
}

#[derive(Debug, Clone, Copy)]
struct Slice {
    began: Instant,
    requests: u32,
}

/// What this node may send again of one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// Requests of the last window.
    slices: VecDeque<Slice>,
    /// Repeats that may be sent now.
    saved: f64,
    /// Repeats taken that may not have arrived yet. They count as saved: they may arrive in a window that begins now.
    on_the_way: u32,
    refreshed_at: Option<Instant>,
}

impl RetryBudget {
    /// Counts a request that is no repeat. `nodes` is the number of nodes that share the extra, this one included; absent while it isn't
    /// known, when this node has no part of it.
    pub fn count_request(&mut self, now: Instant, nodes: Option<usize>, settings: &RetryBudgetSettings) {
        self.slice(now, settings).requests += 1;
        self.saved += settings.ratio * (1.0 - SAVED_SHARE);
        self.refresh(now, nodes, settings);
    }

    /// Takes one repeat out of the budget; `false` if it is spent. What is taken ends with [`RetryBudget::on_arrived`] or
    /// [`RetryBudget::give_back`].
    pub fn take(&mut self, now: Instant, nodes: Option<usize>, settings: &RetryBudgetSettings) -> bool {
        self.take_above(now, nodes, settings, 0.0)
    }

    /// As [`RetryBudget::take`], and only if no less than `reserved` repeats are saved.
    pub fn take_above(
        &mut self,
        now: Instant,
        nodes: Option<usize>,
        settings: &RetryBudgetSettings,
        reserved: f64,
    ) -> bool {
        if self.left_above(now, nodes, settings, reserved) < WHOLE {
            return false;
        }
        self.saved -= 1.0;
        self.on_the_way += 1;
        true
    }

    /// Takes in that a repeat has arrived, or may have.
    pub fn on_arrived(&mut self) {
        self.on_the_way = self.on_the_way.saturating_sub(1);
    }

    /// Gives a repeat back that has not arrived and never will.
    pub fn give_back(&mut self) {
        self.on_arrived();
        self.saved += 1.0;
    }

    /// Drops what is saved.
    pub const fn discard_savings(&mut self) {
        self.saved = 0.0;
    }

    /// Repeats that may be sent now.
    pub fn left(&mut self, now: Instant, nodes: Option<usize>, settings: &RetryBudgetSettings) -> f64 {
        self.refresh(now, nodes, settings);
        self.saved
    }

    /// Repeats that may be sent now one after another, each while no less than `reserved` are saved. The one that is to be sent counts as saved, so to reserve
    /// one is to reserve none.
    pub fn left_above(
        &mut self,
        now: Instant,
        nodes: Option<usize>,
        settings: &RetryBudgetSettings,
        reserved: f64,
    ) -> f64 {
        self.left(now, nodes, settings) - (reserved - 1.0).max(0.0)
    }

    /// The most that this node may save.
    pub fn most_saved(&mut self, now: Instant, nodes: Option<usize>, settings: &RetryBudgetSettings) -> f64 {
        self.forget_old(now, settings);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        SAVED_SHARE * (settings.ratio * f64::from(requests) + part_of_extra(nodes, settings))
    }

    /// Lets the node's part of the extra come in, and bounds what is saved.
    fn refresh(&mut self, now: Instant, nodes: Option<usize>, settings: &RetryBudgetSettings) {
        let part = part_of_extra(nodes, settings);
        let since = now.saturating_duration_since(self.refreshed_at.unwrap_or(now));
        self.refreshed_at = Some(now);
        self.saved += part * (1.0 - SAVED_SHARE) * since.div_duration_f64(settings.window);
        let most = self.most_saved(now, nodes, settings);
        self.saved = self.saved.min(most - f64::from(self.on_the_way)).max(0.0);
    }

    /// Drops the slices that have left the window, even if only in part.
    fn forget_old(&mut self, now: Instant, settings: &RetryBudgetSettings) {
        let is_old = |slice: &Slice| now.saturating_duration_since(slice.began) > settings.window;
        while self.slices.front().is_some_and(is_old) {
            self.slices.pop_front();
        }
    }

    /// The slice of the present time.
    fn slice(&mut self, now: Instant, settings: &RetryBudgetSettings) -> &mut Slice {
        let length = settings.window / SLICES;
        let is_current =
            self.slices.back().is_some_and(|last| now.saturating_duration_since(last.began) < length);
        if !is_current {
            self.slices.push_back(Slice { began: now, requests: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}

/// This node's part of the extra.
fn part_of_extra(nodes: Option<usize>, settings: &RetryBudgetSettings) -> f64 {
    nodes.map_or(0.0, |nodes| settings.extra / f64::from(count(nodes.max(1))))
}

fn count(nodes: usize) -> u32 {
    u32::try_from(nodes).unwrap_or(u32::MAX)
}
