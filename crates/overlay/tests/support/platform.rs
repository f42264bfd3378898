//! The platform in small: the chain, watches, leases and a machine list that lags.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use umberpond_config::{Delta, Snapshot};
use umberpond_model::{Locality, NodeName, Timestamp, Version, VersionRecord};
use umberpond_overlay::interface::{AcceptedVersion, Machine, PlatformEvent, PlatformRequest, WholeVersion};

use super::content;

/// Leases of one zone.
const LEASES_PER_ZONE: usize = 2;

#[derive(Debug, Default)]
pub struct Platform {
    pub down: bool,
    /// Zones that can't reach it.
    pub cut: BTreeSet<Locality>,
    pub chain: Vec<(VersionRecord, Arc<Snapshot>, Arc<AcceptedVersion>)>,
    pub machines: Arc<Vec<Machine>>,
    /// Holders by zone, with the incarnation that holds.
    leases: BTreeMap<Locality, BTreeMap<NodeName, u64>>,
    /// Watching nodes and the version told last.
    pub watches: BTreeMap<NodeName, Version>,
    pub requests: u64,
    pub readers_seen: BTreeMap<NodeName, Timestamp>,
}

impl Platform {
    pub fn head(&self) -> Version {
        Version(self.chain.len() as u64)
    }

    pub fn is_reachable(&self, zone: &Locality) -> bool {
        !self.down && !self.cut.contains(zone)
    }

    pub fn accept(&mut self, services: usize, zones: usize, witnesses: &[NodeName]) -> Version {
        let version = self.head().next();
        let before = self.chain.last().map(|(_, snapshot, _)| Arc::clone(snapshot)).unwrap_or_default();
        let after = match version {
            Version(1) => content::first_snapshot(services, zones),
            _ => content::next_snapshot(&before, version, zones),
        };
        let record = content::record(self.chain.last().map(|(record, _, _)| record), &after, witnesses);
        self.append(record, &before, after);
        version
    }

    /// An operator's replacement of a set whose majority is lost for good: the set before has no say any more.
    pub fn replace_witnesses(&mut self, witnesses: &[NodeName]) -> Version {
        let (last, snapshot, _) = self.chain.last().expect("only a chain that has begun has witnesses");
        let before = Arc::clone(snapshot);
        let mut record = content::record(Some(last), &before, witnesses);
        record.previous_witnesses = Vec::new();
        let version = record.version;
        self.append(record, &before, before.as_ref().clone());
        version
    }

    fn append(&mut self, record: VersionRecord, before: &Snapshot, after: Snapshot) {
        let delta = Delta::between(before, &after);
        let accepted = Arc::new(AcceptedVersion { record: record.clone(), delta });
        self.chain.push((record, Arc::new(after), accepted));
    }

    /// Answers of a request that reaches the platform.
    pub fn handle(
        &mut self,
        now: Timestamp,
        (node, incarnation): (&NodeName, u64),
        zone: &Locality,
        request: PlatformRequest,
    ) -> Vec<PlatformEvent> {
        self.requests += 1;
        self.readers_seen.insert(node.clone(), now);
        match request {
            PlatformRequest::AcquireReaderLease => {
                let holders = self.leases.entry(zone.clone()).or_default();
                if holders.len() < LEASES_PER_ZONE || holders.contains_key(node) {
                    holders.insert(node.clone(), incarnation);
                    return vec![PlatformEvent::LeaseGranted];
                }
                vec![PlatformEvent::LeaseLost]
            }
            PlatformRequest::ReleaseReaderLease => {
                self.release(node, incarnation);
                Vec::new()
            }
            PlatformRequest::Watch { after } => {
                self.watches.insert(node.clone(), after);
                let mut events = vec![PlatformEvent::Machines(Arc::clone(&self.machines))];
                events.extend(self.news(node));
                events
            }
            PlatformRequest::ReadHeadVersion { nonce } => {
                vec![PlatformEvent::HeadVersion { nonce, version: self.head() }]
            }
        }
    }

    /// What a watching node hasn't been told yet.
    pub fn news(&mut self, node: &NodeName) -> Vec<PlatformEvent> {
        let head = self.head();
        let Some(told) = self.watches.get_mut(node) else { return Vec::new() };
        let first = told.0 as usize;
        let was_empty = *told == Version::GENESIS && head > Version(3);
        *told = head;
        if was_empty {
            return vec![PlatformEvent::Whole(Arc::new(self.whole()))];
        }
        self.chain[first..].iter().map(|(_, _, step)| PlatformEvent::Accepted(Arc::clone(step))).collect()
    }

    fn whole(&self) -> WholeVersion {
        let (record, snapshot, _) = self.chain.last().unwrap();
        WholeVersion {
            record: record.clone(),
            previous_witnesses: record.previous_witnesses.clone(),
            snapshot: snapshot.as_ref().clone(),
        }
    }

    /// The leases and watches of one incarnation of a node lapse.
    pub fn release(&mut self, node: &NodeName, incarnation: u64) {
        let mut is_newer = false;
        for holders in self.leases.values_mut() {
            is_newer |= holders.get(node).is_some_and(|holder| *holder > incarnation);
            if holders.get(node) == Some(&incarnation) {
                holders.remove(node);
            }
        }
        if !is_newer {
            self.watches.remove(node);
        }
    }
}
