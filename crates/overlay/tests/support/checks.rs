//! What happened, and checkers over it: plain functions that say what is wrong.

use std::collections::BTreeMap;

use umberpond_config::Snapshot;
use umberpond_model::{EndpointStatus, Millis, NodeName, Timestamp, Version};

/// One version put in force.
#[derive(Debug, Clone)]
pub struct Activation {
    pub time: Timestamp,
    pub node: NodeName,
    pub incarnation: u64,
    pub version: Version,
    /// Routes whose service is missing.
    pub dangling: usize,
}

#[derive(Debug, Default)]
pub struct History {
    pub accepted: BTreeMap<Version, Timestamp>,
    pub activations: Vec<Activation>,
    pub statuses: Vec<(Timestamp, NodeName, EndpointStatus)>,
    /// Bytes sent by node and second.
    pub bytes: BTreeMap<NodeName, BTreeMap<u64, u64>>,
}

impl History {
    pub fn activate(
        &mut self,
        time: Timestamp,
        node: &NodeName,
        incarnation: u64,
        version: Version,
        snapshot: &Snapshot,
    ) {
        let is_dangling = |service| !snapshot.services.contains_key(service);
        let dangling = snapshot.routes.values().filter(|route| is_dangling(&route.service)).count();
        self.activations.push(Activation { time, node: node.clone(), incarnation, version, dangling });
    }

    pub fn count_bytes(&mut self, time: Timestamp, node: &NodeName, bytes: u64) {
        *self.bytes.entry(node.clone()).or_default().entry(time.0 / 1_000).or_default() += bytes;
    }

    /// Greatest count of bytes that a node sent within `window` seconds, from `start` on.
    pub fn peak_bytes(&self, node: &NodeName, start: Timestamp, window: u64) -> u64 {
        let Some(seconds) = self.bytes.get(node) else { return 0 };
        let first = start.0 / 1_000;
        let sum = |from: u64| seconds.range(from..from + window).map(|(_, bytes)| bytes).sum();
        seconds.range(first..).map(|(second, _)| sum(*second)).max().unwrap_or(0)
    }
}

/// A promise that did not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    WentBack { node: NodeName, from: Version, to: Version },
    Dangling { node: NodeName, version: Version },
    NeverAccepted { node: NodeName, version: Version },
    TooManyTransfers { node: NodeName, at: Timestamp, count: usize },
}

/// No node puts an older version in force than it had in force before, in whatever incarnation.
pub fn never_back(history: &History) -> Vec<Violation> {
    let mut newest: BTreeMap<&NodeName, Version> = BTreeMap::new();
    let mut violations = Vec::new();
    for activation in &history.activations {
        let known = newest.entry(&activation.node).or_default();
        if activation.version < *known {
            violations.push(Violation::WentBack {
                node: activation.node.clone(),
                from: *known,
                to: activation.version,
            });
        }
        *known = (*known).max(activation.version);
    }
    violations
}

/// Every version in force was accepted before, and is closed.
pub fn sound(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for activation in &history.activations {
        let node = activation.node.clone();
        let version = activation.version;
        let is_accepted = history.accepted.get(&version).is_some_and(|time| *time <= activation.time);
        if !is_accepted {
            violations.push(Violation::NeverAccepted { node: node.clone(), version });
        }
        if activation.dangling > 0 {
            violations.push(Violation::Dangling { node, version });
        }
    }
    violations
}

/// No parent sends more than `limit` whole transfers within `window`.
pub fn transfers_bounded(
    transfers: &BTreeMap<NodeName, Vec<Timestamp>>,
    window: Millis,
    limit: usize,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (node, times) in transfers {
        for (index, at) in times.iter().enumerate() {
            let count = times[index..].iter().take_while(|time| time.since(*at) < window).count();
            if count > limit {
                violations.push(Violation::TooManyTransfers { node: node.clone(), at: *at, count });
            }
        }
    }
    violations
}
