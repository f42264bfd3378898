//! One checker for each guarantee of the system, as a pure function over a recorded history.

mod budget;
mod convergence;
mod lifecycle;
mod requests;
mod signals;
mod submissions;
mod versions;

use std::fmt;

use umberpond_model::{Millis, NodeName, RequestRate, ServiceName, SubmissionId, Version};

use crate::history::{CallerOutcome, History, RequestKey, SubmissionClaim};

pub use budget::retry_budget_kept;
pub use convergence::{CONVERGENCE_LIMIT, in_force_within_seconds};
pub use lifecycle::{DRAIN_LIMIT, draining_back_end_gets_no_new_requests, planned_stop_cuts_nothing};
pub use requests::{
    allowed_locality_only, at_most_once, at_most_once_per_caller_key, rejected_did_not_run,
    serving_after_faults, whole_own_answer,
};
pub use signals::{leaving_by_response_kept, request_limits_kept};
pub use submissions::submission_told_true;
pub use versions::{never_applied_in_part, never_back, no_dangling_reference};

/// The invariants, in the order of the guarantees that they check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// No process activates a version older than one that it activated before. This holds across a restart
    /// too, unless the store may be unreachable for the new process.
    NeverBack,
    /// No active route refers to a service or secret that the node lacks.
    NoDanglingReference,
    /// The active configuration of a node is exactly an accepted version, restricted to the node's scope.
    NeverAppliedInPart,
    /// A caller receives the complete response to its own request.
    WholeOwnAnswer,
    /// A request that was reported as rejected before execution did not run.
    RejectedDidNotRun,
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// A draining back end receives no new requests after [`DRAIN_LIMIT`].
    LeavingGetsNoNewWork,
    /// A planned stop interrupts no request in flight.
    PlannedStopCutsNothing,
    /// An accepted version is in force on all running nodes within [`CONVERGENCE_LIMIT`] and stays in force.
    InForceWithinSeconds,
    /// A request runs only in a locality that its service allows.
    AllowedLocalityOnly,
    /// The final result of a submission that an operator received is correct.
    SubmissionToldTrue,
    /// Every request that is sent later than [`CONVERGENCE_LIMIT`] after the last fault gets a response.
    ServingAfterFaults,
    /// In any time window, all nodes together send no more retries than the retry budget of the service
    /// allows.
    RetryBudgetKept,
    /// All nodes together send a back end no more requests than its advertised limit tolerates.
    RequestLimitsKept,
    /// A back end whose forwarded response said that it is leaving gets no new requests after [`DRAIN_LIMIT`].
    LeavingByResponseKept,
}

impl Invariant {
    /// All invariants.
    pub const ALL: [Self; 15] = [
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
        Self::RequestLimitsKept,
        Self::LeavingByResponseKept,
    ];

    /// Name used on the command line and in reports.
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
            Self::RequestLimitsKept => "request-limits-kept",
            Self::LeavingByResponseKept => "leaving-by-response-kept",
        }
    }

    /// Checks `history` and returns the violations; empty if the invariant holds.
    #[must_use]
    pub fn check(self, history: &History) -> Vec<Violation> {
        match self {
            Self::NeverBack => never_back(history),
            Self::NoDanglingReference => no_dangling_reference(history),
            Self::NeverAppliedInPart => never_applied_in_part(history),
            Self::WholeOwnAnswer => whole_own_answer(history),
            Self::RejectedDidNotRun => rejected_did_not_run(history),
            Self::AtMostOnce => [at_most_once(history), at_most_once_per_caller_key(history)].concat(),
            Self::LeavingGetsNoNewWork => draining_back_end_gets_no_new_requests(history),
            Self::PlannedStopCutsNothing => planned_stop_cuts_nothing(history),
            Self::InForceWithinSeconds => in_force_within_seconds(history),
            Self::AllowedLocalityOnly => allowed_locality_only(history),
            Self::SubmissionToldTrue => submission_told_true(history),
            Self::ServingAfterFaults => serving_after_faults(history),
            Self::RetryBudgetKept => retry_budget_kept(history),
            Self::RequestLimitsKept => request_limits_kept(history),
            Self::LeavingByResponseKept => leaving_by_response_kept(history),
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// One violation of an invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// Virtual time of the violation.
    pub at: Millis,
    /// How the invariant was violated.
    pub breach: Breach,
}

/// How an invariant was violated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Breach {
    /// A back end got more requests in a window than its advertised limit tolerates.
    LimitExceeded {
        /// Node of the back end.
        node: NodeName,
        /// The limit.
        limit: RequestRate,
        /// Number of requests in the window.
        requests: usize,
    },
    /// A node activated an older version than before.
    WentBack {
        /// The node.
        node: NodeName,
        /// Version that was active before.
        from: Version,
        /// Older version that was activated.
        to: Version,
    },
    /// The active configuration refers to services or secrets that the node lacks.
    Dangling {
        /// The node.
        node: NodeName,
        /// Active version.
        version: Version,
        /// Number of dangling references.
        references: usize,
    },
    /// The active configuration of a node differs from every accepted version.
    NotThatVersion {
        /// The node.
        node: NodeName,
        /// Version that the node reported.
        version: Version,
    },
    /// One submission produced two versions, or the chain has a gap.
    BrokenChain {
        /// The version at which the chain is inconsistent.
        version: Version,
    },
    /// A request got a wrong response, a truncated one that looked complete, more than one, or none.
    BadAnswer {
        /// The request.
        request: RequestKey,
        /// Outcome for the caller, if there was one.
        outcome: Option<CallerOutcome>,
    },
    /// A request ran although it was reported as rejected, or ran more often than allowed.
    RanTooOften {
        /// The request.
        request: RequestKey,
        /// Number of runs.
        runs: usize,
    },
    /// A node ran two requests with the same idempotency key.
    CallerKeyRanTwice {
        /// The node.
        node: NodeName,
        /// The later request.
        request: RequestKey,
    },
    /// A service got more retries in one time window than the retry budget allows.
    BudgetOverspent {
        /// The service.
        service: ServiceName,
        /// Runs beyond the first of each request, in the window that starts at the time of the violation.
        repeats: u32,
        /// Requests in that window from which the budget is computed.
        requests: u32,
    },
    /// A request got no response although it was sent later than [`CONVERGENCE_LIMIT`] after the last fault.
    NotServed {
        /// The request.
        request: RequestKey,
        /// Outcome for the caller.
        outcome: CallerOutcome,
    },
    /// A draining back end received a new request after [`DRAIN_LIMIT`].
    NewWorkWhileLeaving {
        /// Node of the back end.
        node: NodeName,
        /// The request.
        request: RequestKey,
    },
    /// A planned stop interrupted a request.
    CutByPlannedStop {
        /// The node that stopped.
        node: NodeName,
        /// The request.
        request: RequestKey,
    },
    /// A version was not in force within [`CONVERGENCE_LIMIT`].
    NotInForce {
        /// The node that lacks it.
        node: NodeName,
        /// Version that should be in force.
        expected: Version,
        /// Active version, if any.
        found: Option<Version>,
    },
    /// An operator received a wrong result of a submission.
    ToldWrong {
        /// The submission.
        submission: SubmissionId,
        /// Result that the operator received.
        claim: SubmissionClaim,
    },
    /// A request ran in a locality that its service does not allow.
    ServedElsewhere {
        /// Node of the back end.
        node: NodeName,
        /// The request.
        request: RequestKey,
    },
}
