//! What is at stake with a repeat, and which part of a retry budget is kept for repeats with more at stake.
//!
//! When all back ends of a service turn a large part of what arrives away, the budget is far too small for all repeats. One that is spent on a
//! call whose run fails all the same helps nobody; one on a call that is all its run lacks saves the run, its other calls and the time of its
//! slot. A caller whose request is refused may send it anew, a run that has failed makes all its calls again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for which repeats are kept: as many as were asked for with more at stake within it, in the mean. What is earned until then pays for later ones.
const CLAIM_MEMORY: Duration = Duration::from_secs(5);

/// Repeats asked for lately from which on they decide anything: one that is older than the memory does not.
const FEWEST_CLAIMS: f64 = 0.3;

/// What is lost if a repeat is withheld, the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPriority {
    /// A run that lacks several calls: one repeat doesn't save it.
    RunInDoubt,
    /// A request of a caller. Repeats of more urgent ones are asked for as well.
    LessUrgentRequest,
    /// A request of a caller.
    Request,
    /// A run that lacks this call alone, as far as is known.
    LastCall,
}

impl RetryPriority {
    /// Greatest share of what may be saved that is kept for repeats with more at stake.
    const fn reserved_share(self) -> f64 {
        match self {
            Self::RunInDoubt => 0.75,
            Self::LessUrgentRequest => 0.5,
            Self::Request => 0.25,
            Self::LastCall => 0.0,
        }
    }

    /// The stake as one word, for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::RunInDoubt => "run-in-doubt",
            Self::LessUrgentRequest => "less-urgent-request",
            Self::Request => "request",
            Self::LastCall => "last-call",
        }
    }
}

/// The other calls of the run that has made a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OtherCalls {
    /// Calls on their way or at a back end, and not turned away so far.
    pub open: u32,
    /// Calls that a back end has turned away, and that have no answer yet.
    pub rejected: u32,
    /// Calls that have failed.
    pub lost: u32,
}

/// Who needs the answer of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryInitiator {
    /// A caller, whose request has this rank; 0 is the most urgent.
    Caller {
        /// Rank of the request.
        rank: u8,
    },
    /// A run, which has made these other calls.
    Run(OtherCalls),
}

/// What was at stake with the repeats of one service that were asked for lately at this node.
#[derive(Debug, Default)]
pub struct RetryStakes {
    last_calls: RecentCount,
    /// Repeats asked for by rank of the caller's request.
    ranks: BTreeMap<u8, RecentCount>,
}

impl RetryStakes {
    /// Takes in that `owner` asks for a repeat; tells what is at stake with it. Absent if nothing is, since the run has lost another call.
    pub fn claim(&mut self, now: Instant, owner: RetryInitiator) -> Option<RetryPriority> {
        match owner {
            RetryInitiator::Run(others) if others.lost > 0 => None,
            RetryInitiator::Run(others) if others.rejected > 0 => Some(RetryPriority::RunInDoubt),
            RetryInitiator::Run(_) => {
                self.last_calls.add(now);
                Some(RetryPriority::LastCall)
            }
            RetryInitiator::Caller { rank } => {
                self.ranks.entry(rank).or_default().add(now);
                Some(self.stake_of_rank(now, rank))
            }
        }
    }

    /// Repeats that one with `stake` leaves, where `most_saved` may be saved: a share of these. Requests leave no more than was asked for lately with
    /// more at stake; a run that lacks several calls leaves the whole share, since a repeat hardly saves it.
    #[must_use]
    pub fn reserved(&self, now: Instant, stake: RetryPriority, most_saved: f64) -> f64 {
        let share = stake.reserved_share() * most_saved;
        let last_calls = self.last_calls.get(now);
        let requests: f64 = self.ranks.values().map(|count| count.get(now)).sum();
        match stake {
            RetryPriority::RunInDoubt if last_calls + requests >= FEWEST_CLAIMS => share,
            RetryPriority::RunInDoubt | RetryPriority::LastCall => 0.0,
            RetryPriority::LessUrgentRequest => share.min(last_calls + self.most_urgent(now)),
            RetryPriority::Request => share.min(last_calls),
        }
    }

    /// Whether repeats of more urgent requests are asked for.
    fn stake_of_rank(&self, now: Instant, rank: u8) -> RetryPriority {
        let more_urgent: f64 = self.ranks.range(..rank).map(|(_rank, count)| count.get(now)).sum();
        if more_urgent >= FEWEST_CLAIMS { RetryPriority::LessUrgentRequest } else { RetryPriority::Request }
    }

    /// Repeats asked for lately of the most urgent rank.
    fn most_urgent(&self, now: Instant) -> f64 {
        let mut counts = self.ranks.values().map(|count| count.get(now));
        counts.find(|count| *count >= FEWEST_CLAIMS).unwrap_or_default()
    }
}

/// A count in which each event counts less with its age.
#[derive(Debug, Default, Clone, Copy)]
struct RecentCount {
    count: f64,
    at: Option<Instant>,
}

impl RecentCount {
    fn add(&mut self, now: Instant) {
        self.count = self.get(now) + 1.0;
        self.at = Some(now);
    }

    fn get(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let age = now.saturating_duration_since(at);
        self.count * (-age.div_duration_f64(CLAIM_MEMORY)).exp()
    }
}
