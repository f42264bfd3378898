//! All other nodes, and this node's word of itself.

mod joining;
mod receive;
mod spread;
mod tick;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use umberpond_model::{Evacuations, Incarnation, Locality, NodeName, ServiceName, Version};
use umberpond_rollouts::RolloutPlan;
use umberpond_scheduling::LoadReport;

use crate::digest::{BUCKETS, Digests, bucket_of, contribution_of, rank_of};
use crate::heartbeat::{ConfigurationWord, Datagram, Heartbeat};
use crate::member::{Member, MemberView, Reachability};
use crate::neighbours::Zones;
use crate::note::MembershipEvent;
use crate::record::{BackEndRecord, BackEndState, MemberPhase, MemberRecord, RecordOrder};
use crate::settings::MembershipSettings;
use joining::Joining;
use spread::{PendingNews, Reach};

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Where to.
    pub to: SocketAddr,
    /// The datagram.
    pub datagram: Datagram,
}

/// Most notes kept until they are taken.
const MAX_NOTES: usize = 64;

/// Membership as one node sees it.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    own: MemberRecord,
    own_rank: u64,
    load: LoadReport,
    version: Option<Version>,
    /// When the store itself answered this node last.
    own_store_contact: Option<Instant>,
    /// The latest moment at which any node is known to have heard from the store.
    last_store_contact: Option<Instant>,
    members: BTreeMap<NodeName, Member>,
    /// Names of the members by the random numbers of their processes.
    lives: BTreeMap<u64, NodeName>,
    /// Members between which and this node heartbeats pass at regular times, or did lately.
    active: BTreeSet<NodeName>,
    /// Members that too few of their neighbours have found silent.
    suspects: BTreeSet<NodeName>,
    /// The members that are not out, by zone; made anew when that changes.
    zones: Zones,
    are_zones_stale: bool,
    /// Whether all nodes were neighbours of all when the neighbours were chosen last.
    was_full_mesh: bool,
    /// Zones between which and this node nothing passes.
    cut: BTreeSet<Locality>,
    digests: Digests,
    own_contribution: u64,
    /// Since when the digests of a bucket differ from those of others, and when its records were asked for last.
    differing: [(Option<Instant>, Option<Instant>); BUCKETS as usize],
    pending: PendingNews,
    joining: Joining,
    /// Who has found this node silent.
    own_accusers: BTreeSet<u64>,
    random: SmallRng,
    first_tick_at: Option<Instant>,
    last_tick_at: Option<Instant>,
    gossip_next_at: Option<Instant>,
    forget_next_at: Option<Instant>,
    notes: Vec<MembershipEvent>,
    has_changed: bool,
    /// Whether what has changed concerns requests that are sent now.
    is_urgent: bool,
}

impl Membership {
    /// The membership of a process that knows only itself.
    #[must_use]
    pub fn new(settings: MembershipSettings, own: MemberRecord) -> Self {
        let mut membership = Self {
            settings,
            own_rank: rank_of(&own.node),
            random: SmallRng::seed_from_u64(own.life),
            own,
            load: LoadReport::default(),
            version: None,
            own_store_contact: None,
            last_store_contact: None,
            members: BTreeMap::new(),
            lives: BTreeMap::new(),
            active: BTreeSet::new(),
            suspects: BTreeSet::new(),
            zones: Zones::default(),
            are_zones_stale: false,
            was_full_mesh: false,
            cut: BTreeSet::new(),
            digests: Digests::new(),
            own_contribution: 0,
            differing: [(None, None); BUCKETS as usize],
            pending: PendingNews::default(),
            joining: Joining::default(),
            own_accusers: BTreeSet::new(),
            first_tick_at: None,
            last_tick_at: None,
            gossip_next_at: None,
            forget_next_at: None,
            notes: Vec::new(),
            has_changed: true,
            is_urgent: true,
        };
        membership.settle_own();
        membership
    }

    /// This node's word of itself.
    #[must_use]
    pub const fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// The other nodes.
    pub fn members(&self) -> impl Iterator<Item = MemberView> + '_ {
        self.members.values().filter(|member| !member.is_retired()).map(Member::view)
    }

    /// The records of the nodes that can be reached.
    pub fn reachable(&self) -> impl Iterator<Item = &MemberRecord> {
        let reachable = self.members.values().filter(|member| member.reachability == Reachability::Reachable);
        reachable.map(|member| &member.record)
    }

    /// The node whose record has this order, and the service of its back end.
    #[must_use]
    pub fn back_end_of(&self, order: RecordOrder) -> Option<(&NodeName, &ServiceName)> {
        let record = &self.member_of(order)?.record;
        Some((&record.node, &record.back_end.as_ref()?.service))
    }

    /// The record of this order, as it was told by its node.
    #[must_use]
    pub fn record_of(&self, order: RecordOrder) -> Option<&MemberRecord> {
        self.member_of(order).map(|member| &member.record)
    }

    fn member_of(&self, order: RecordOrder) -> Option<&Member> {
        let member = self.members.get(self.lives.get(&order.life)?)?;
        (member.record.order() == order).then_some(member)
    }

    /// Whether the node can be reached, as far as it is known at all.
    fn is_reachable(&self, node: &NodeName) -> bool {
        self.members.get(node).is_some_and(|member| member.reachability == Reachability::Reachable)
    }

    /// Count of the other nodes that can be reached.
    #[must_use]
    pub fn reachable_count(&self) -> usize {
        self.reachable().count()
    }

    /// Where the first `count` of the nodes that run and can be reached take datagrams, in an order that all nodes share; absent for this one.
    #[must_use]
    pub fn first_ranked(&self, count: usize) -> Vec<Option<SocketAddr>> {
        let others = self.members.values().filter(|member| {
            member.reachability == Reachability::Reachable && member.record.phase == MemberPhase::Running
        });
        let others = others.map(|member| (member.rank, Some(member.record.control)));
        let mut ranked: Vec<(u64, Option<SocketAddr>)> = others.chain([(self.own_rank, None)]).collect();
        ranked.sort_unstable();
        ranked.truncate(count);
        ranked.into_iter().map(|(_, place)| place).collect()
    }

    /// Whether a record or the reachability of a node has changed since this was asked last.
    pub const fn take_changed(&mut self) -> bool {
        self.is_urgent = false;
        std::mem::replace(&mut self.has_changed, false)
    }

    /// The same, but only if a node that took requests takes none any more: other changes can wait for the next tick.
    pub const fn take_urgent_change(&mut self) -> bool {
        self.is_urgent && self.take_changed()
    }

    /// What was found out since this was asked last.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.notes)
    }

    /// Sets the load told from now on.
    pub const fn set_load(&mut self, load: LoadReport) {
        self.load = load;
    }

    /// Sets the version of the configuration in force, and tells at once some of those that are not known to hold it:
    /// everybody who learns of it does the same.
    pub fn set_version(&mut self, now: Instant, version: Version) -> Vec<Outgoing> {
        if self.version >= Some(version) {
            return Vec::new();
        }
        self.version = Some(version);
        let told = self.behind(now, version);
        let heartbeats = told.into_iter();
        heartbeats.filter_map(|node| self.heartbeat_to(now, &node, None, false)).collect()
    }

    /// Takes in that the store itself has answered this node.
    pub fn on_store_response(&mut self, now: Instant) {
        self.own_store_contact = Some(now);
        self.last_store_contact = Some(now);
    }

    /// When the store itself answered this node last.
    #[must_use]
    pub const fn own_store_contact(&self) -> Option<Instant> {
        self.own_store_contact
    }

    /// The latest moment at which any node is known here to have heard from the store.
    #[must_use]
    pub const fn last_store_contact(&self) -> Option<Instant> {
        self.last_store_contact
    }

    /// Sets what is said of the back end, and tells it at once.
    pub fn set_back_end(&mut self, now: Instant, back_end: Option<BackEndRecord>) -> Vec<Outgoing> {
        if self.own.back_end == back_end {
            return Vec::new();
        }
        self.own.back_end = back_end;
        self.change_own(now)
    }

    /// Sets the plans that this node tells as a coordinator of rollouts, and tells them at once.
    pub fn set_rollouts(&mut self, now: Instant, plans: Vec<RolloutPlan>) -> Vec<Outgoing> {
        if self.own.rollouts == plans {
            return Vec::new();
        }
        self.own.rollouts = plans;
        self.change_own(now)
    }

    /// Sets the evacuations that this node has read from the store, and tells them at once.
    pub fn set_evacuations(&mut self, now: Instant, evacuations: Evacuations) -> Vec<Outgoing> {
        if self.own.evacuations == evacuations {
            return Vec::new();
        }
        self.own.evacuations = evacuations;
        self.change_own(now)
    }

    /// Addresses of the other nodes that coordinate the rollout of `service`.
    #[must_use]
    pub fn coordinators_of(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let is_coordinator = |record: &&MemberRecord| {
            record.rollouts.iter().any(|plan| plan.service == *service && plan.stage.is_running())
        };
        self.reachable().filter(is_coordinator).map(|record| record.control).collect()
    }

    /// Sets the phase of this process, and tells it at once.
    pub fn set_phase(&mut self, now: Instant, phase: MemberPhase) -> Vec<Outgoing> {
        if self.own.phase == phase {
            return Vec::new();
        }
        self.own.phase = phase;
        self.change_own(now)
    }

    fn change_own(&mut self, now: Instant) -> Vec<Outgoing> {
        self.own.sequence += 1;
        self.settle_own();
        self.tell_own(now)
    }

    /// Tells the neighbours of the own record, and has it passed on.
    fn tell_own(&mut self, now: Instant) -> Vec<Outgoing> {
        let neighbours: Vec<NodeName> = self.active.iter().cloned().collect();
        let heartbeats = neighbours.into_iter();
        let mut outgoing: Vec<Outgoing> =
            heartbeats.filter_map(|node| self.heartbeat_to(now, &node, None, false)).collect();
        self.pending.add_own();
        outgoing.extend(self.flush_news(Reach::Origin));
        outgoing
    }

    /// Takes a higher start count than that of an earlier process of this node.
    fn rise_above(&mut self, incarnation: Incarnation) {
        self.own.incarnation = Incarnation(incarnation.0 + 1);
        self.own.sequence += 1;
        self.settle_own();
    }

    /// Brings what follows from the own record up to date.
    fn settle_own(&mut self) {
        let contribution =
            if self.own.phase == MemberPhase::Left { 0 } else { contribution_of(&self.own.order()) };
        self.digests.replace(bucket_of(self.own_rank), self.own_contribution, contribution);
        self.own_contribution = contribution;
        self.own_accusers.clear();
        self.note_changed(true);
    }

    /// Brings what follows from a member's record and from what was heard of it up to date.
    fn settle(&mut self, now: Instant, node: &NodeName) {
        let is_full_mesh = self.is_full_mesh();
        let Some(member) = self.members.get_mut(node) else { return };
        let is_zone_cut = self.cut.contains(&member.record.locality);
        let was_usable = member.reachability == Reachability::Reachable;
        let has_changed = member.update_reachability(now, is_zone_cut);
        let is_left_out = member.is_out() || (is_full_mesh && member.reachability == Reachability::Silent);
        let contribution = member.wanted_contribution(is_left_out);
        self.digests.replace(bucket_of(member.rank), member.contribution, contribution);
        member.contribution = contribution;
        if has_changed {
            // Which nodes of another zone are looked at depends on which ones are silent.
            self.are_zones_stale |= member.watch().is_some();
            self.note_changed(was_usable);
        }
    }

    fn note_changed(&mut self, is_urgent: bool) {
        self.has_changed = true;
        self.is_urgent |= is_urgent;
    }

    fn note(&mut self, note: MembershipEvent) {
        if self.notes.len() < MAX_NOTES {
            self.notes.push(note);
        }
    }

    /// Whether all nodes are neighbours of all.
    fn is_full_mesh(&self) -> bool {
        self.zones.count() + self.joining.young_count() < self.settings.full_mesh_up_to
    }

    /// A heartbeat to a member; `to` is where its own came from, if that is answered.
    fn heartbeat_to(
        &mut self,
        now: Instant,
        node: &NodeName,
        to: Option<SocketAddr>,
        wants_response: bool,
    ) -> Option<Outgoing> {
        let configuration = self.configuration_word(now);
        let digests = self.digests.take_next();
        let member = self.members.get_mut(node)?;
        if member.is_retired() {
            return None;
        }
        let watch = member.watch();
        let heartbeat = Heartbeat {
            number: member.count_sent(now),
            word: member.word_for(&self.own, member.is_neighbour(now)),
            echo: member.echo(),
            held: Some(member.record.order()),
            load: self.load,
            configuration,
            digests,
            watch_millis: watch.map_or(0, |watch| millis(watch.interval)),
            accusers: member.accusers_out(),
            wants_response,
            wants_records: false,
        };
        let to = to.unwrap_or(member.record.control);
        Some(Outgoing { to, datagram: Datagram::Heartbeat(Box::new(heartbeat)) })
    }

    /// A word to somebody of whom nothing is known.
    fn introduction_to(&mut self, now: Instant, to: SocketAddr, wants_records: bool) -> Outgoing {
        let heartbeat = Heartbeat {
            number: 0,
            word: crate::heartbeat::SenderWord::Whole(Box::new(self.own.clone())),
            echo: None,
            held: None,
            load: self.load,
            configuration: self.configuration_word(now),
            digests: self.digests.take_next(),
            watch_millis: 0,
            accusers: Vec::new(),
            wants_response: true,
            wants_records,
        };
        Outgoing { to, datagram: Datagram::Heartbeat(Box::new(heartbeat)) }
    }

    fn configuration_word(&self, now: Instant) -> ConfigurationWord {
        let age = self.last_store_contact.map(|at| now.saturating_duration_since(at).as_millis());
        ConfigurationWord {
            version: self.version,
            store_age_millis: age.map(|millis| u32::try_from(millis).unwrap_or(u32::MAX)),
        }
    }
}

/// Whether a node that says this takes requests for its back end.
fn takes_requests(record: &MemberRecord) -> bool {
    let is_ready = record.back_end.as_ref().is_some_and(|back_end| back_end.state == BackEndState::Ready);
    is_ready && record.phase == MemberPhase::Running
}

fn millis(duration: Duration) -> u16 {
    u16::try_from(duration.as_millis()).unwrap_or(u16::MAX)
}
