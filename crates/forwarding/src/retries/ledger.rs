//! Manages the retry budget of each service at this node, and counts what is charged to it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;
use umberpond_model::ServiceName;
use umberpond_selection::{RetryBudget, RetryBudgetSettings, RetryDemand, RetryInitiator, RetryPriority};
use umberpond_telemetry::{Event, Telemetry};

use super::active_runs::CallOrigin;
use super::call_rates::{CallRates, RunCalls};
use super::sharing_nodes::SharingNodes;

/// Shortest time between two log lines about one service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Kind of a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryKind {
    /// A request that this node sends to another back end after it has reached one.
    Resent,
    /// The first arrival of a call of a retried run.
    RetriedRunCall,
}

/// Counters of one service since its last log line.
#[derive(Debug, Default)]
struct RetryCounts {
    requests: u64,
    /// Requests sent to another back end after they had reached one.
    repeats: u64,
    /// Calls of retried runs.
    repeated_calls: u64,
    /// Retries and calls of retried runs that the budget did not allow.
    withheld: u64,
}

impl RetryCounts {
    const fn has_retries(&self) -> bool {
        self.repeats + self.repeated_calls + self.withheld > 0
    }

    const fn count_retry(&mut self, kind: RetryKind, is_taken: bool) {
        let count = match kind {
            _ if !is_taken => &mut self.withheld,
            RetryKind::Resent => &mut self.repeats,
            RetryKind::RetriedRunCall => &mut self.repeated_calls,
        };
        *count += 1;
    }
}

/// A retry that the budget did not allow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RetryRefusal {
    /// Priority of the retry; `None` if it is useless because another call of the run has failed.
    pub(crate) priority: Option<RetryPriority>,
    /// Retries that the node has saved.
    pub(crate) saved: u64,
    /// Upper bound on the retries that it may save.
    pub(crate) most_saved: u64,
}

#[derive(Debug, Default)]
struct RetryAccount {
    budget: RetryBudget,
    demand: RetryDemand,
    counts: RetryCounts,
    logged_at: Option<Instant>,
}

impl RetryAccount {
    fn take_for(
        &mut self,
        now: std::time::Instant,
        initiator: RetryInitiator,
        nodes: Option<usize>,
        settings: &RetryBudgetSettings,
    ) -> Result<(), RetryRefusal> {
        let priority = self.demand.record(now, initiator);
        let max_savings = self.budget.max_savings(now, nodes, settings);
        let is_taken = priority.is_some_and(|priority| {
            let reserved = self.demand.reserved(now, priority, max_savings);
            self.budget.take_above(now, nodes, settings, reserved)
        });
        if is_taken {
            return Ok(());
        }
        Err(self.refusal(now, priority, nodes, settings))
    }

    fn refusal(
        &mut self,
        now: std::time::Instant,
        priority: Option<RetryPriority>,
        nodes: Option<usize>,
        settings: &RetryBudgetSettings,
    ) -> RetryRefusal {
        let saved = to_whole(self.budget.available(now, nodes, settings));
        let max_savings = to_whole(self.budget.max_savings(now, nodes, settings));
        RetryRefusal { priority, saved, most_saved: max_savings }
    }
}

/// The retry budgets of all services at this node.
pub(crate) struct RetryLedger {
    settings: RetryBudgetSettings,
    telemetry: Telemetry,
    sharing_nodes: SharingNodes,
    accounts: Mutex<BTreeMap<ServiceName, RetryAccount>>,
    rates: Mutex<CallRates>,
}

impl std::fmt::Debug for RetryLedger {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("RetryLedger")
            .field("accounts", &*self.accounts.lock())
            .finish_non_exhaustive()
    }
}

impl RetryLedger {
    pub(crate) fn new(settings: RetryBudgetSettings, telemetry: Telemetry) -> Self {
        let sharing_nodes = SharingNodes::new(settings.window);
        Self { settings, telemetry, sharing_nodes, accounts: Mutex::default(), rates: Mutex::default() }
    }

    /// Sets the number of nodes that share the budgets, including this one.
    pub(crate) fn set_sharing_nodes(&self, count: usize) {
        self.sharing_nodes.set(count);
    }

    /// Counts a request for `service`. A request of a retried run earns no retries, since it counts as one
    /// itself.
    pub(crate) fn count_request(&self, service: &ServiceName, origin: CallOrigin) {
        let now = Instant::now().into_std();
        self.with_account(service, |account, nodes| {
            account.counts.requests += 1;
            if origin != CallOrigin::RetriedRun {
                account.budget.count_request(now, nodes, &self.settings);
            }
        });
    }

    /// Takes a retry out of the budget of `service` regardless of priority. Returns `None` if the budget is
    /// exhausted.
    pub(crate) fn take(self: &Arc<Self>, service: &ServiceName, kind: RetryKind) -> Option<RetryPermit> {
        let now = Instant::now().into_std();
        let is_taken = self.with_account(service, |account, nodes| {
            let is_taken = account.budget.take(now, nodes, &self.settings);
            account.counts.count_retry(kind, is_taken);
            is_taken
        });
        is_taken.then(|| self.permit(service))
    }

    /// Takes a retry for `initiator` out of the budget of `service`.
    ///
    /// # Errors
    /// Returns the priority of the retry if the budget is exhausted, or the rest of it is reserved for
    /// retries of higher priority.
    pub(crate) fn take_for(
        self: &Arc<Self>,
        service: &ServiceName,
        initiator: RetryInitiator,
    ) -> Result<RetryPermit, RetryRefusal> {
        let now = Instant::now().into_std();
        let taken = self.with_account(service, |account, nodes| {
            let taken = account.take_for(now, initiator, nodes, &self.settings);
            account.counts.count_retry(RetryKind::Resent, taken.is_ok());
            taken
        });
        taken.map(|()| self.permit(service))
    }

    fn permit(self: &Arc<Self>, service: &ServiceName) -> RetryPermit {
        RetryPermit { ledger: Arc::clone(self), service: service.clone(), has_arrived: true }
    }

    /// Figures to report for a retry that was denied regardless of priority.
    pub(crate) fn refusal(&self, service: &ServiceName) -> RetryRefusal {
        let now = Instant::now().into_std();
        self.with_account(service, |account, nodes| account.refusal(now, None, nodes, &self.settings))
    }

    /// Sets the saved retries of all budgets to zero.
    pub(crate) fn discard_savings(&self) {
        for account in self.accounts.lock().values_mut() {
            account.budget.discard_savings();
        }
    }

    /// Whether the budgets of the called services cover the calls of `runs` retried runs of `route` at the
    /// local back end. A retried run lacks all its calls, so it may not use what is reserved for runs that
    /// lack only one.
    pub(crate) fn can_afford_calls(&self, route: u32, runs: u32) -> bool {
        let now = Instant::now().into_std();
        let rates = self.rates.lock();
        rates.of_route(route).all(|(service, rate)| {
            let available = self.with_account(service, |account, nodes| {
                let max_savings = account.budget.max_savings(now, nodes, &self.settings);
                let reserved = account.demand.reserved(now, RetryPriority::RunLacksSeveralCalls, max_savings);
                account.budget.available_above(now, nodes, &self.settings, reserved)
            });
            available >= rate * f64::from(runs)
        })
    }

    /// Records the calls of a run of `route` that has ended.
    pub(crate) fn record_calls(&self, route: u32, calls: &RunCalls) {
        self.rates.lock().record(route, calls);
    }

    /// The services that runs of `route` call, with the mean number of calls of the runs that call them.
    pub(crate) fn expected_calls(&self, route: u32) -> Vec<(ServiceName, f64)> {
        let rates = self.rates.lock();
        rates.of_route(route).map(|(service, rate)| (service.clone(), rate)).collect()
    }

    fn end_permit(&self, service: &ServiceName, has_arrived: bool) {
        self.with_account(service, |account, _nodes| {
            if has_arrived {
                account.budget.confirm_arrival();
            } else {
                account.budget.give_back();
            }
        });
    }

    /// Applies `change` to the account of `service`, and logs its counters if the log interval has passed.
    fn with_account<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut RetryAccount, Option<usize>) -> T,
    ) -> T {
        let now = Instant::now();
        let nodes = self.sharing_nodes.get();
        let mut accounts = self.accounts.lock();
        // This is on the path of each request: the name is cloned only once per service.
        let account = match accounts.get_mut(service) {
            Some(account) => account,
            None => accounts.entry(service.clone()).or_default(),
        };
        let changed = change(account, nodes);
        let period = now.saturating_duration_since(*account.logged_at.get_or_insert(now));
        if period < LOG_INTERVAL {
            return changed;
        }
        account.logged_at = Some(now);
        let counts = std::mem::take(&mut account.counts);
        let available = account.budget.available(now.into_std(), nodes, &self.settings);
        drop(accounts);
        if counts.has_retries() {
            self.telemetry.emit(Event::RetriesCounted {
                service: service.clone(),
                requests: counts.requests,
                repeats: counts.repeats,
                repeated_calls: counts.repeated_calls,
                withheld: counts.withheld,
                left: to_whole(available),
                nodes: nodes.unwrap_or_default() as u64,
                period_millis: u64::try_from(period.as_millis()).unwrap_or(u64::MAX),
            });
        }
        changed
    }
}

/// A retry taken out of a budget. It counts as sent when it is dropped, including when the request is dropped
/// because its caller has disconnected.
#[derive(Debug)]
pub(crate) struct RetryPermit {
    ledger: Arc<RetryLedger>,
    service: ServiceName,
    has_arrived: bool,
}

impl RetryPermit {
    /// Returns the retry to the budget, since it did not arrive at any back end.
    pub(crate) fn give_back(mut self) {
        self.has_arrived = false;
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        self.ledger.end_permit(&self.service, self.has_arrived);
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small count, never negative")]
fn to_whole(count: f64) -> u64 {
    count as u64
}
