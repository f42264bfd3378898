//! Priorities of retries, and the part of a retry budget that is reserved for retries of higher priority.
//!
//! When all back ends of a service reject a large part of their requests, the budget is far too small for all
//! retries. A retry of a call is wasted if the calling run fails anyway; if the call is the only one that the
//! run still lacks, a retry saves the run, its other calls and the time of its slot. A caller can resend a
//! rejected request, but a run that has failed makes all its calls again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time constant of the demand for retries: the number reserved is the mean demand with higher priority over
/// this time. What is earned later pays for later retries.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Lowest recent demand that has an effect: a single request for a retry that is older than the time constant
/// doesn't reach it.
const MIN_DEMAND: f64 = 0.3;

/// Priority of a retry, the lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPriority {
    /// A run that lacks several calls: one retry doesn't save it.
    RunLacksSeveralCalls,
    /// A request of a caller, while retries of more urgent requests are also in demand.
    LessUrgentRequest,
    /// A request of a caller.
    Request,
    /// A run that lacks only this call, as far as is known.
    RunLacksOneCall,
}

impl RetryPriority {
    /// Largest share of the savings bound that is reserved for retries of higher priority.
    const fn reserved_share(self) -> f64 {
        match self {
            Self::RunLacksSeveralCalls => 0.75,
            Self::LessUrgentRequest => 0.5,
            Self::Request => 0.25,
            Self::RunLacksOneCall => 0.0,
        }
    }

    /// Name of the priority in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::RunLacksSeveralCalls => "run-in-doubt",
            Self::LessUrgentRequest => "less-urgent-request",
            Self::Request => "request",
            Self::RunLacksOneCall => "last-call",
        }
    }
}

/// States of the other calls of the run that made a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OtherCalls {
    /// Calls in transit or at a back end that have not been rejected so far.
    pub open: u32,
    /// Calls that a back end has rejected and that have no response yet.
    pub rejected: u32,
    /// Calls that have failed.
    pub lost: u32,
}

/// Who waits for the response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryInitiator {
    /// A caller whose request has this priority rank; 0 is the most urgent.
    Caller {
        /// Rank of the request.
        rank: u8,
    },
    /// A run that has made these other calls.
    Run(OtherCalls),
}

/// Recent demand for retries of one service at this node.
#[derive(Debug, Default)]
pub struct RetryDemand {
    last_missing_calls: DecayingCount,
    /// Demand by priority rank of the callers' requests.
    ranks: BTreeMap<u8, DecayingCount>,
}

impl RetryDemand {
    /// Records that `initiator` requests a retry, and returns its priority; `None` if a retry is useless because
    /// another call of the run has failed.
    pub fn record(&mut self, now: Instant, initiator: RetryInitiator) -> Option<RetryPriority> {
        match initiator {
            RetryInitiator::Run(others) if others.lost > 0 => None,
            RetryInitiator::Run(others) if others.rejected > 0 => Some(RetryPriority::RunLacksSeveralCalls),
            RetryInitiator::Run(_) => {
                self.last_missing_calls.add(now);
                Some(RetryPriority::RunLacksOneCall)
            }
            RetryInitiator::Caller { rank } => {
                self.ranks.entry(rank).or_default().add(now);
                Some(self.request_priority(now, rank))
            }
        }
    }

    /// Number of retries that a retry with priority `priority` must leave in the budget if up to `max_savings`
    /// may be saved. Requests leave no more than the recent demand of higher priority; a run that lacks
    /// several calls leaves its whole share, since a retry hardly saves it.
    #[must_use]
    pub fn reserved(&self, now: Instant, priority: RetryPriority, max_savings: f64) -> f64 {
        let share = priority.reserved_share() * max_savings;
        let last_missing_calls = self.last_missing_calls.get(now);
        let requests: f64 = self.ranks.values().map(|count| count.get(now)).sum();
        match priority {
            RetryPriority::RunLacksSeveralCalls if last_missing_calls + requests >= MIN_DEMAND => share,
            RetryPriority::RunLacksSeveralCalls | RetryPriority::RunLacksOneCall => 0.0,
            RetryPriority::LessUrgentRequest => share.min(last_missing_calls + self.most_urgent_demand(now)),
            RetryPriority::Request => share.min(last_missing_calls),
        }
    }

    /// Priority of a request with `rank`, which depends on whether retries of more urgent requests are in
    /// demand.
    fn request_priority(&self, now: Instant, rank: u8) -> RetryPriority {
        let more_urgent: f64 = self.ranks.range(..rank).map(|(_rank, count)| count.get(now)).sum();
        if more_urgent >= MIN_DEMAND { RetryPriority::LessUrgentRequest } else { RetryPriority::Request }
    }

    /// Recent demand of the most urgent rank that has any.
    fn most_urgent_demand(&self, now: Instant) -> f64 {
        let mut counts = self.ranks.values().map(|count| count.get(now));
        counts.find(|count| *count >= MIN_DEMAND).unwrap_or_default()
    }
}

/// A count of events whose weight decays exponentially with age.
#[derive(Debug, Default, Clone, Copy)]
struct DecayingCount {
    count: f64,
    at: Option<Instant>,
}

impl DecayingCount {
    fn add(&mut self, now: Instant) {
        self.count = self.get(now) + 1.0;
        self.at = Some(now);
    }

    fn get(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let age = now.saturating_duration_since(at);
        self.count * (-age.div_duration_f64(DEMAND_TIME_CONSTANT)).exp()
    }
}
