//! What a test does to nodes and links, and what it prints of them.

use std::collections::BTreeSet;

use umberpond_model::{EndpointStatus, Locality, Millis, NodeName};
use umberpond_overlay::PeerMessage;
use umberpond_overlay::interface::{ConnectionId, Input};

use super::world::{Event, World};

/// Time after which a lease of a node that is gone or cut off lapses.
const LEASE_LAPSE: Millis = Millis(5_000);

impl World {
    /// The process ends at once; its peers see their connections end.
    pub fn kill(&mut self, name: &NodeName) {
        let node = self.nodes.get_mut(name).unwrap();
        node.core = None;
        node.frozen = false;
        node.waiting.clear();
        let incarnation = node.incarnation;
        self.push(LEASE_LAPSE, Event::Lapse { node: name.clone(), incarnation });
        let connections: Vec<ConnectionId> = self
            .pipes
            .iter()
            .filter(|(_, pipe)| {
                let pipe = &self.all_pipes[**pipe];
                pipe.open && pipe.ends.iter().any(|(end, _)| end == name)
            })
            .map(|(connection, _)| *connection)
            .collect();
        for connection in connections {
            self.end_pipe(connection, Some(name));
        }
    }

    /// The process stands still; what arrives waits.
    pub fn freeze(&mut self, name: &NodeName) {
        self.nodes.get_mut(name).unwrap().frozen = true;
    }

    pub fn thaw(&mut self, name: &NodeName) {
        let node = self.nodes.get_mut(name).unwrap();
        node.frozen = false;
        let waiting: Vec<Input<PeerMessage>> = node.waiting.drain(..).collect();
        for input in waiting {
            self.input(name, input);
        }
        self.input(name, Input::Wake);
    }

    /// Ends all connections of a node without ending its process.
    pub fn reset_connections(&mut self, name: &NodeName) {
        let ended: Vec<ConnectionId> = self
            .pipes
            .iter()
            .filter(|(_, pipe)| {
                let pipe = &self.all_pipes[**pipe];
                pipe.open && pipe.ends.iter().any(|(end, _)| end == name)
            })
            .map(|(connection, _)| *connection)
            .collect();
        for connection in ended {
            self.end_pipe(connection, None);
        }
    }

    /// Zones that can't reach each other, both ways.
    pub fn cut_zone(&mut self, zone: &Locality) {
        let others: BTreeSet<Locality> = self.nodes.values().map(|node| node.locality.clone()).collect();
        for other in others.into_iter().filter(|other| other != zone) {
            self.cut.insert((zone.clone(), other.clone()));
            self.cut.insert((other, zone.clone()));
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// The back end beside a node changes.
    pub fn set_status(&mut self, name: &NodeName, status: EndpointStatus) {
        let node = self.nodes.get_mut(name).unwrap();
        node.record.status = status;
        node.record.sequence += 1;
        let record = node.record.clone();
        self.history.statuses.push((self.now, name.clone(), status));
        self.input(name, Input::OwnRecord(record));
    }

    /// Prints where every node stands and what was decided, if `OVERLAY_TRACE` is set.
    pub fn trace_state(&self) {
        if std::env::var_os("OVERLAY_TRACE").is_none() {
            return;
        }
        for (time, node, decision) in &self.decisions {
            eprintln!("{} {node} {decision:?}", time.0);
        }
        for (node, core) in self.live() {
            let status = core.status();
            eprintln!(
                "{} {} {:?} depth {:?} parent {:?} children {} peers {} held {:?} active {:?} committed {} floor {:?}",
                self.now.0,
                node.name,
                status.role,
                status.depth,
                status.parent,
                status.children.len(),
                status.peers.len(),
                status.held,
                status.active,
                status.committed,
                status.floor,
            );
        }
    }

    /// Prints what mistaken callers know, if `OVERLAY_TRACE` is set.
    pub fn trace_records(&self, wrong: &[(NodeName, NodeName)]) {
        if std::env::var_os("OVERLAY_TRACE").is_none() {
            return;
        }
        for (caller, target) in wrong {
            let known = self.nodes[caller].known.get(target);
            eprintln!("{caller} knows {known:?} of {target}, which is {:?}", self.nodes[target].record);
        }
    }
}
