//! The retry budget: retries may be a share of live traffic and no more, so they never grow an overload.

use parking_lot::Mutex;
use umberpond_model::Timestamp;

/// Tokens are counted in thousandths, so that a share is a whole number.
const THOUSANDTHS: u64 = 1_000;

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Retries allowed per thousand requests.
    pub retries_per_thousand: u64,
    /// Retries allowed each second whatever the traffic, so that little traffic can still retry.
    pub minimum_per_second: u64,
    /// Retries that may be saved up.
    pub burst: u64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self { retries_per_thousand: 100, minimum_per_second: 1, burst: 20 }
    }
}

/// Counts how many retries the traffic to one service may have. Starts full.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    state: Mutex<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    thousandths: u64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// A full budget.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings, now: Timestamp) -> Self {
        let thousandths = settings.burst * THOUSANDTHS;
        Self { settings, state: Mutex::new(BudgetState { thousandths, refilled_at: now }) }
    }

    /// Notes a new request (not a retry), which earns its share.
    pub fn on_request(&self, now: Timestamp) {
        let mut state = self.state.lock();
        self.refill(&mut state, now);
        self.earn(&mut state, self.settings.retries_per_thousand);
    }

    /// Spends one retry if there is one.
    pub fn try_spend(&self, now: Timestamp) -> bool {
        let mut state = self.state.lock();
        self.refill(&mut state, now);
        if state.thousandths < THOUSANDTHS {
            return false;
        }
        state.thousandths -= THOUSANDTHS;
        true
    }

    /// Whole retries left.
    #[must_use]
    pub fn left(&self) -> u64 {
        self.state.lock().thousandths / THOUSANDTHS
    }

    /// One per second is one thousandth per millisecond.
    fn refill(&self, state: &mut BudgetState, now: Timestamp) {
        let elapsed = now.since(state.refilled_at);
        state.refilled_at = state.refilled_at.max(now);
        self.earn(state, elapsed.0.saturating_mul(self.settings.minimum_per_second));
    }

    fn earn(&self, state: &mut BudgetState, thousandths: u64) {
        let most = self.settings.burst * THOUSANDTHS;
        state.thousandths = state.thousandths.saturating_add(thousandths).min(most);
    }
}
