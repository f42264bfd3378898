//! What is at stake with a repeat, and which part of a retry budget is kept for repeats with more at stake.
//!
//! When all back ends of a service turn a large part of what arrives away, the budget is far too small for all repeats. One that is spent on a
//! call whose run fails all the same helps nobody; one on a call that is all its run lacks saves the run, its other calls and the time of its
//! slot. A caller whose request is refused may send it anew, a run that has failed makes all its calls again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long a repeat that was asked for shows that there are such repeats. A node that makes one call a second of which a half is turned away
/// asks for several within it.
const CLAIM_MEMORY: Duration = Duration::from_secs(5);

/// What is lost if a repeat is withheld, the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryStake {
    /// A run that lacks several calls: one repeat doesn't save it.
    RunInDoubt,
    /// A request of a caller. Repeats of more urgent ones are asked for as well.
    LessUrgentRequest,
    /// A request of a caller.
    Request,
    /// A run that lacks this call alone, as far as is known.
    LastCall,
}

impl RetryStake {
    /// Share of what may be saved that is kept for repeats with more at stake.
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
    pub const fn word(self) -> &'static str {
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
pub enum RetryOwner {
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
    last_call_at: Option<Instant>,
    /// When a repeat was asked for last, by the rank of the caller's request.
    ranks: BTreeMap<u8, Instant>,
}

impl RetryStakes {
    /// Takes in that `owner` asks for a repeat; tells what is at stake with it. Absent if nothing is, since the run has lost another call.
    pub fn claim(&mut self, now: Instant, owner: RetryOwner) -> Option<RetryStake> {
        match owner {
            RetryOwner::Run(others) if others.lost > 0 => None,
            RetryOwner::Run(others) if others.rejected > 0 => Some(RetryStake::RunInDoubt),
            RetryOwner::Run(_) => {
                self.last_call_at = Some(now);
                Some(RetryStake::LastCall)
            }
            RetryOwner::Caller { rank } => {
                self.ranks.insert(rank, now);
                Some(self.stake_of_rank(now, rank))
            }
        }
    }

    /// Share of what may be saved that a repeat with `stake` leaves. Nothing is kept if no repeat with more at stake was asked for lately.
    #[must_use]
    pub fn reserved_share(&self, now: Instant, stake: RetryStake) -> f64 {
        let has_requests = self.ranks.values().any(|at| is_recent(now, *at));
        let has_more_at_stake = match stake {
            RetryStake::RunInDoubt => has_requests || self.has_last_calls(now),
            RetryStake::LessUrgentRequest => true,
            RetryStake::Request => self.has_last_calls(now),
            RetryStake::LastCall => false,
        };
        if has_more_at_stake { stake.reserved_share() } else { 0.0 }
    }

    fn stake_of_rank(&self, now: Instant, rank: u8) -> RetryStake {
        let has_more_urgent = self.ranks.range(..rank).any(|(_rank, at)| is_recent(now, *at));
        if has_more_urgent { RetryStake::LessUrgentRequest } else { RetryStake::Request }
    }

    fn has_last_calls(&self, now: Instant) -> bool {
        self.last_call_at.is_some_and(|at| is_recent(now, at))
    }
}

/// Whether a repeat that was asked for at `at` still counts.
fn is_recent(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) <= CLAIM_MEMORY
}
