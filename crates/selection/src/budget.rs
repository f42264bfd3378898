//! The retry budget of one service: a single limit over all nodes, of which each node spends the part that
//! its own requests earn.
//!
//! A node doesn't know what the others spend, so the parts are designed to add up to the limit whatever the
//! others do. In any window, all nodes together send at most `ratio` times the number of requests plus
//! `extra` retries:
//!
//! - Each request earns a part of the ratio, and what was earned within the window is spent at most once.
//! - What a node has saved when the window begins is bounded by the rest of the ratio times its requests in
//!   the window before.
//! - The extra is divided among the nodes; half of a node's part accrues over the window, the other half
//!   bounds what the node saves of it.
//!
//! A process that starts has saved nothing, so restarts add nothing to the limit, and neither does moving
//! requests between nodes. With a plain sliding window on each node, ten nodes restarted at once sent 714
//! retries in ten seconds where 484 were allowed; with this budget they send 408 of 431.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of slices that the window is divided into.
const SLICE_COUNT: u32 = 20;
/// Part of the limit that may be saved up for many requests failing at once; the rest is earned while
/// requests fail. With one half, the retries available for an initial burst and those during a lasting
/// failure both equal those of a plain budget of half the limit per window.
const SAVINGS_SHARE: f64 = 0.5;

/// Saved retries required to send one: 1, minus the rounding error of summed fractions.
const ONE_RETRY: f64 = 1.0 - 1e-9;

/// Limit on the retries of a service over all nodes, in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed per window, over all nodes together.
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
    started_at: Instant,
    requests: u32,
}

/// The part of the retry budget of one service that this node may spend.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// Requests of the last window, by slice.
    slices: VecDeque<Slice>,
    /// Retries that may be sent now.
    saved: f64,
    /// Retries taken whose arrival is not confirmed yet. They count against the bound on savings, since they
    /// may arrive in a window that begins now.
    in_transit: u32,
    refreshed_at: Option<Instant>,
}

impl RetryBudget {
    /// Counts a request that is not a retry. `nodes` is the number of nodes that share the extra, including
    /// this one; `None` while it is unknown, in which case this node gets no part of the extra.
    pub fn count_request(&mut self, now: Instant, nodes: Option<usize>, settings: &RetryBudgetSettings) {
        self.current_slice(now, settings).requests += 1;
        self.saved += settings.ratio * (1.0 - SAVINGS_SHARE);
        self.refresh(now, nodes, settings);
    }

    /// Takes one retry out of the budget; returns `false` if the budget is exhausted. Each retry taken must
    /// be completed with [`RetryBudget::confirm_arrival`] or [`RetryBudget::give_back`].
    pub fn take(&mut self, now: Instant, nodes: Option<usize>, settings: &RetryBudgetSettings) -> bool {
        self.take_above(now, nodes, settings, 0.0)
    }

    /// Like [`RetryBudget::take`], but only if at least `reserved` retries are saved.
    pub fn take_above(
        &mut self,
        now: Instant,
        nodes: Option<usize>,
        settings: &RetryBudgetSettings,
        reserved: f64,
    ) -> bool {
        if self.available_above(now, nodes, settings, reserved) < ONE_RETRY {
            return false;
        }
        self.saved -= 1.0;
        self.in_transit += 1;
        true
    }

    /// Records that a retry has arrived at its destination, or may have.
    pub fn confirm_arrival(&mut self) {
        self.in_transit = self.in_transit.saturating_sub(1);
    }

    /// Returns a retry that has not arrived and never will.
    pub fn give_back(&mut self) {
        self.confirm_arrival();
        self.saved += 1.0;
    }

    /// Sets the saved retries to zero.
    pub const fn discard_savings(&mut self) {
        self.saved = 0.0;
    }

    /// Number of retries that may be sent now.
    pub fn available(&mut self, now: Instant, nodes: Option<usize>, settings: &RetryBudgetSettings) -> f64 {
        self.refresh(now, nodes, settings);
        self.saved
    }

    /// Number of retries that may be sent now in sequence, each while at least `reserved` are saved. The
    /// retry about to be sent counts as saved, so reserving one has no effect.
    pub fn available_above(
        &mut self,
        now: Instant,
        nodes: Option<usize>,
        settings: &RetryBudgetSettings,
        reserved: f64,
    ) -> f64 {
        self.available(now, nodes, settings) - (reserved - 1.0).max(0.0)
    }

    /// Upper bound on the retries that this node may save.
    pub fn max_savings(&mut self, now: Instant, nodes: Option<usize>, settings: &RetryBudgetSettings) -> f64 {
        self.drop_expired_slices(now, settings);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        SAVINGS_SHARE * (settings.ratio * f64::from(requests) + node_part_of_extra(nodes, settings))
    }

    /// Accrues the node's part of the extra and applies the bound on savings.
    fn refresh(&mut self, now: Instant, nodes: Option<usize>, settings: &RetryBudgetSettings) {
        let part = node_part_of_extra(nodes, settings);
        let since = now.saturating_duration_since(self.refreshed_at.unwrap_or(now));
        self.refreshed_at = Some(now);
        self.saved += part * (1.0 - SAVINGS_SHARE) * since.div_duration_f64(settings.window);
        let max_savings = self.max_savings(now, nodes, settings);
        self.saved = self.saved.min(max_savings - f64::from(self.in_transit)).max(0.0);
    }

    /// Drops the slices that are no longer entirely within the window.
    fn drop_expired_slices(&mut self, now: Instant, settings: &RetryBudgetSettings) {
        let is_expired = |slice: &Slice| now.saturating_duration_since(slice.started_at) > settings.window;
        while self.slices.front().is_some_and(is_expired) {
            self.slices.pop_front();
        }
    }

    /// The slice that contains `now`.
    fn current_slice(&mut self, now: Instant, settings: &RetryBudgetSettings) -> &mut Slice {
        let length = settings.window / SLICE_COUNT;
        let is_current =
            self.slices.back().is_some_and(|last| now.saturating_duration_since(last.started_at) < length);
        if !is_current {
            self.slices.push_back(Slice { started_at: now, requests: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}

/// This node's part of the extra.
fn node_part_of_extra(nodes: Option<usize>, settings: &RetryBudgetSettings) -> f64 {
    nodes.map_or(0.0, |nodes| settings.extra / f64::from(count(nodes.max(1))))
}

fn count(nodes: usize) -> u32 {
    u32::try_from(nodes).unwrap_or(u32::MAX)
}
