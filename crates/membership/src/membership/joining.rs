//! How a process that knows nobody finds the others: it calls some that the store names, and asks for what they know.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use umberpond_model::{Locality, NodeName};

use super::{Membership, Outgoing};
use crate::record::DirectoryEntry;

/// A node that the store names and that is not known otherwise.
#[derive(Debug)]
struct Stranger {
    control: SocketAddr,
    /// Where it runs, if the store says so.
    locality: Option<Locality>,
    known_since: Instant,
}

/// Time between two calls while no neighbour was heard yet, or nodes that the store has just named are not known.
const FIRST_CALLS: Duration = Duration::from_millis(200);
/// Time between two calls from then on, to those that stay unknown: two groups that do not know each other meet so.
const LATER_CALLS: Duration = Duration::from_secs(2);
/// Time after which a stranger is given up.
const GIVE_UP_AFTER: Duration = Duration::from_secs(120);
/// Unknown nodes just named by the store from which on one of them is asked for all that it knows: many that start at once
/// may meet in groups that know nothing of each other.
const MANY_STRANGERS: usize = 8;
/// Time within which a stranger that runs is met.
const EXPECTED_FOR: Duration = Duration::from_secs(1);
/// Time for which a stranger counts among the nodes that there are.
const YOUNG_FOR: Duration = Duration::from_secs(5);

/// Strangers, and when they are called.
#[derive(Debug, Default)]
pub(super) struct Joining {
    strangers: BTreeMap<NodeName, Stranger>,
    call_next_at: Option<Instant>,
    young_count: usize,
    near_young_count: usize,
    /// Whether records were asked for in vain so far.
    has_records: bool,
}

impl Joining {
    pub(super) fn on_known(&mut self, node: &NodeName) {
        self.strangers.remove(node);
    }

    pub(super) const fn on_records(&mut self) {
        self.has_records = true;
    }

    fn due(&mut self, now: Instant, pause: Duration) -> bool {
        if self.strangers.is_empty() || self.call_next_at.is_some_and(|at| at > now) {
            return false;
        }
        self.call_next_at = Some(now + pause);
        true
    }
}

impl Membership {
    /// Takes in nodes that the store names.
    pub fn on_directory_entries(&mut self, now: Instant, introductions: Vec<DirectoryEntry>) {
        for DirectoryEntry { node, control, locality } in introductions {
            if node == self.own.node || self.members.contains_key(&node) {
                continue;
            }
            self.joining.strangers.insert(node, Stranger { control, locality, known_since: now });
            self.joining.call_next_at = None;
        }
        self.joining.count_young(now, &self.own.locality);
    }

    /// Count of the nodes that the store has named and that are not known otherwise, until they are given up.
    #[must_use]
    pub fn candidate_count(&self) -> usize {
        self.joining.strangers.len()
    }

    /// Nodes that the store has just named and that are not known otherwise: most of them will be met.
    pub fn expected_candidates(&self, now: Instant) -> impl Iterator<Item = &NodeName> {
        let strangers = self.joining.strangers.iter();
        let expected = strangers
            .filter(move |(_, stranger)| now.saturating_duration_since(stranger.known_since) < EXPECTED_FOR);
        expected.map(|(node, _)| node)
    }

    pub(super) fn call_strangers(&mut self, now: Instant) -> Vec<Outgoing> {
        let strangers = &mut self.joining.strangers;
        strangers.retain(|_, stranger| now.saturating_duration_since(stranger.known_since) < GIVE_UP_AFTER);
        self.joining.count_young(now, &self.own.locality);
        let is_alone = self.reachable_count() == 0;
        let is_joining = is_alone || self.joining.young_count > 0;
        let all_called = self.is_full_mesh() && self.joining.young_count > 0;
        let pause = if is_joining { FIRST_CALLS } else { LATER_CALLS };
        if !self.joining.due(now, pause) {
            return Vec::new();
        }
        let called = self.strangers_to_call(is_joining, all_called);
        let mut wants_records = !self.joining.has_records || self.joining.young_count >= MANY_STRANGERS;
        let mut outgoing = Vec::new();
        for control in called {
            outgoing.push(self.introduction_to(now, control, wants_records));
            // One answer is enough; if it is lost, the next call asks another node.
            wants_records = false;
        }
        outgoing
    }

    /// Those of the own zone first.
    fn strangers_to_call(&mut self, is_joining: bool, all_called: bool) -> Vec<SocketAddr> {
        let strangers = self.joining.strangers.values();
        if all_called {
            return strangers.map(|stranger| stranger.control).collect();
        }
        let count = if is_joining { self.settings.strangers_called } else { 1 };
        let own = Some(&self.own.locality);
        let (near, far): (Vec<&Stranger>, Vec<&Stranger>) =
            strangers.partition(|stranger| stranger.locality.as_ref() == own);
        let near_count = if near.is_empty() { 0 } else { count.div_ceil(2) };
        let mut called = near.into_iter().sample(&mut self.random, near_count);
        called.extend(far.into_iter().sample(&mut self.random, count - called.len()));
        called.into_iter().map(|stranger| stranger.control).collect()
    }
}

impl Joining {
    /// Strangers that were named lately, by the last count: they are expected to be met.
    pub(super) const fn young_count(&self) -> usize {
        self.young_count
    }

    /// The same of the own zone.
    pub(super) const fn near_young_count(&self) -> usize {
        self.near_young_count
    }

    fn count_young(&mut self, now: Instant, own: &Locality) {
        let is_young = |stranger: &&Stranger| now.saturating_duration_since(stranger.known_since) < YOUNG_FOR;
        let young = self.strangers.values().filter(is_young);
        let is_near = |stranger: &&Stranger| stranger.locality.as_ref() == Some(own);
        self.young_count = young.clone().count();
        self.near_young_count = young.filter(is_near).count();
    }
}
