//! The retry budget of each service at this node, and what was counted against it.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;
use umberpond_model::ServiceName;
use umberpond_selection::{RetryBudget, RetryBudgetSettings};
use umberpond_telemetry::{Event, Telemetry};

use super::open_runs::CallOrigin;

/// Time between two lines about one service.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// What was counted of one service since the last line about it.
#[derive(Debug, Default)]
struct RetryCounts {
    requests: u64,
    /// Requests sent to another back end after they had reached one.
    repeats: u64,
    /// Calls of runs that were repeats.
    repeated_calls: u64,
    /// Repeats that the budget did not allow.
    withheld: u64,
}

impl RetryCounts {
    const fn has_repeats(&self) -> bool {
        self.repeats + self.repeated_calls + self.withheld > 0
    }
}

#[derive(Debug, Default)]
struct RetryAccount {
    budget: RetryBudget,
    counts: RetryCounts,
    told_at: Option<Instant>,
}

/// The retry budget of each service at this node.
pub(crate) struct RetryLedger {
    settings: RetryBudgetSettings,
    telemetry: Telemetry,
    live_nodes: AtomicUsize,
    accounts: Mutex<BTreeMap<ServiceName, RetryAccount>>,
}

impl RetryLedger {
    pub(crate) fn new(settings: RetryBudgetSettings, telemetry: Telemetry) -> Self {
        Self { settings, telemetry, live_nodes: AtomicUsize::new(1), accounts: Mutex::default() }
    }

    /// Sets the number of live nodes, which share the budget.
    pub(crate) fn set_sharing_nodes(&self, count: usize) {
        self.live_nodes.store(count.max(1), Ordering::Relaxed);
    }

    /// Counts a request for `service`.
    pub(crate) fn count_request(&self, service: &ServiceName, origin: CallOrigin) {
        let now = Instant::now();
        self.with_account(service, |account| {
            account.budget.count_request(now.into_std(), &self.settings);
            account.counts.requests += 1;
            if origin == CallOrigin::RepeatedRun {
                account.counts.repeated_calls += 1;
            }
        });
    }

    /// Takes one repeat out of the budget of `service`; `false` if it is spent.
    pub(crate) fn take(&self, service: &ServiceName) -> bool {
        let now = Instant::now();
        let nodes = self.live_nodes.load(Ordering::Relaxed);
        self.with_account(service, |account| {
            let is_taken = account.budget.take(now.into_std(), nodes, &self.settings);
            let count = if is_taken { &mut account.counts.repeats } else { &mut account.counts.withheld };
            *count += 1;
            is_taken
        })
    }

    /// Changes an account, and tells what was counted of it if that is due.
    fn with_account<T>(&self, service: &ServiceName, change: impl FnOnce(&mut RetryAccount) -> T) -> T {
        let now = Instant::now();
        let mut accounts = self.accounts.lock();
        let account = accounts.entry(service.clone()).or_default();
        let changed = change(account);
        let period = now.saturating_duration_since(*account.told_at.get_or_insert(now));
        if period < TELL_INTERVAL {
            return changed;
        }
        account.told_at = Some(now);
        let counts = std::mem::take(&mut account.counts);
        drop(accounts);
        if counts.has_repeats() {
            self.tell(service, &counts, period);
        }
        changed
    }

    fn tell(&self, service: &ServiceName, counts: &RetryCounts, period: Duration) {
        self.telemetry.emit(Event::RetriesCounted {
            service: service.clone(),
            requests: counts.requests,
            repeats: counts.repeats,
            repeated_calls: counts.repeated_calls,
            withheld: counts.withheld,
            nodes: self.live_nodes.load(Ordering::Relaxed) as u64,
            period_millis: crate::inbound::millis(period),
        });
    }
}
