//! Connections: handshake, heartbeat, idle timeout, and which part of the node a message goes to.

use std::net::SocketAddr;

use umberpond_model::{Member, Millis, Timestamp};

use super::OverlayNode;
use crate::interface::{ConnectionId, Decision, LossReason, MessageFault, Output};
use crate::{Held, Hello, PROTOCOL, PeerMessage, Purpose, Refusal, Role};

/// What a connection that this node makes is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum DialPurpose {
    /// To attach as a child.
    Attach,
    /// A link to a reader or witness; the node is unknown when a seed address is tried.
    Peer(Option<Member>),
}

/// What a connection is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum LinkState {
    /// This node connected and said hello.
    Opening(DialPurpose),
    /// Another node connected and hasn't said hello.
    Incoming,
    /// To the parent.
    Parent,
    /// From a child.
    Child,
    /// Between readers and witnesses.
    Peer,
}

/// One connection.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) state: LinkState,
    pub(super) opened: Timestamp,
    pub(super) heard: Timestamp,
    pub(super) sent: Timestamp,
    /// Updates sent and not yet acknowledged.
    pub(super) unacknowledged: u32,
    /// When content was asked for over this connection; no second question goes out until it comes or is overdue.
    pub(super) asked: Option<Timestamp>,
    /// Updates received and not yet acknowledged, and since when.
    pub(super) owed: u32,
    pub(super) owed_since: Timestamp,
}

/// Updates received that are acknowledged at once: half of the sender's window.
const ACKNOWLEDGE_AT: u32 = 8;

/// Longest time for which an update stays without its acknowledgement. Long, since it only opens the window again.
const ACKNOWLEDGE_AFTER: Millis = Millis(2_500);

impl OverlayNode {
    /// Asks for a connection, unless one to that address is on its way.
    pub(super) fn dial(&mut self, to: SocketAddr, purpose: DialPurpose) -> bool {
        if self.dials.contains_key(&to) || to == self.own.record().control {
            return false;
        }
        self.dials.insert(to, purpose);
        self.out.push(Output::Connect { to });
        true
    }

    pub(super) fn on_connected(&mut self, connection: ConnectionId, to: SocketAddr) {
        let Some(purpose) = self.dials.remove(&to) else {
            self.out.push(Output::Close { connection });
            return;
        };
        let hello = match &purpose {
            DialPurpose::Attach if self.parent.attempt != Some(to) => {
                self.out.push(Output::Close { connection });
                return;
            }
            DialPurpose::Attach => Purpose::Attach(self.attach_request()),
            DialPurpose::Peer(member) => {
                let to_witness = member.as_ref().is_some_and(|member| self.chain.names_witness(&member.node));
                Purpose::Peer { role: self.role.current, to_witness }
            }
        };
        self.add_link(connection, LinkState::Opening(purpose));
        self.send_hello(connection, hello);
    }

    pub(super) fn on_connect_failed(&mut self, to: SocketAddr) {
        match self.dials.remove(&to) {
            Some(DialPurpose::Attach) => self.on_attach_failed(to, false),
            Some(DialPurpose::Peer(Some(member))) => self.on_peer_unreachable(&member),
            Some(DialPurpose::Peer(None)) | None => {}
        }
    }

    pub(super) fn on_accepted(&mut self, connection: ConnectionId) {
        self.add_link(connection, LinkState::Incoming);
    }

    pub(super) fn on_disconnected(&mut self, connection: ConnectionId) {
        self.drop_link(connection, LossReason::Disconnected);
    }

    pub(super) fn on_received(&mut self, connection: ConnectionId, message: PeerMessage) {
        let now = self.now;
        let Some(link) = self.links.get_mut(&connection) else { return };
        link.heard = now;
        let state = link.state.clone();
        if let PeerMessage::Acknowledge { updates } = message {
            link.unacknowledged = link.unacknowledged.saturating_sub(updates);
            self.on_acknowledged(connection);
            return;
        }
        match (state, message) {
            (_, PeerMessage::Unknown) => self.refuse_message(connection, MessageFault::Undecodable),
            (LinkState::Incoming, PeerMessage::Hello(hello)) => self.on_hello(connection, &hello),
            (LinkState::Opening(purpose), message) => self.on_opening_reply(connection, purpose, message),
            (LinkState::Parent, message) => self.on_parent_message(connection, message),
            (LinkState::Child, message) => self.on_child_message(connection, message),
            (LinkState::Peer, message) => self.on_peer_message(connection, message),
            (LinkState::Incoming, _) => self.refuse_message(connection, MessageFault::Unexpected),
        }
    }

    fn on_hello(&mut self, connection: ConnectionId, hello: &Hello) {
        if hello.protocol != PROTOCOL {
            self.decide(Decision::ProtocolUnknown { connection, theirs: hello.protocol });
            self.refuse(connection, Refusal::Protocol { supported: PROTOCOL });
            return;
        }
        match &hello.purpose {
            Purpose::Attach(attach) => self.on_attach(connection, &hello.record, attach),
            Purpose::Peer { role, to_witness } => {
                self.on_peer_hello(connection, &hello.record, *role, *to_witness);
            }
        }
    }

    fn on_opening_reply(&mut self, connection: ConnectionId, purpose: DialPurpose, message: PeerMessage) {
        match (purpose, message) {
            (DialPurpose::Attach, PeerMessage::Welcome(welcome)) => self.on_welcome(connection, &welcome),
            (DialPurpose::Attach, PeerMessage::Refuse(refusal)) => {
                self.on_attach_refused(connection, refusal);
            }
            (DialPurpose::Peer(_), PeerMessage::Hello(hello)) => self.on_peer_answer(connection, &hello),
            (DialPurpose::Peer(member), PeerMessage::Refuse(refusal)) => {
                self.on_peer_refused(connection, member.as_ref(), refusal);
            }
            _ => self.refuse_message(connection, MessageFault::Unexpected),
        }
    }

    pub(super) fn send_hello(&mut self, connection: ConnectionId, purpose: Purpose) {
        let record = self.own.record().clone();
        let hello = Hello { protocol: PROTOCOL, record, purpose };
        self.send(connection, PeerMessage::Hello(hello.into()));
    }

    pub(super) fn send(&mut self, connection: ConnectionId, message: PeerMessage) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.sent = self.now;
            self.out.push(Output::Send { connection, message });
        }
    }

    pub(super) fn set_link_state(&mut self, connection: ConnectionId, state: LinkState) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.state = state;
        }
    }

    /// Tells the other side why, and closes the connection.
    pub(super) fn refuse(&mut self, connection: ConnectionId, refusal: Refusal) {
        self.send(connection, PeerMessage::Refuse(refusal));
        self.close(connection, LossReason::Moved);
    }

    /// Says that a message was not understood and closes its connection; what is held stays.
    pub(super) fn refuse_message(&mut self, connection: ConnectionId, reason: MessageFault) {
        self.decide(Decision::MessageRefused { connection, reason });
        self.close(connection, LossReason::Disconnected);
    }

    pub(super) fn close(&mut self, connection: ConnectionId, reason: LossReason) {
        if self.links.contains_key(&connection) {
            self.out.push(Output::Close { connection });
            self.drop_link(connection, reason);
        }
    }

    fn add_link(&mut self, connection: ConnectionId, state: LinkState) {
        let now = self.now;
        let link = Link {
            state,
            opened: now,
            heard: now,
            sent: now,
            unacknowledged: 0,
            asked: None,
            owed: 0,
            owed_since: now,
        };
        self.links.insert(connection, link);
    }

    fn drop_link(&mut self, connection: ConnectionId, reason: LossReason) {
        let Some(link) = self.links.remove(&connection) else { return };
        match link.state {
            LinkState::Parent => self.on_parent_lost(connection, reason),
            LinkState::Child => self.on_child_lost(connection, reason),
            LinkState::Peer => self.on_peer_lost(connection, reason),
            LinkState::Opening(DialPurpose::Attach) => self.on_attempt_ended(connection),
            LinkState::Opening(DialPurpose::Peer(Some(member))) => self.on_peer_unreachable(&member),
            LinkState::Opening(DialPurpose::Peer(None)) | LinkState::Incoming => {}
        }
    }

    /// Sends an update, which the other side will acknowledge.
    pub(super) fn send_update(&mut self, connection: ConnectionId, message: PeerMessage) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.unacknowledged += 1;
        }
        self.send(connection, message);
    }

    /// Whether the other side has acknowledged enough to be sent more.
    pub(super) fn window_is_open(&self, connection: ConnectionId) -> bool {
        self.links.get(&connection).is_some_and(|link| link.unacknowledged < self.config.limits.send_window)
    }

    /// Notes that an update was received; `at_once` acknowledges it without delay.
    pub(super) fn owe_acknowledgement(&mut self, connection: ConnectionId, at_once: bool) {
        let now = self.now;
        let Some(link) = self.links.get_mut(&connection) else { return };
        if link.owed == 0 {
            link.owed_since = now;
        }
        link.owed += 1;
        if at_once || link.owed >= ACKNOWLEDGE_AT {
            self.acknowledge(connection);
        }
    }

    /// Asks for content, unless a question over this connection is still open.
    pub(super) fn ask_for_transfer(&mut self, connection: ConnectionId, held: Option<Held>) {
        let now = self.now;
        let overdue = self.config.timing.transfer_retry;
        let Some(link) = self.links.get_mut(&connection) else { return };
        if link.asked.is_some_and(|at| now.since(at) < overdue) {
            return;
        }
        link.asked = Some(now);
        self.send(connection, PeerMessage::RequestTransfer { held });
    }

    /// Notes that the content asked for has come.
    pub(super) fn transfer_came(&mut self, connection: ConnectionId) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.asked = None;
        }
    }

    fn acknowledge(&mut self, connection: ConnectionId) {
        let Some(link) = self.links.get_mut(&connection) else { return };
        let updates = std::mem::take(&mut link.owed);
        self.send(connection, PeerMessage::Acknowledge { updates });
    }

    /// Closes what is silent and sends heartbeats where nothing else was sent.
    pub(super) fn tend_links(&mut self) {
        let timing = self.config.timing;
        let depth = self.depth();
        let mut silent = Vec::new();
        let mut idle = Vec::new();
        let mut owing = Vec::new();
        for (connection, link) in &self.links {
            let is_opening = matches!(link.state, LinkState::Opening(_) | LinkState::Incoming);
            let is_late = is_opening && self.now.since(link.opened) >= timing.handshake_timeout;
            if is_late || self.now.since(link.heard) >= timing.idle_timeout {
                silent.push(*connection);
            } else if !is_opening && self.now.since(link.sent) >= timing.heartbeat {
                idle.push(*connection);
            }
            if link.owed > 0 && self.now.since(link.owed_since) >= ACKNOWLEDGE_AFTER {
                owing.push(*connection);
            }
        }
        for connection in silent {
            self.close(connection, LossReason::Silent);
        }
        for connection in owing {
            self.acknowledge(connection);
        }
        for connection in idle {
            self.send(connection, PeerMessage::Heartbeat { depth });
        }
    }

    /// When [`OverlayNode::tend_links`] next has something to do.
    pub(super) fn next_link_work(&self) -> Option<Timestamp> {
        let timing = &self.config.timing;
        let due = |link: &Link| match link.state {
            LinkState::Opening(_) | LinkState::Incoming => link.opened + timing.handshake_timeout,
            _ => {
                let acknowledgement = (link.owed > 0).then(|| link.owed_since + ACKNOWLEDGE_AFTER);
                let tended = (link.heard + timing.idle_timeout).min(link.sent + timing.heartbeat);
                acknowledgement.map_or(tended, |due| due.min(tended))
            }
        };
        self.links.values().map(due).min()
    }

    /// Whether this node accepts children.
    pub(super) const fn is_hub(&self) -> bool {
        self.role.current.has_children()
    }

    pub(super) fn is_reader(&self) -> bool {
        self.role.current == Role::Reader
    }
}
