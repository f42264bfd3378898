//! Joining: a process that knows no other node contacts some that are listed in the store, and requests their
//! records.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use umberpond_model::{Locality, NodeName};

use super::{Membership, Outgoing};
use crate::record::DirectoryEntry;

/// A join candidate: a node that is listed in the store but is not a member yet.
#[derive(Debug)]
struct Candidate {
    control: SocketAddr,
    /// Its locality, if its entry in the store includes it.
    locality: Option<Locality>,
    known_since: Instant,
}

/// Interval between contact attempts while no neighbour is reachable or there are newly listed candidates.
const INITIAL_CONTACT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between contact attempts afterwards, to the remaining candidates, so that two groups that don't
/// know each other merge.
const LATER_CONTACT_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a candidate is dropped.
const CANDIDATE_LIFETIME: Duration = Duration::from_secs(120);
/// Number of newly listed candidates from which on all records are requested from one of them: if many nodes
/// start at once, they may form groups that don't know each other.
const MANY_CANDIDATES: usize = 8;
/// Time within which a running candidate is expected to become a member.
const EXPECTED_FOR: Duration = Duration::from_secs(1);
/// Time for which a newly listed candidate is included in the number of nodes.
const RECENT_FOR: Duration = Duration::from_secs(5);

/// Join candidates, and when to contact them next.
#[derive(Debug, Default)]
pub(super) struct Joining {
    candidates: BTreeMap<NodeName, Candidate>,
    contact_next_at: Option<Instant>,
    recent_candidate_count: usize,
    near_recent_candidate_count: usize,
    /// Whether any records have been received from other nodes.
    has_records: bool,
}

impl Joining {
    pub(super) fn on_known(&mut self, node: &NodeName) {
        self.candidates.remove(node);
    }

    pub(super) const fn on_records(&mut self) {
        self.has_records = true;
    }

    fn due(&mut self, now: Instant, pause: Duration) -> bool {
        if self.candidates.is_empty() || self.contact_next_at.is_some_and(|at| at > now) {
            return false;
        }
        self.contact_next_at = Some(now + pause);
        true
    }
}

impl Membership {
    /// Adds nodes that are listed in the store as candidates.
    pub fn on_directory_entries(&mut self, now: Instant, entries: Vec<DirectoryEntry>) {
        for DirectoryEntry { node, control, locality } in entries {
            if node == self.own.node || self.members.contains_key(&node) {
                continue;
            }
            self.joining.candidates.insert(node, Candidate { control, locality, known_since: now });
            self.joining.contact_next_at = None;
        }
        self.joining.count_recent_candidates(now, &self.own.locality);
    }

    /// Number of join candidates: nodes that are listed in the store but are neither members nor dropped yet.
    #[must_use]
    pub fn candidate_count(&self) -> usize {
        self.joining.candidates.len()
    }

    /// Newly listed join candidates, most of which are expected to become members.
    pub fn expected_candidates(&self, now: Instant) -> impl Iterator<Item = &NodeName> {
        let candidates = self.joining.candidates.iter();
        let expected = candidates.filter(move |(_, candidate)| {
            now.saturating_duration_since(candidate.known_since) < EXPECTED_FOR
        });
        expected.map(|(node, _)| node)
    }

    pub(super) fn contact_candidates(&mut self, now: Instant) -> Vec<Outgoing> {
        let candidates = &mut self.joining.candidates;
        candidates
            .retain(|_, candidate| now.saturating_duration_since(candidate.known_since) < CANDIDATE_LIFETIME);
        self.joining.count_recent_candidates(now, &self.own.locality);
        let is_alone = self.reachable_count() == 0;
        let is_joining = is_alone || self.joining.recent_candidate_count > 0;
        let contact_all = self.is_full_mesh() && self.joining.recent_candidate_count > 0;
        let pause = if is_joining { INITIAL_CONTACT_INTERVAL } else { LATER_CONTACT_INTERVAL };
        if !self.joining.due(now, pause) {
            return Vec::new();
        }
        let contacted = self.candidates_to_contact(is_joining, contact_all);
        let mut wants_records =
            !self.joining.has_records || self.joining.recent_candidate_count >= MANY_CANDIDATES;
        let mut outgoing = Vec::new();
        for control in contacted {
            outgoing.push(self.introductory_heartbeat(now, control, wants_records));
            // One response is enough; if it is lost, the next attempt requests the records from another node.
            wants_records = false;
        }
        outgoing
    }

    /// Chooses the candidates to contact, half of them from the own zone if it has any.
    fn candidates_to_contact(&mut self, is_joining: bool, contact_all: bool) -> Vec<SocketAddr> {
        let candidates = self.joining.candidates.values();
        if contact_all {
            return candidates.map(|candidate| candidate.control).collect();
        }
        let count = if is_joining { self.settings.candidates_contacted } else { 1 };
        let own = Some(&self.own.locality);
        let (near, far): (Vec<&Candidate>, Vec<&Candidate>) =
            candidates.partition(|candidate| candidate.locality.as_ref() == own);
        let near_count = if near.is_empty() { 0 } else { count.div_ceil(2) };
        let mut contacted = near.into_iter().sample(&mut self.random, near_count);
        contacted.extend(far.into_iter().sample(&mut self.random, count - contacted.len()));
        contacted.into_iter().map(|candidate| candidate.control).collect()
    }
}

impl Joining {
    /// Number of newly listed candidates as of the last count; they are expected to become members.
    pub(super) const fn recent_candidate_count(&self) -> usize {
        self.recent_candidate_count
    }

    /// Like [`recent_candidate_count`](Self::young_count), for the own zone.
    pub(super) const fn near_recent_candidate_count(&self) -> usize {
        self.near_recent_candidate_count
    }

    fn count_recent_candidates(&mut self, now: Instant, own: &Locality) {
        let is_recent =
            |candidate: &&Candidate| now.saturating_duration_since(candidate.known_since) < RECENT_FOR;
        let recent = self.candidates.values().filter(is_recent);
        let is_near = |candidate: &&Candidate| candidate.locality.as_ref() == Some(own);
        self.recent_candidate_count = recent.clone().count();
        self.near_recent_candidate_count = recent.filter(is_near).count();
    }
}
