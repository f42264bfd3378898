//! JSON bodies of the operator API, which the command line also deserializes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use umberpond_config::{Bundle, CheckReport, SealKey};
use umberpond_model::{BundleName, Locality, NodeName, ServiceName, SubmissionId, Version};

/// Result of a submission, or of a request for its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum SubmissionResult {
    /// The submission was accepted as a version.
    Accepted {
        /// The submission.
        submission: SubmissionId,
        /// The version.
        version: Version,
    },
    /// The checker found faults; the configuration is unchanged.
    Invalid {
        /// The submission.
        submission: SubmissionId,
        /// All faults that the checker found.
        report: CheckReport,
    },
    /// The submission conflicts with the newest accepted configuration: another submission won, the bundle to
    /// withdraw is not active, or the identifier was used before. The configuration is unchanged.
    Conflict {
        /// The submission.
        submission: SubmissionId,
        /// Version of the submission that won, if one did.
        winner: Option<Version>,
        /// Description of the conflict.
        reason: String,
        /// Faults of the two submissions combined.
        report: Option<CheckReport>,
    },
    /// The submission was not accepted and never will be; the configuration is unchanged.
    NotAccepted {
        /// The submission.
        submission: SubmissionId,
        /// Time after which a retry makes sense, in milliseconds.
        retry_after_millis: u64,
        /// Why the submission was not accepted.
        reason: String,
    },
    /// The platform's response was lost: the outcome can be requested with the identifier.
    Unknown {
        /// The submission.
        submission: SubmissionId,
    },
}

/// A request that the operator API refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Description of the error.
    pub error: String,
}

/// State of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: NodeName,
    /// Service as which its local callers send requests.
    pub service: ServiceName,
    /// Locality of the node.
    pub locality: Locality,
    /// Whether it is ready for callers.
    pub readiness: Readiness,
    /// Active version.
    pub version: Option<Version>,
    /// Whether the node reads the store.
    pub reads_store: bool,
    /// The back end beside the node, if one is known.
    pub back_end: Option<BackEndStatus>,
    /// The other nodes, as known to this node.
    pub members: Vec<MemberStatus>,
}

/// Whether a node is ready for callers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether the node is ready.
    pub ready: bool,
    /// Why the node is not ready.
    pub reason: Option<String>,
}

/// State of a back end, as reported by its node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEndStatus {
    /// Identity of its current process.
    pub instance: String,
    /// Service that the back end provides.
    pub service: ServiceName,
    /// `ready`, `draining` or `unreachable`.
    pub state: String,
    /// Requests being processed.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Maximum number of requests processed at the same time.
    pub slots: u32,
}

/// Another node, as known to one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the node.
    pub node: NodeName,
    /// Locality of the node.
    pub locality: Locality,
    /// `reachable`, `one-way` or `silent`.
    pub reachability: String,
    /// Active version there, as last reported.
    pub version: Option<Version>,
    /// Back end beside the node, if it reported one.
    pub back_end: Option<BackEndStatus>,
}

/// Activation progress of one version, as known to one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The version.
    pub version: Version,
    /// Nodes that are not silent, including the responding one.
    pub nodes: u32,
    /// Those of them in which this version or a later one is active.
    pub active: u32,
    /// Whether the version is active on all of them.
    pub everywhere: bool,
    /// Silent nodes: down or unreachable. They fetch the newest version before they become ready again.
    pub silent: u32,
    /// Some of the nodes that are not silent and in which the version is not active yet.
    pub behind: Vec<MemberStatus>,
}

/// Public seal key of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSealKey {
    /// The service.
    pub service: ServiceName,
    /// Public seal key of the service.
    pub seal_key: SealKey,
}

/// The newest accepted configuration, with sealed secrets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version of the configuration.
    pub version: Version,
    /// The bundles of the version.
    pub bundles: BTreeMap<BundleName, Bundle>,
}

/// Names of a bundle and its submission, for events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SubmissionName {
    pub(crate) bundle: BundleName,
    pub(crate) submission: SubmissionId,
}
