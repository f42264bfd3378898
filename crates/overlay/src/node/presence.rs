//! Search for members that died together with the node that would have missed them.
//!
//! A parent suspects a child that it has lost. If parent and child die at once, nobody misses the child. A reader
//! therefore compares the count of attached nodes, which the progress reports give anyway, with the count of live
//! members; only if some are missing for a while does it ask who is there.

use std::sync::Arc;

use umberpond_model::{Millis, NodeName, Nonce, RecordOrder, Timestamp};

use super::OverlayNode;
use super::state::RunningRollCall;
use crate::interface::ConnectionId;
use crate::{PeerMessage, Present, Role};

/// Members must be missing for this long; longer than a failover and the reports after it take.
const MISSING_FOR: Millis = Millis(4_000);

/// Time for the answers to come.
const ANSWER_TIME: Millis = Millis(2_000);

/// At most one member in so many is suspected by one roll call: if more seem absent, the fault may be on this side,
/// and the next roll call will tell.
const MAX_ABSENT_SHARE: usize = 8;

/// So many members may be suspected by one roll call in a small zone.
const MIN_ABSENT: usize = 8;

/// Least time between two looks at the counts.
const LOOK_INTERVAL: Millis = Millis(1_000);

impl OverlayNode {
    /// Compares the counts, and asks who is there if they differ for long.
    pub(super) fn tend_roll_call(&mut self) {
        self.end_roll_call();
        let now = self.now;
        if self.reader.as_ref().is_none_or(|reader| now < reader.roll_call.next_look) {
            return;
        }
        let is_missing = self.some_are_missing();
        let Some(reader) = &mut self.reader else { return };
        reader.roll_call.next_look = now + LOOK_INTERVAL;
        let state = &mut reader.roll_call;
        if !is_missing {
            state.missing_since = None;
            return;
        }
        let since = *state.missing_since.get_or_insert(now);
        if state.running.is_none() && now.since(since) >= MISSING_FOR {
            self.begin_roll_call();
        }
    }

    /// Whether this reader is the one of its zone that looks, and counts fewer nodes than members.
    fn some_are_missing(&self) -> bool {
        let own = self.own.record();
        let colleagues =
            self.peers.values().filter(|peer| peer.role == Role::Reader && peer.locality == own.locality);
        if colleagues.into_iter().any(|peer| peer.node < own.node) {
            return false;
        }
        if self.now < self.role.collecting_until || !self.planned_readers_are_linked() {
            return false;
        }
        let counted = self.zone_report(&own.locality).nodes() as usize;
        counted < self.directory.zone_size()
    }

    /// Whether all that should be readers of the zone answer here; otherwise nodes below them would be missed.
    fn planned_readers_are_linked(&self) -> bool {
        let own = &self.own.record().node;
        let plan = &self.role.plan.plan;
        plan.readers().iter().all(|reader| reader == own || self.has_peer(reader))
    }

    fn begin_roll_call(&mut self) {
        let nonce = self.nonce();
        let expected = self.directory.zone_members();
        let running = RunningRollCall { nonce, began: self.now, expected };
        if let Some(reader) = &mut self.reader {
            reader.roll_call.running = Some(running);
        }
        for connection in self.colleagues() {
            self.send(connection, PeerMessage::RollCall { nonce });
        }
        self.call_children(nonce);
        let present = self.present(nonce);
        self.on_present(&present);
    }

    /// Asks the relays below.
    fn call_children(&mut self, nonce: Nonce) {
        let relays: Vec<ConnectionId> = self
            .children
            .iter()
            .filter(|(_, child)| child.role.has_children())
            .map(|(connection, _)| *connection)
            .collect();
        for connection in relays {
            self.send(connection, PeerMessage::RollCall { nonce });
        }
    }

    fn present(&self, nonce: Nonce) -> Present {
        let own = std::iter::once(self.own.record().node.clone());
        let nodes = own.chain(self.children.values().map(|child| child.node.clone())).collect();
        Present { nonce, nodes }
    }

    /// Someone above, or a reader of this zone, asks who is there.
    pub(super) fn on_roll_call(&mut self, connection: ConnectionId, nonce: Nonce) {
        let present = self.present(nonce);
        self.send(connection, PeerMessage::Present(Arc::new(present)));
        self.call_children(nonce);
    }

    /// Nodes are there: noted if this node asked, passed on otherwise.
    pub(super) fn on_present(&mut self, present: &Present) {
        let running = self.reader.as_mut().and_then(|reader| reader.roll_call.running.as_mut());
        if let Some(running) = running.filter(|running| running.nonce == present.nonce) {
            for node in &present.nodes {
                running.expected.remove(node);
            }
            return;
        }
        let message = PeerMessage::Present(Arc::new(present.clone()));
        if let Some(attached) = &self.parent.attached {
            let connection = attached.connection;
            self.send(connection, message);
            return;
        }
        let own = self.own.record();
        let asker = self.peers.iter().find(|(_, peer)| {
            peer.role == Role::Reader && peer.locality == own.locality && peer.node < own.node
        });
        if let Some((connection, _)) = asker {
            let connection = *connection;
            self.send(connection, message);
        }
    }

    /// Suspects those that nobody has seen and that have said nothing since.
    fn end_roll_call(&mut self) {
        let now = self.now;
        let Some(reader) = &mut self.reader else { return };
        let state = &mut reader.roll_call;
        if state.running.as_ref().is_none_or(|running| now.since(running.began) < ANSWER_TIME) {
            return;
        }
        let Some(running) = state.running.take() else { return };
        state.missing_since = None;
        let absent: Vec<NodeName> = running
            .expected
            .iter()
            .filter(|(node, order)| self.is_unchanged(node, **order))
            .map(|(node, _)| node.clone())
            .collect();
        let limit = (self.directory.zone_size() / MAX_ABSENT_SHARE).max(MIN_ABSENT);
        for node in absent.iter().take(limit) {
            self.suspect(node);
        }
    }

    fn is_unchanged(&self, node: &NodeName, order: RecordOrder) -> bool {
        self.directory.table().get(node).is_some_and(|record| record.order() == order)
    }

    /// When the counts are next looked at.
    pub(super) fn next_roll_call_work(&self) -> Option<Timestamp> {
        let state = &self.reader.as_ref()?.roll_call;
        let running = state.running.as_ref().map(|running| running.began + ANSWER_TIME);
        running.or(Some(state.next_look))
    }
}
