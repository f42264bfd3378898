//! The retry budget of each service at this node, and what was counted against it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;
use umberpond_model::ServiceName;
use umberpond_selection::{RetryBudget, RetryBudgetSettings, RetryInitiator, RetryPriority, RetryStakes};
use umberpond_telemetry::{Event, Telemetry};

use super::call_rates::{CallRates, RunCalls};
use super::open_runs::CallOrigin;
use super::sharing::SharingNodes;

/// Time between two lines about one service.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// What a repeat is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryKind {
    /// A request that is sent to another back end after it has reached one.
    SentAgain,
    /// The first arrival of a call of a repeated run.
    RetriedRunCall,
}

/// What was counted of one service since the last line about it.
#[derive(Debug, Default)]
struct RetryCounts {
    requests: u64,
    /// Requests sent to another back end after they had reached one.
    repeats: u64,
    /// Calls of runs that were repeats.
    repeated_calls: u64,
    /// Repeats and calls of repeated runs that the budget did not allow.
    withheld: u64,
}

impl RetryCounts {
    const fn has_repeats(&self) -> bool {
        self.repeats + self.repeated_calls + self.withheld > 0
    }

    const fn count_repeat(&mut self, kind: RetryKind, is_taken: bool) {
        let count = match kind {
            _ if !is_taken => &mut self.withheld,
            RetryKind::SentAgain => &mut self.repeats,
            RetryKind::RetriedRunCall => &mut self.repeated_calls,
        };
        *count += 1;
    }
}

/// A repeat that is withheld.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RetryRefusal {
    /// What was at stake; absent if nothing was, since the run has lost another call.
    pub(crate) stake: Option<RetryPriority>,
    /// Repeats that the node has saved.
    pub(crate) saved: u64,
    /// The most that it may save.
    pub(crate) most_saved: u64,
}

#[derive(Debug, Default)]
struct RetryAccount {
    budget: RetryBudget,
    stakes: RetryStakes,
    counts: RetryCounts,
    told_at: Option<Instant>,
}

impl RetryAccount {
    fn take_for(
        &mut self,
        now: std::time::Instant,
        owner: RetryInitiator,
        nodes: Option<usize>,
        settings: &RetryBudgetSettings,
    ) -> Result<(), RetryRefusal> {
        let stake = self.stakes.claim(now, owner);
        let most_saved = self.budget.most_saved(now, nodes, settings);
        let is_taken = stake.is_some_and(|stake| {
            let reserved = self.stakes.reserved(now, stake, most_saved);
            self.budget.take_above(now, nodes, settings, reserved)
        });
        if is_taken {
            return Ok(());
        }
        Err(self.refusal(now, stake, nodes, settings))
    }

    fn refusal(
        &mut self,
        now: std::time::Instant,
        stake: Option<RetryPriority>,
        nodes: Option<usize>,
        settings: &RetryBudgetSettings,
    ) -> RetryRefusal {
        let saved = whole(self.budget.left(now, nodes, settings));
        let most_saved = whole(self.budget.most_saved(now, nodes, settings));
        RetryRefusal { stake, saved, most_saved }
    }
}

/// The retry budget of each service at this node.
pub(crate) struct RetryLedger {
    settings: RetryBudgetSettings,
    telemetry: Telemetry,
    sharing: SharingNodes,
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
        let sharing = SharingNodes::new(settings.window);
        Self { settings, telemetry, sharing, accounts: Mutex::default(), rates: Mutex::default() }
    }

    /// Sets the number of nodes that share the budgets, this one included.
    pub(crate) fn set_sharing_nodes(&self, count: usize) {
        self.sharing.set(count);
    }

    /// Counts a request for `service`. That of a repeated run earns no repeats: it is one.
    pub(crate) fn count_request(&self, service: &ServiceName, origin: CallOrigin) {
        let now = Instant::now().into_std();
        self.with_account(service, |account, nodes| {
            account.counts.requests += 1;
            if origin != CallOrigin::RetriedRun {
                account.budget.count_request(now, nodes, &self.settings);
            }
        });
    }

    /// Takes a repeat out of the budget of `service`, whatever is at stake with it; absent if the budget is spent.
    pub(crate) fn take(self: &Arc<Self>, service: &ServiceName, kind: RetryKind) -> Option<RetryPermit> {
        let now = Instant::now().into_std();
        let is_taken = self.with_account(service, |account, nodes| {
            let is_taken = account.budget.take(now, nodes, &self.settings);
            account.counts.count_repeat(kind, is_taken);
            is_taken
        });
        is_taken.then(|| self.grant(service))
    }

    /// Takes a repeat for `owner` out of the budget of `service`.
    ///
    /// # Errors
    /// Returns what was at stake if the budget is spent, or the rest of it kept for repeats with more at stake.
    pub(crate) fn take_for(
        self: &Arc<Self>,
        service: &ServiceName,
        owner: RetryInitiator,
    ) -> Result<RetryPermit, RetryRefusal> {
        let now = Instant::now().into_std();
        let taken = self.with_account(service, |account, nodes| {
            let taken = account.take_for(now, owner, nodes, &self.settings);
            account.counts.count_repeat(RetryKind::SentAgain, taken.is_ok());
            taken
        });
        taken.map(|()| self.grant(service))
    }

    fn grant(self: &Arc<Self>, service: &ServiceName) -> RetryPermit {
        RetryPermit { ledger: Arc::clone(self), service: service.clone(), has_arrived: true }
    }

    /// What is told of a repeat that was withheld whatever was at stake.
    pub(crate) fn refusal(&self, service: &ServiceName) -> RetryRefusal {
        let now = Instant::now().into_std();
        self.with_account(service, |account, nodes| account.refusal(now, None, nodes, &self.settings))
    }

    /// Drops what is saved of all budgets.
    pub(crate) fn discard_savings(&self) {
        for account in self.accounts.lock().values_mut() {
            account.budget.discard_savings();
        }
    }

    /// Whether the budgets of the called services bear the calls of `runs` repeated runs of `route` at the back end beside this node. A repeated run
    /// lacks all its calls, so nothing of what is kept for runs that lack one is spent on it.
    pub(crate) fn can_afford_calls(&self, route: u32, runs: u32) -> bool {
        let now = Instant::now().into_std();
        let rates = self.rates.lock();
        rates.of_route(route).all(|(service, rate)| {
            let left = self.with_account(service, |account, nodes| {
                let most_saved = account.budget.most_saved(now, nodes, &self.settings);
                let reserved = account.stakes.reserved(now, RetryPriority::RunInDoubt, most_saved);
                account.budget.left_above(now, nodes, &self.settings, reserved)
            });
            left >= rate * f64::from(runs)
        })
    }

    /// Takes in the calls of a run of `route` that has ended.
    pub(crate) fn record_calls(&self, route: u32, calls: &RunCalls) {
        self.rates.lock().record(route, calls);
    }

    /// The services that runs of `route` call, with the calls of a run that makes any.
    pub(crate) fn expected_calls(&self, route: u32) -> Vec<(ServiceName, f64)> {
        let rates = self.rates.lock();
        rates.of_route(route).map(|(service, rate)| (service.clone(), rate)).collect()
    }

    fn end_grant(&self, service: &ServiceName, has_arrived: bool) {
        self.with_account(service, |account, _nodes| {
            if has_arrived {
                account.budget.on_arrived();
            } else {
                account.budget.give_back();
            }
        });
    }

    /// Changes an account, and tells what was counted of it if that is due.
    fn with_account<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut RetryAccount, Option<usize>) -> T,
    ) -> T {
        let now = Instant::now();
        let nodes = self.sharing.get();
        let mut accounts = self.accounts.lock();
        // Each request comes by here: a name is copied only once for each service.
        let account = match accounts.get_mut(service) {
            Some(account) => account,
            None => accounts.entry(service.clone()).or_default(),
        };
        let changed = change(account, nodes);
        let period = now.saturating_duration_since(*account.told_at.get_or_insert(now));
        if period < TELL_INTERVAL {
            return changed;
        }
        account.told_at = Some(now);
        let counts = std::mem::take(&mut account.counts);
        let left = account.budget.left(now.into_std(), nodes, &self.settings);
        drop(accounts);
        if counts.has_repeats() {
            self.telemetry.emit(Event::RetriesCounted {
                service: service.clone(),
                requests: counts.requests,
                repeats: counts.repeats,
                repeated_calls: counts.repeated_calls,
                withheld: counts.withheld,
                left: whole(left),
                nodes: nodes.unwrap_or_default() as u64,
                period_millis: u64::try_from(period.as_millis()).unwrap_or(u64::MAX),
            });
        }
        changed
    }
}

/// A repeat that was taken out of a budget. It counts as sent when it is dropped, also with a request whose caller has left.
#[derive(Debug)]
pub(crate) struct RetryPermit {
    ledger: Arc<RetryLedger>,
    service: ServiceName,
    has_arrived: bool,
}

impl RetryPermit {
    /// Gives the repeat back: it arrived at no back end.
    pub(crate) fn give_back(mut self) {
        self.has_arrived = false;
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        self.ledger.end_grant(&self.service, self.has_arrived);
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small count, never negative")]
fn whole(count: f64) -> u64 {
    count as u64
}
