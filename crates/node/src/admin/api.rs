//! The bodies of the operator API, as JSON. The command line reads them back.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use umberpond_acceptance::ReplacementPlan;
use umberpond_config::{Bundle, CheckReport, SealKey};
use umberpond_model::{
    BundleName, EndpointStatus, Incarnation, Locality, NodeName, ServiceName, SubmissionId, Version,
};

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
    /// Lost witnesses are replaced only if it is forced for the set that this plan names. Nothing changed.
    NotForced {
        /// The submission.
        submission: SubmissionId,
        /// What the replacement would do.
        plan: WitnessPlan,
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

/// Body of a request to replace lost witnesses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplacementRequest {
    /// Witnesses of which no process runs or can go on.
    pub lost: BTreeSet<NodeName>,
    /// [`WitnessPlan::witnesses_since`] of the plan that the operator has seen and takes the risk of.
    pub forced_for: Option<Version>,
}

/// What a replacement of lost witnesses would do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessPlan {
    /// The version that changed the present set last; the replacement is forced for it.
    pub witnesses_since: Version,
    /// Nodes named as lost that are on the machine list.
    pub still_listed: Vec<NodeName>,
    /// The witnesses from the new version on.
    pub witnesses: Vec<NodeName>,
    /// The set of which a majority must hold the new version too; empty if no other set is needed.
    pub previous_witnesses: Vec<NodeName>,
}

impl From<ReplacementPlan> for WitnessPlan {
    fn from(plan: ReplacementPlan) -> Self {
        let ReplacementPlan { witnesses_since, still_listed, witnesses, previous_witnesses } = plan;
        Self { witnesses_since, still_listed, witnesses, previous_witnesses }
    }
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
    /// Service whose identity the node has.
    pub service: ServiceName,
    /// Whether the node is an edge.
    pub edge: bool,
    /// Where it runs.
    pub locality: Locality,
    /// Start count of its process.
    pub incarnation: Incarnation,
    /// Time since its start, in milliseconds.
    pub uptime_millis: u64,
    /// Status of its endpoint record.
    pub endpoint_status: EndpointStatus,
    /// Whether it takes requests; the reasons against it otherwise.
    pub readiness: Readiness,
    /// Its control role.
    pub role: String,
    /// Node from which it gets its configuration.
    pub parent: Option<NodeName>,
    /// Nodes that get their configuration from it.
    pub children: Vec<NodeName>,
    /// Versions on this node.
    pub versions: VersionStages,
    /// Whether the platform answered last; absent at a node that does not ask it.
    pub platform_available: Option<bool>,
    /// Endpoint records held.
    pub endpoint_records: usize,
    /// Progress of each zone; only at readers.
    pub zones: Vec<ZoneProgress>,
}

/// Whether a node takes requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether it does.
    pub ready: bool,
    /// What it waits for.
    pub waits_for: Vec<ReadinessCondition>,
}

/// A condition of readiness.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReadinessCondition {
    /// The back end is ready by its health checks.
    BackEnd,
    /// A configuration is in force.
    Configuration,
    /// The version floor is proved and reached.
    VersionFloor,
    /// The node is not draining.
    NotDraining,
}

/// Versions by stage.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStages {
    /// Newest version held.
    pub held: Option<Version>,
    /// Version in force.
    pub active: Option<Version>,
    /// Newest version known to be committed.
    pub committed: Version,
    /// Proved version floor.
    pub floor: Option<Version>,
}

/// Progress of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneProgress {
    /// The zone.
    pub locality: Locality,
    /// Nodes of the zone.
    pub nodes: u32,
    /// Nodes by version.
    pub versions: Vec<VersionProgress>,
    /// Some of the nodes that are furthest behind.
    pub laggards: Vec<LaggingNode>,
}

/// Nodes whose newest version held or in force is this one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionProgress {
    /// The version.
    pub version: Version,
    /// Nodes that hold it.
    pub held: u32,
    /// Nodes in which it is in force.
    pub active: u32,
}

/// A node that lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingNode {
    /// The node.
    pub node: NodeName,
    /// Newest version held.
    pub held: Option<Version>,
    /// Version in force.
    pub active: Option<Version>,
    /// Why.
    pub reason: String,
}

/// How far one version has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The version.
    pub version: Version,
    /// All nodes known to the reader.
    pub nodes: u32,
    /// Nodes that hold this version or a later one.
    pub held: u32,
    /// Nodes in which this version or a later one is in force.
    pub active: u32,
    /// Whether it is in force on all of them.
    pub everywhere: bool,
    /// Progress of each zone.
    pub zones: Vec<ZoneProgress>,
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

/// A reader's admin address, kept on the platform so that other nodes can point operators there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReaderAddress {
    /// The reader.
    pub node: NodeName,
    /// Its admin listener.
    pub admin: SocketAddr,
}

/// Identity of a bundle and its submission, for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SubmissionName {
    pub(crate) bundle: BundleName,
    pub(crate) submission: SubmissionId,
}
