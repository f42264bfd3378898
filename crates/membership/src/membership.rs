//! The membership: all other nodes and this node's own record.

mod gossip;
mod joining;
mod receive;
mod tick;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use umberpond_model::{Evacuations, Incarnation, Locality, NodeName, ServiceName, StoreEra, Version};
use umberpond_rollouts::RolloutPlan;
use umberpond_scheduling::LoadReport;

use crate::digest::{BUCKETS, Digests, bucket_of, contribution_of, rank_of};
use crate::event::MembershipEvent;
use crate::heartbeat::{ConfigurationStatus, Datagram, Heartbeat};
use crate::member::{Member, MemberView, Reachability};
use crate::neighbours::Zones;
use crate::record::{BackEndRecord, BackEndState, MemberPhase, MemberRecord, RecordOrder};
use crate::settings::MembershipSettings;
use gossip::{PendingUpdates, UpdateRole};
use joining::Joining;

/// A datagram to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Destination address.
    pub to: SocketAddr,
    /// The datagram.
    pub datagram: Datagram,
}

/// Number of other nodes that should hold the departure of a back end before it is acknowledged.
const HOLDERS_WANTED: usize = 2;
/// Maximum number of records of earlier processes kept until they are taken.
const MAX_EARLIER_BACK_ENDS: usize = 64;
/// Maximum number of events kept until they are taken.
const MAX_EVENTS: usize = 64;

/// The membership as seen by one node.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    own: MemberRecord,
    own_rank: u64,
    load: LoadReport,
    version: Option<Version>,
    /// When the store last responded to this node.
    own_store_contact: Option<Instant>,
    /// Latest time at which any node is known to have received a response from the store.
    last_store_contact: Option<Instant>,
    members: BTreeMap<NodeName, Member>,
    /// Names of the members by process ID.
    nodes_by_process: BTreeMap<u64, NodeName>,
    /// Members that exchange heartbeats with this node at regular intervals, or did so recently.
    active: BTreeSet<NodeName>,
    /// Members that have been accused but not excluded yet.
    accused: BTreeSet<NodeName>,
    /// The members that are not excluded, by zone. Rebuilt when stale.
    zones: Zones,
    are_zones_stale: bool,
    /// Whether the neighbours formed a full mesh when they were last chosen.
    was_full_mesh: bool,
    /// Zones that are unreachable from this node.
    unreachable_zones: BTreeSet<Locality>,
    digests: Digests,
    own_contribution: u64,
    /// For each bucket, since when its digest has differed from a received one, and when its records were
    /// last requested.
    differing: [(Option<Instant>, Option<Instant>); BUCKETS as usize],
    pending: PendingUpdates,
    joining: Joining,
    /// Processes that have accused this node.
    own_accusers: BTreeSet<u64>,
    random: SmallRng,
    first_tick_at: Option<Instant>,
    last_tick_at: Option<Instant>,
    gossip_next_at: Option<Instant>,
    forget_next_at: Option<Instant>,
    events: Vec<MembershipEvent>,
    /// Back ends that earlier processes of this node published, as other nodes remember them.
    earlier_back_ends: Vec<BackEndRecord>,
    has_changed: bool,
    /// Whether a pending change affects the routing of new requests.
    is_urgent: bool,
}

impl Membership {
    /// A membership that contains only this node.
    #[must_use]
    pub fn new(settings: MembershipSettings, own: MemberRecord) -> Self {
        let mut membership = Self {
            settings,
            own_rank: rank_of(&own.node),
            random: SmallRng::seed_from_u64(own.process_id),
            own,
            load: LoadReport::default(),
            version: None,
            own_store_contact: None,
            last_store_contact: None,
            members: BTreeMap::new(),
            nodes_by_process: BTreeMap::new(),
            active: BTreeSet::new(),
            accused: BTreeSet::new(),
            zones: Zones::default(),
            are_zones_stale: false,
            was_full_mesh: false,
            unreachable_zones: BTreeSet::new(),
            digests: Digests::new(),
            own_contribution: 0,
            differing: [(None, None); BUCKETS as usize],
            pending: PendingUpdates::default(),
            joining: Joining::default(),
            own_accusers: BTreeSet::new(),
            first_tick_at: None,
            last_tick_at: None,
            gossip_next_at: None,
            forget_next_at: None,
            events: Vec::new(),
            earlier_back_ends: Vec::new(),
            has_changed: true,
            is_urgent: true,
        };
        membership.refresh_own();
        membership
    }

    /// This node's own record.
    #[must_use]
    pub const fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// The other nodes.
    pub fn members(&self) -> impl Iterator<Item = MemberView> + '_ {
        self.members.values().filter(|member| !member.is_retired()).map(Member::view)
    }

    /// The records of the reachable nodes.
    pub fn reachable(&self) -> impl Iterator<Item = &MemberRecord> {
        let reachable = self.members.values().filter(|member| member.reachability == Reachability::Reachable);
        reachable.map(|member| &member.record)
    }

    /// The node whose record has this version, and the service of its back end.
    #[must_use]
    pub fn back_end_of(&self, order: RecordOrder) -> Option<(&NodeName, &ServiceName)> {
        let record = &self.member_of(order)?.record;
        Some((&record.node, &record.back_end.as_ref()?.service))
    }

    /// The record with this version.
    #[must_use]
    pub fn record_of(&self, order: RecordOrder) -> Option<&MemberRecord> {
        self.member_of(order).map(|member| &member.record)
    }

    fn member_of(&self, order: RecordOrder) -> Option<&Member> {
        let member = self.members.get(self.nodes_by_process.get(&order.process_id)?)?;
        (member.record.order() == order).then_some(member)
    }

    /// Whether the node is known and reachable.
    fn is_reachable(&self, node: &NodeName) -> bool {
        self.members.get(node).is_some_and(|member| member.reachability == Reachability::Reachable)
    }

    /// Number of other nodes that are reachable.
    #[must_use]
    pub fn reachable_count(&self) -> usize {
        self.reachable().count()
    }

    /// Control addresses of the first `count` running, reachable nodes, in an order that is the same on all
    /// nodes; `None` stands for this node.
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

    /// Whether a record or the reachability of a node has changed since the last call.
    pub const fn take_changed(&mut self) -> bool {
        self.is_urgent = false;
        std::mem::replace(&mut self.has_changed, false)
    }

    /// Like [`take_changed`](Self::take_changed), but only if a change affects the routing of new requests,
    /// such as a node that became unreachable or stopped accepting requests. Other changes can wait for the
    /// next tick.
    pub const fn take_urgent_change(&mut self) -> bool {
        self.is_urgent && self.take_changed()
    }

    /// Takes the events recorded since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Takes the back ends that earlier processes of this node published, as other nodes have told since the last
    /// call.
    pub fn take_earlier_back_ends(&mut self) -> Vec<BackEndRecord> {
        std::mem::take(&mut self.earlier_back_ends)
    }

    /// Whether `record` is that of another node and names a back end whose departure an earlier process of that
    /// node has published.
    #[must_use]
    pub fn has_departed_before(&self, record: &MemberRecord) -> bool {
        self.members.get(&record.node).is_some_and(Member::has_departed_before)
    }

    /// Whether enough other nodes hold this node's record in this version or a later one: two, or all that are
    /// reachable.
    #[must_use]
    pub fn is_held_elsewhere(&self, order: RecordOrder) -> bool {
        let reachable = self.members.values().filter(|member| {
            member.reachability == Reachability::Reachable && member.record.phase == MemberPhase::Running
        });
        let wanted = reachable.clone().take(HOLDERS_WANTED).count();
        reachable.filter(|member| member.holds(order)).take(wanted).count() == wanted
    }

    /// Sets the load that heartbeats report.
    pub const fn set_load(&mut self, load: LoadReport) {
        self.load = load;
    }

    /// Sets the version of the active configuration and announces it immediately to some of the nodes that
    /// are not known to hold it. Each node that activates the version does the same.
    pub fn set_version(&mut self, now: Instant, version: Version) -> Vec<Outgoing> {
        if self.version >= Some(version) {
            return Vec::new();
        }
        self.version = Some(version);
        let targets = self.announcement_targets(now, version);
        let heartbeats = targets.into_iter();
        heartbeats.filter_map(|node| self.heartbeat_to(now, &node, None, false)).collect()
    }

    /// Records a response from the store to this node.
    pub fn on_store_response(&mut self, now: Instant) {
        self.own_store_contact = Some(now);
        self.last_store_contact = Some(now);
    }

    /// When the store last responded to this node.
    #[must_use]
    pub const fn own_store_contact(&self) -> Option<Instant> {
        self.own_store_contact
    }

    /// Latest time at which any node is known to have received a response from the store.
    #[must_use]
    pub const fn last_store_contact(&self) -> Option<Instant> {
        self.last_store_contact
    }

    /// Sets the back end in this node's record and publishes the change immediately.
    pub fn set_back_end(&mut self, now: Instant, back_end: Option<BackEndRecord>) -> Vec<Outgoing> {
        if self.own.back_end == back_end {
            return Vec::new();
        }
        let is_departure = back_end.as_ref().is_some_and(|back_end| back_end.state == BackEndState::Draining);
        self.own.back_end = back_end;
        self.publish_change(now, is_departure)
    }

    /// Sets the plans that this node publishes as a coordinator of rollouts, and publishes them immediately.
    pub fn set_rollouts(&mut self, now: Instant, plans: Vec<RolloutPlan>) -> Vec<Outgoing> {
        if self.own.rollouts == plans {
            return Vec::new();
        }
        self.own.rollouts = plans;
        self.change_own(now)
    }

    /// Sets the evacuations that this node has read from the store, and publishes them immediately.
    pub fn set_evacuations(&mut self, now: Instant, evacuations: Evacuations) -> Vec<Outgoing> {
        if self.own.evacuations == evacuations {
            return Vec::new();
        }
        self.own.evacuations = evacuations;
        self.change_own(now)
    }

    /// Sets the era of the store in which this node has read a configuration, and publishes it immediately.
    pub fn set_store_era(&mut self, now: Instant, era: StoreEra) -> Vec<Outgoing> {
        if era <= self.own.store_era {
            return Vec::new();
        }
        self.own.store_era = era;
        self.change_own(now)
    }

    /// Latest era of the store that this node or a reachable one has seen.
    #[must_use]
    pub fn latest_store_era(&self) -> StoreEra {
        let eras = self.reachable().map(|record| record.store_era);
        eras.fold(self.own.store_era, StoreEra::max)
    }

    /// Control addresses of the other nodes that coordinate the rollout of `service`.
    #[must_use]
    pub fn coordinators_of(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let is_coordinator = |record: &&MemberRecord| {
            record.rollouts.iter().any(|plan| plan.service == *service && plan.stage.is_running())
        };
        self.reachable().filter(is_coordinator).map(|record| record.control).collect()
    }

    /// Sets the phase of this process and publishes it immediately.
    pub fn set_phase(&mut self, now: Instant, phase: MemberPhase) -> Vec<Outgoing> {
        if self.own.phase == phase {
            return Vec::new();
        }
        self.own.phase = phase;
        self.change_own(now)
    }

    fn change_own(&mut self, now: Instant) -> Vec<Outgoing> {
        self.publish_change(now, false)
    }

    /// Publishes a change of the own record, and requests immediate responses to it if `wants_responses`.
    fn publish_change(&mut self, now: Instant, wants_responses: bool) -> Vec<Outgoing> {
        self.own.sequence += 1;
        self.refresh_own();
        self.publish_own(now, wants_responses)
    }

    /// Sends the own record to the neighbours and gossips it.
    fn publish_own(&mut self, now: Instant, wants_responses: bool) -> Vec<Outgoing> {
        let neighbours: Vec<NodeName> = self.active.iter().cloned().collect();
        let heartbeats = neighbours.into_iter();
        let mut outgoing: Vec<Outgoing> =
            heartbeats.filter_map(|node| self.heartbeat_to(now, &node, None, wants_responses)).collect();
        self.pending.add_own();
        outgoing.extend(self.flush_updates(UpdateRole::Origin));
        outgoing
    }

    /// Takes a higher start count than an earlier process of this node.
    fn raise_incarnation(&mut self, incarnation: Incarnation) {
        self.own.incarnation = Incarnation(incarnation.0 + 1);
        self.own.sequence += 1;
        self.refresh_own();
    }

    /// Updates the state derived from the own record.
    fn refresh_own(&mut self) {
        let contribution =
            if self.own.phase == MemberPhase::Left { 0 } else { contribution_of(&self.own.order()) };
        self.digests.replace(bucket_of(self.own_rank), self.own_contribution, contribution);
        self.own_contribution = contribution;
        self.own_accusers.clear();
        self.mark_changed(true);
    }

    /// Updates the state derived from a member: its reachability and its contribution to the digests.
    fn refresh_member(&mut self, now: Instant, node: &NodeName) {
        let is_full_mesh = self.is_full_mesh();
        let Some(member) = self.members.get_mut(node) else { return };
        let is_zone_unreachable = self.unreachable_zones.contains(&member.record.locality);
        let was_usable = member.reachability == Reachability::Reachable;
        let has_changed = member.update_reachability(now, is_zone_unreachable);
        let is_omitted =
            member.is_excluded() || (is_full_mesh && member.reachability == Reachability::Silent);
        let contribution = member.expected_contribution(is_omitted);
        self.digests.replace(bucket_of(member.rank), member.contribution, contribution);
        member.contribution = contribution;
        if has_changed {
            // Which nodes of another zone are probed depends on which ones are silent.
            self.are_zones_stale |= member.watch().is_some();
            self.mark_changed(was_usable);
        }
    }

    /// Records what another node remembers of the back end of an earlier process of this node.
    fn record_earlier_back_end(&mut self, back_end: Option<&BackEndRecord>) {
        if self.earlier_back_ends.len() < MAX_EARLIER_BACK_ENDS {
            self.earlier_back_ends.extend(back_end.cloned());
        }
    }

    fn mark_changed(&mut self, is_urgent: bool) {
        self.has_changed = true;
        self.is_urgent |= is_urgent;
    }

    fn record_event(&mut self, event: MembershipEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }

    /// Whether every node is a neighbour of every other node.
    fn is_full_mesh(&self) -> bool {
        self.zones.count() + self.joining.recent_candidate_count() < self.settings.full_mesh_up_to
    }

    /// Creates a heartbeat to a member. `to` overrides the destination with the source address of the
    /// heartbeat that it responds to.
    fn heartbeat_to(
        &mut self,
        now: Instant,
        node: &NodeName,
        to: Option<SocketAddr>,
        wants_response: bool,
    ) -> Option<Outgoing> {
        let configuration = self.configuration_status(now);
        let digests = self.digests.take_next();
        let member = self.members.get_mut(node)?;
        if member.is_retired() {
            return None;
        }
        let watch = member.watch();
        let heartbeat = Heartbeat {
            number: member.next_number(now),
            sender: member.record_for(&self.own, member.is_neighbour(now)),
            echo: member.echo(),
            held: Some(member.record.order()),
            load: self.load,
            configuration,
            digests,
            watch_millis: watch.map_or(0, |watch| millis(watch.interval)),
            accusers: member.excluding_accusers(),
            earlier_back_end: member.unknown_earlier_back_end(),
            wants_response,
            wants_records: false,
        };
        let to = to.unwrap_or(member.record.control);
        Some(Outgoing { to, datagram: Datagram::Heartbeat(Box::new(heartbeat)) })
    }

    /// Creates a heartbeat to a node whose record is unknown.
    fn introductory_heartbeat(&mut self, now: Instant, to: SocketAddr, wants_records: bool) -> Outgoing {
        let heartbeat = Heartbeat {
            number: 0,
            sender: crate::heartbeat::SenderRecord::Full(Box::new(self.own.clone())),
            echo: None,
            held: None,
            load: self.load,
            configuration: self.configuration_status(now),
            digests: self.digests.take_next(),
            watch_millis: 0,
            accusers: Vec::new(),
            earlier_back_end: None,
            wants_response: true,
            wants_records,
        };
        Outgoing { to, datagram: Datagram::Heartbeat(Box::new(heartbeat)) }
    }

    fn configuration_status(&self, now: Instant) -> ConfigurationStatus {
        let age = self.last_store_contact.map(|at| now.saturating_duration_since(at).as_millis());
        ConfigurationStatus {
            version: self.version,
            store_age_millis: age.map(|millis| u32::try_from(millis).unwrap_or(u32::MAX)),
        }
    }
}

/// Whether the node accepts requests for its back end.
fn takes_requests(record: &MemberRecord) -> bool {
    let is_ready = record.back_end.as_ref().is_some_and(|back_end| back_end.state == BackEndState::Ready);
    is_ready && record.phase == MemberPhase::Running
}

fn millis(duration: Duration) -> u16 {
    u16::try_from(duration.as_millis()).unwrap_or(u16::MAX)
}
