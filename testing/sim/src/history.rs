//! Event history of a run, in the order of virtual time.

use umberpond_model::{
    ContentHash, Locality, Millis, NodeName, RequestRate, ServiceName, SubmissionId, Version,
};

/// Identifier of one logical request of a caller, shared by all of its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub u64);

/// Idempotency key of a caller; requests that repeat one another have the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerKey(pub u64);

/// Outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerOutcome {
    /// A response of the back end ended without an error.
    Answered {
        /// Whether the response is complete.
        whole: bool,
        /// Whether it is the response to this request.
        own: bool,
    },
    /// The request was reported as rejected before execution.
    Rejected,
    /// It is unknown whether the request ran.
    Unknown,
    /// The response was truncated, and the caller noticed.
    Cut,
}

/// Final result of a submission for its operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionClaim {
    /// It became this version.
    Accepted(Version),
    /// It did not become a version and never will.
    NotAccepted,
    /// No node reported a result.
    Unknown,
}

/// An event of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The platform's head moved to a version.
    Accepted {
        /// The version.
        version: Version,
        /// The submission that produced it.
        submission: SubmissionId,
    },
    /// An operator received the final result of a submission.
    SubmissionTold {
        /// The submission.
        submission: SubmissionId,
        /// The result.
        claim: SubmissionClaim,
    },
    /// A node activated a configuration.
    Activated {
        /// The node.
        node: NodeName,
        /// Number of the process of this node, counted from 1.
        process: u64,
        /// The version.
        version: Version,
        /// Hash of the activated configuration.
        snapshot: ContentHash,
        /// Hash of the version's snapshot, computed by the simulation from the chain.
        expected: ContentHash,
        /// Number of references to services and secrets that the node lacks.
        dangling_references: usize,
    },
    /// A caller sent a request.
    Sent {
        /// The request.
        request: RequestKey,
        /// Service that the request is for.
        service: ServiceName,
        /// Whether the request may run more than once.
        idempotent: bool,
        /// Whether it repeats an earlier request under the same key, so that a refusal is a correct response.
        repeats: bool,
    },
    /// A back end started to run a request.
    Executed {
        /// The request.
        request: RequestKey,
        /// Node of the back end.
        node: NodeName,
        /// Locality of the back end.
        locality: Locality,
        /// The caller's idempotency key, if the request has one.
        caller_key: Option<CallerKey>,
        /// Whether the service allows that locality in any version that the caller's node may have in force.
        locality_allowed: bool,
    },
    /// A request finished for its caller.
    Finished {
        /// The request.
        request: RequestKey,
        /// Outcome for the caller.
        outcome: CallerOutcome,
    },
    /// A node began to drain for a planned stop.
    DrainBegan {
        /// The node.
        node: NodeName,
    },
    /// A process exited at the end of a planned stop.
    PlannedStopEnded {
        /// The node.
        node: NodeName,
    },
    /// A fault hit a node or its back end: killed, cut off, frozen or slowed.
    FaultBegan {
        /// The node.
        node: NodeName,
    },
    /// A process of a node started.
    Started {
        /// The node.
        node: NodeName,
    },
    /// A process of a node ended.
    Stopped {
        /// The node.
        node: NodeName,
    },
    /// A fault began that cuts links between nodes.
    LinksCut,
    /// A fault that cuts links between nodes ended.
    LinksMended,
    /// A fault began in which some nodes may not reach the store or not receive its responses.
    StoreImpaired,
    /// Such a fault of the store ended.
    StoreMended,
    /// All callers send their requests to this node.
    EntryNode {
        /// The node.
        node: NodeName,
    },
    /// The responses of a back end begin to advertise a request limit.
    LimitBegan {
        /// Node of the back end.
        node: NodeName,
        /// The limit.
        limit: RequestRate,
    },
    /// The responses of a back end advertise no limit any more.
    LimitEnded {
        /// Node of the back end.
        node: NodeName,
    },
    /// The responses of a back end begin to say that it is about to shut down.
    LeavingBegan {
        /// Node of the back end.
        node: NodeName,
    },
    /// A back end that said so was replaced.
    LeavingEnded {
        /// Node of the back end.
        node: NodeName,
    },
    /// The last fault of the schedule ended.
    FaultsEnded,
    /// The run ended.
    RunEnded,
}

/// An event with its virtual time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recorded {
    /// Virtual time since the start of the run.
    pub at: Millis,
    /// The event.
    pub event: Event,
}

/// The event history of one run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History {
    events: Vec<Recorded>,
}

impl History {
    /// Creates a history from events of several recorders. The sort by time is stable.
    #[must_use]
    pub fn from_recorded(mut events: Vec<Recorded>) -> Self {
        events.sort_by_key(|recorded| recorded.at);
        Self { events }
    }

    /// Appends an event. Events must be appended in the order of time.
    pub fn record(&mut self, at: Millis, event: Event) {
        self.events.push(Recorded { at, event });
    }

    /// All events in the order of time.
    pub fn events(&self) -> impl Iterator<Item = &Recorded> {
        self.events.iter()
    }

    /// BLAKE3 digest of all events; equal for equal runs.
    #[must_use]
    pub fn digest(&self) -> ContentHash {
        let mut hasher = blake3::Hasher::new();
        for recorded in &self.events {
            hasher.update(format!("{recorded:?}\n").as_bytes());
        }
        ContentHash::from_bytes(*hasher.finalize().as_bytes())
    }
}
