//! Messages of the membership actor.

use std::net::SocketAddr;
use std::time::Duration;

use ractor::{ActorRef, RpcReplyPort};
use umberpond_membership::{BackEndRecord, Datagram, DirectoryEntry, MemberPhase, MemberView};
use umberpond_model::{Evacuations, NodeName, StoreEra, Version};
use umberpond_quarantine::SuspectRecord;
use umberpond_rollouts::{ReleaseEvidence, RolloutPlan};

use crate::configuration::ConfigurationMessage;
use crate::rollouts::RolloutView;

/// A message to the membership actor.
pub(crate) enum MembershipMessage {
    /// The periodic timer has fired.
    Tick,
    /// A datagram of another node.
    Datagram { from: SocketAddr, datagram: Box<Datagram> },
    /// Nodes that the store lists.
    DirectoryEntries(Vec<DirectoryEntry>),
    /// The store has listed all nodes that joined before this one.
    Joined,
    /// The current record of the local back end.
    BackEnd(Option<BackEndRecord>),
    /// Requests a reply once enough other nodes hold the current record of this node.
    AwaitHolders(RpcReplyPort<()>),
    /// This process enters another phase.
    Phase(MemberPhase),
    /// The configuration version that is active on this node.
    Version(Version),
    /// The store has responded to this node, in this era.
    StoreResponded(StoreEra),
    /// The actor that fetches configurations.
    ConfigurationActor(ActorRef<ConfigurationMessage>),
    /// The plans that this node publishes as a coordinator of rollouts; empty if it is none.
    Rollouts(Vec<RolloutPlan>),
    /// The evacuations that this node has read from the store.
    Evacuations(Evacuations),
    /// Response statistics of the local back end, for the coordinators of its rollout.
    ReportEvidence(Box<ReleaseEvidence>),
    /// A request waits for a token of its tenant.
    TokenWanted,
    /// Findings of this node on requests that may crash back ends.
    BroadcastSuspects(Vec<SuspectRecord>),
    /// Requests the known rollout plans and endpoints.
    RolloutView(RpcReplyPort<RolloutView>),
    /// Requests all other nodes.
    Members(RpcReplyPort<Vec<MemberView>>),
    /// Requests the nodes that may read the store.
    StoreView(RpcReplyPort<StoreView>),
}

/// The nodes that may read the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StoreView {
    pub(crate) own: NodeName,
    /// The other nodes that are reachable, or that the store has just listed.
    pub(crate) others: Vec<NodeName>,
    /// Time since any node is known to have had a response from the store, or since this process started.
    pub(crate) silent_for: Duration,
    /// Whether any node is known to have had a response from the store.
    pub(crate) has_store_contact: bool,
    /// Whether this node has learned the other nodes from the store, or the timeout for that has passed.
    pub(crate) has_joined: bool,
}
