//! The bodies of the operator API, as JSON. The command line reads them back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use umberpond_config::{Bundle, CheckReport, SealKey};
use umberpond_model::{BundleName, Locality, NodeName, ServiceName, SubmissionId, Version};

/// Result of a submission or of a question about one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum SubmissionResult {
    /// It became a version.
    Accepted {
        /// The submission.
        submission: SubmissionId,
        /// The version.
        version: Version,
    },
    /// The checker found faults; nothing changed.
    Invalid {
        /// The submission.
        submission: SubmissionId,
        /// Every fault.
        report: CheckReport,
    },
    /// It does not fit what is in force: another submission won, the bundle to withdraw is not in force, or the
    /// identifier was used before. Nothing changed.
    Conflict {
        /// The submission.
        submission: SubmissionId,
        /// Version of the submission that won, if one did.
        winner: Option<Version>,
        /// What clashes.
        reason: String,
        /// Faults that the two have together.
        report: Option<CheckReport>,
    },
    /// Nothing changed, and nothing will by this submission.
    NotAccepted {
        /// The submission.
        submission: SubmissionId,
        /// Try again after this time, in milliseconds.
        retry_after_millis: u64,
        /// Why.
        reason: String,
    },
    /// The platform's answer was lost: ask again with the identifier.
    Unknown {
        /// The submission.
        submission: SubmissionId,
    },
}

/// A request that the operator API refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What is wrong.
    pub error: String,
}

/// State of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: NodeName,
    /// Service on whose behalf its callers send.
    pub service: ServiceName,
    /// Where it runs.
    pub locality: Locality,
    /// Whether callers may be sent to it.
    pub readiness: Readiness,
    /// Version in force.
    pub version: Option<Version>,
    /// Whether it reads the store.
    pub reads_store: bool,
    /// The back end beside it, if one is known.
    pub back_end: Option<BackEndStatus>,
    /// The other nodes as it sees them.
    pub members: Vec<MemberStatus>,
}

/// Whether callers may be sent to a node.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether they may.
    pub ready: bool,
    /// The reason against it.
    pub reason: Option<String>,
}

/// State of a back end by its node's word.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEndStatus {
    /// Identity of its present life.
    pub instance: String,
    /// Service that it serves.
    pub service: ServiceName,
    /// `ready`, `draining` or `unreachable`.
    pub state: String,
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait for it.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// Another node as one node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The node.
    pub node: NodeName,
    /// Where it runs.
    pub locality: Locality,
    /// `reachable`, `one-way` or `silent`.
    pub reachability: String,
    /// Version in force there, as told last.
    pub version: Option<Version>,
    /// Its back end, if it told of one.
    pub back_end: Option<BackEndStatus>,
}

/// How far one version has come, as one node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The version.
    pub version: Version,
    /// Nodes that are heard, the asked one included.
    pub nodes: u32,
    /// Those of them in which this version or a later one is in force.
    pub active: u32,
    /// Whether it is in force on all of them.
    pub everywhere: bool,
    /// Nodes that are not heard: down, or cut off. They fetch the newest version before they are ready again.
    pub silent: u32,
    /// Some of the nodes that are heard and in which it is not in force.
    pub behind: Vec<MemberStatus>,
}

/// Public seal key of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSealKey {
    /// The service.
    pub service: ServiceName,
    /// Its public key.
    pub seal_key: SealKey,
}

/// The newest accepted configuration, secrets sealed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version.
    pub version: Version,
    /// The bundles in force.
    pub bundles: BTreeMap<BundleName, Bundle>,
}

/// Identity of a bundle and its submission, for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SubmissionName {
    pub(crate) bundle: BundleName,
    pub(crate) submission: SubmissionId,
}
