//! State of the links to children and peers, and of the role.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use umberpond_config::Scope;
use umberpond_model::{Locality, Member, NodeName, Nonce, RecordOrder, Timestamp, Version};
use umberpond_versions::CommitTracker;

use crate::chain::Sent;
use crate::interface::RoleReason;
use crate::plan::ZonePlan;
use crate::{Interest, Placement, ReaderState, Report, Role};

/// The role of a node and where it comes from.
#[derive(Debug, Default)]
pub(super) struct RoleState {
    pub(super) current: Role,
    /// What the parent, or a node that refused the connection, said last.
    pub(super) told: Option<Role>,
    /// A different role that is wanted, and since when.
    pub(super) wanted: Option<(Role, RoleReason, Timestamp)>,
    /// Whether all records of the own zone have arrived, as far as the parent has them.
    pub(super) zone_synced: bool,
    /// Plan of the own zone by this node's own view.
    pub(super) plan: CachedPlan,
    /// Whether children may need another placement, and when to look.
    pub(super) placements_due: bool,
    pub(super) next_placements: Timestamp,
    /// Until when a new reader only collects members.
    pub(super) collecting_until: Timestamp,
    /// Whether this node's own view of the zone was asked for by others while it had no parent.
    pub(super) dialled: bool,
}

/// A whole transfer to one child.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TransferState {
    /// None is needed.
    Idle,
    /// Sent, and not yet acknowledged.
    Running {
        /// When it was sent.
        since: Timestamp,
    },
    /// Put off; the child asks again.
    PutOff {
        /// When it was told to ask again.
        until: Timestamp,
    },
}

/// One attached child.
#[derive(Debug)]
pub(super) struct Child {
    pub(super) node: NodeName,
    pub(super) role: Role,
    pub(super) scope: Scope,
    pub(super) interest: Interest,
    pub(super) sent: Sent,
    pub(super) sent_committed: Version,
    pub(super) sent_sets: Version,
    /// Owners whose records are to be sent. Bounded by the table: a later record of one owner replaces the former.
    pub(super) pending: BTreeSet<NodeName>,
    /// Whether the child waits to hear that all records it asked for were sent.
    pub(super) syncing: bool,
    pub(super) next_flush: Timestamp,
    pub(super) transfer: TransferState,
    pub(super) report: Option<Arc<Report>>,
    /// When the child was first behind the commit index.
    pub(super) behind_since: Option<Timestamp>,
    pub(super) placement: Placement,
}

/// A link between readers, or between a reader and a witness.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) node: NodeName,
    pub(super) locality: Locality,
    pub(super) role: Role,
    /// Whether this node made the connection.
    pub(super) dialled: bool,
    pub(super) pending: BTreeSet<NodeName>,
    pub(super) next_flush: Timestamp,
    /// What it said last.
    pub(super) state: Option<Arc<ReaderState>>,
    /// What was said to it last.
    pub(super) told: Option<ReaderState>,
    pub(super) told_at: Timestamp,
    /// When to compare digests with it again.
    pub(super) compare_at: Option<Timestamp>,
    /// When to ask it for the versions that it has and this node lacks.
    pub(super) pull_at: Option<Timestamp>,
    /// Whole transfer to it.
    pub(super) transfer: TransferState,
}

/// What only a reader has.
#[derive(Debug, Default)]
pub(super) struct ReaderDuty {
    pub(super) has_lease: bool,
    pub(super) lease_retry_at: Timestamp,
    /// Whether the platform was asked for the lease since this node became a reader.
    pub(super) lease_asked: bool,
    pub(super) platform_available: Option<bool>,
    pub(super) tracker: CommitTracker,
    /// Commit index that this reader worked out itself; it tells all others of it at once.
    pub(super) own_commit: Version,
    /// When the running check of the commit index began.
    pub(super) check_since: Option<Timestamp>,
    /// When a check became possible.
    pub(super) check_wanted_since: Option<Timestamp>,
    /// Nodes that turned out not to be readers, and until when not to try them again.
    pub(super) not_readers: BTreeMap<NodeName, Timestamp>,
    /// Other readers of the own zone as told by its readers, and until when they are tried.
    pub(super) colleagues: BTreeMap<NodeName, (Member, Timestamp)>,
    /// Readers of the own zone that the others were told of.
    pub(super) colleagues_told: Vec<Member>,
    pub(super) next_peer_search: Timestamp,
    pub(super) next_seed_search: Timestamp,
    pub(super) next_anti_entropy: Timestamp,
    pub(super) next_summary: Timestamp,
    pub(super) next_far_summary: Timestamp,
    /// Whether readers of other zones lack the newest summary.
    pub(super) far_summary_due: bool,
    /// Last change of a record of each zone.
    pub(super) zone_changed: BTreeMap<Locality, Timestamp>,
    /// Search for members that no longer exist.
    pub(super) roll_call: RollCallState,
    /// Progress below each reader, by zone.
    pub(super) summaries: BTreeMap<(Locality, NodeName), Arc<Report>>,
}

/// A reader's search for members that are attached nowhere.
#[derive(Debug, Default)]
pub(super) struct RollCallState {
    /// Since when fewer nodes are attached than known as live.
    pub(super) missing_since: Option<Timestamp>,
    pub(super) next_look: Timestamp,
    pub(super) running: Option<RunningRollCall>,
}

/// A roll call that waits for answers.
#[derive(Debug)]
pub(super) struct RunningRollCall {
    pub(super) nonce: Nonce,
    pub(super) began: Timestamp,
    /// Live members when it began, and their positions.
    pub(super) expected: BTreeMap<NodeName, RecordOrder>,
}

/// Plan of the own zone, computed anew after a change.
#[derive(Debug, Default)]
pub(super) struct CachedPlan {
    pub(super) plan: Arc<ZonePlan>,
    pub(super) stale: bool,
}
