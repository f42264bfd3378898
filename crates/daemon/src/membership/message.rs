//! Messages of the membership actor.

use std::net::SocketAddr;
use std::time::Duration;

use ractor::{ActorRef, RpcReplyPort};
use umberpond_membership::{BackEndRecord, Datagram, DirectoryEntry, MemberPhase, MemberView};
use umberpond_model::{Evacuations, NodeName, Version};
use umberpond_quarantine::SuspectRecord;
use umberpond_rollouts::{ReleaseEvidence, RolloutPlan};

use crate::configuration::ConfigurationMessage;
use crate::rollouts::RolloutView;

/// What the membership is told and asked.
pub(crate) enum MembershipMessage {
    /// Time has passed.
    Tick,
    /// Another node's datagram.
    Datagram { from: SocketAddr, datagram: Box<Datagram> },
    /// Nodes that the store names.
    Introductions(Vec<DirectoryEntry>),
    /// The store has named all nodes that were there before this one.
    MergeOutcome,
    /// This node's word of its back end.
    BackEnd(Option<BackEndRecord>),
    /// This process goes on to another phase.
    Phase(MemberPhase),
    /// The version in force on this node.
    Version(Version),
    /// The store itself has answered this node.
    StoreHeard,
    /// Where configurations are to be fetched.
    ConfigurationActor(ActorRef<ConfigurationMessage>),
    /// The plans that this node tells as a coordinator of rollouts; empty if it is none.
    Rollouts(Vec<RolloutPlan>),
    /// The evacuations as this node has read them from the store.
    Evacuations(Evacuations),
    /// What the own back end has answered, for the coordinators of its rollout.
    ReportEvidence(Box<ReleaseEvidence>),
    /// A request waits for a token of its tenant.
    TokenWanted,
    /// What was found here of requests that may end back ends.
    TellSuspects(Vec<SuspectRecord>),
    /// Asks for what is known of rollouts.
    RolloutView(RpcReplyPort<RolloutView>),
    /// Asks for all other nodes.
    Members(RpcReplyPort<Vec<MemberView>>),
    /// Asks who could read the store.
    StoreView(RpcReplyPort<StoreView>),
}

/// Who could read the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StoreView {
    pub(crate) own: NodeName,
    /// The others that can be reached, or that the store has just named.
    pub(crate) others: Vec<NodeName>,
    /// Time since any node heard from the store, as far as known here, or since this process started.
    pub(crate) silent_for: Duration,
    /// Whether any node is known to have heard from the store.
    pub(crate) has_store_contact: bool,
    /// Whether the others are known, as far as the store can name them.
    pub(crate) has_joined: bool,
}
