//! What is asked of the selector, and what it answers.

use std::net::SocketAddr;
use std::time::Duration;

use umberpond_model::{HomeRegions, NodeName, RouteName};

use crate::releases::ReleaseGroup;

/// What is known of a request when its endpoint is chosen.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Route of the request.
    pub route: &'a RouteName,
    /// Nodes to which the request was sent before.
    pub tried: &'a [NodeName],
    /// Releases to which the request was dealt.
    pub group: ReleaseGroup,
    /// Time within which an answer is of full use.
    pub objective: Duration,
    /// Where the request may be served.
    pub homes: &'a HomeRegions,
}

/// The endpoint chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Node beside the back end.
    pub node: NodeName,
    /// Address at which that node takes requests.
    pub address: SocketAddr,
    /// Whether a slot is free there, by what is known of it.
    pub has_free_slot: bool,
    /// Whether it is in the own zone.
    pub is_near: bool,
    /// The life of the back end that is meant.
    pub instance: String,
    /// Expected time in the back end at its usual speed.
    pub service: Duration,
    /// Expected time waiting for a slot, at its present speed.
    pub wait: Duration,
    /// Expected time from now to the answer, at its present speed.
    pub total: Duration,
}
