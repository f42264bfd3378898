//! One checker for each promise of the system, as a plain function over a recorded history.

mod budget;
mod convergence;
mod lifecycle;
mod requests;
mod submissions;
mod versions;

use std::fmt;

use umberpond_model::{Millis, NodeName, ServiceName, SubmissionId, Version};

use crate::history::{CallerOutcome, History, RequestKey, SubmissionClaim};

pub use budget::retry_budget_kept;
pub use convergence::{CONVERGENCE_LIMIT, in_force_within_seconds};
pub use lifecycle::{DRAIN_LIMIT, leaving_back_end_gets_no_new_work, planned_stop_cuts_nothing};
pub use requests::{
    allowed_locality_only, at_most_once, one_run_a_caller_key, rejected_did_not_run, serving_after_faults,
    whole_own_answer,
};
pub use submissions::submission_told_true;
pub use versions::{never_applied_in_part, never_back, no_dangling_reference};

/// The invariants, in the order of the promises they stand for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// No process puts a version in force that is older than one it held in force before; nor does a restarted one,
    /// unless the store may be out of its reach.
    NeverBack,
    /// No route in force points at a service or secret that the node lacks.
    NoDanglingReference,
    /// What is in force is exactly an accepted version, restricted to the node's scope.
    NeverAppliedInPart,
    /// A caller gets the whole answer to its own request.
    WholeOwnAnswer,
    /// What was refused as rejected before execution did not run.
    RejectedDidNotRun,
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// A back end that is leaving gets no new work after [`DRAIN_LIMIT`].
    LeavingGetsNoNewWork,
    /// A planned stop cuts no request in flight.
    PlannedStopCutsNothing,
    /// An accepted version is in force everywhere within seconds and stays.
    InForceWithinSeconds,
    /// A request is served only in a locality that its service allows.
    AllowedLocalityOnly,
    /// What an operator was told of a submission is true.
    SubmissionToldTrue,
    /// Within seconds of the end of the last fault every request is answered.
    ServingAfterFaults,
    /// All nodes together send no more requests again than the retry budget of their service allows in any window.
    RetryBudgetKept,
}

impl Invariant {
    /// All invariants.
    pub const ALL: [Self; 13] = [
        Self::NeverBack,
        Self::NoDanglingReference,
        Self::NeverAppliedInPart,
        Self::WholeOwnAnswer,
        Self::RejectedDidNotRun,
        Self::AtMostOnce,
        Self::LeavingGetsNoNewWork,
        Self::PlannedStopCutsNothing,
        Self::InForceWithinSeconds,
        Self::AllowedLocalityOnly,
        Self::SubmissionToldTrue,
        Self::ServingAfterFaults,
        Self::RetryBudgetKept,
    ];

    /// Name on the command line and in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NeverBack => "never-back",
            Self::NoDanglingReference => "no-dangling-reference",
            Self::NeverAppliedInPart => "never-applied-in-part",
            Self::WholeOwnAnswer => "whole-own-answer",
            Self::RejectedDidNotRun => "rejected-did-not-run",
            Self::AtMostOnce => "at-most-once",
            Self::LeavingGetsNoNewWork => "leaving-gets-no-new-work",
            Self::PlannedStopCutsNothing => "planned-stop-cuts-nothing",
            Self::InForceWithinSeconds => "in-force-within-seconds",
            Self::AllowedLocalityOnly => "allowed-locality-only",
            Self::SubmissionToldTrue => "submission-told-true",
            Self::ServingAfterFaults => "serving-after-faults",
            Self::RetryBudgetKept => "retry-budget-kept",
        }
    }

    /// Checks `history`; an empty list means that the invariant held.
    #[must_use]
    pub fn check(self, history: &History) -> Vec<Violation> {
        match self {
            Self::NeverBack => never_back(history),
            Self::NoDanglingReference => no_dangling_reference(history),
            Self::NeverAppliedInPart => never_applied_in_part(history),
            Self::WholeOwnAnswer => whole_own_answer(history),
            Self::RejectedDidNotRun => rejected_did_not_run(history),
            Self::AtMostOnce => [at_most_once(history), one_run_a_caller_key(history)].concat(),
            Self::LeavingGetsNoNewWork => leaving_back_end_gets_no_new_work(history),
            Self::PlannedStopCutsNothing => planned_stop_cuts_nothing(history),
            Self::InForceWithinSeconds => in_force_within_seconds(history),
            Self::AllowedLocalityOnly => allowed_locality_only(history),
            Self::SubmissionToldTrue => submission_told_true(history),
            Self::ServingAfterFaults => serving_after_faults(history),
            Self::RetryBudgetKept => retry_budget_kept(history),
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// One breach of an invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// Virtual time of the breach.
    pub at: Millis,
    /// What broke it.
    pub breach: Breach,
}

/// What broke an invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Breach {
    /// A node went from a version to an older one.
    WentBack {
        /// The node.
        node: NodeName,
        /// Version held before.
        from: Version,
        /// Version put in force after.
        to: Version,
    },
    /// A node has references to what it lacks.
    Dangling {
        /// The node.
        node: NodeName,
        /// Version in force.
        version: Version,
        /// Count of such references.
        references: usize,
    },
    /// A node has something in force that is no accepted version.
    NotThatVersion {
        /// The node.
        node: NodeName,
        /// Version claimed.
        version: Version,
    },
    /// One submission became two versions, or the chain has a gap.
    BrokenChain {
        /// The version at which the chain breaks.
        version: Version,
    },
    /// A request got a wrong answer, a part of one taken for the whole, or none at all.
    BadAnswer {
        /// The request.
        request: RequestKey,
        /// What the caller was told, if anything.
        outcome: Option<CallerOutcome>,
    },
    /// A request ran although it was refused as not run, or ran more often than it may.
    RanTooOften {
        /// The request.
        request: RequestKey,
        /// How often it ran.
        runs: usize,
    },
    /// A node let two requests of one caller's key run.
    CallerKeyRanTwice {
        /// The node.
        node: NodeName,
        /// The later request.
        request: RequestKey,
    },
    /// A service ran more requests again than the retry budget allows in one window.
    BudgetOverspent {
        /// The service.
        service: ServiceName,
        /// Runs beyond the first of each request, in the window that begins at the time of the violation.
        repeats: u32,
        /// Requests that the budget counts for that window.
        requests: u32,
    },
    /// A request was not answered although every fault was long over.
    NotServed {
        /// The request.
        request: RequestKey,
        /// What the caller was told.
        outcome: CallerOutcome,
    },
    /// A back end got new work although it was leaving.
    NewWorkWhileLeaving {
        /// Node beside the back end.
        node: NodeName,
        /// The request.
        request: RequestKey,
    },
    /// A planned stop cut a request.
    CutByPlannedStop {
        /// The node that stopped.
        node: NodeName,
        /// The request.
        request: RequestKey,
    },
    /// A version was not in force in time.
    NotInForce {
        /// The node that lacks it.
        node: NodeName,
        /// Version that should be in force.
        expected: Version,
        /// Version in force, if any.
        found: Option<Version>,
    },
    /// An operator was told what is not so.
    ToldWrong {
        /// The submission.
        submission: SubmissionId,
        /// What was said.
        claim: SubmissionClaim,
    },
    /// A request was served where its service does not allow it.
    ServedElsewhere {
        /// Node beside the back end.
        node: NodeName,
        /// The request.
        request: RequestKey,
    },
}
