//! All other nodes, and this node's word of itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use umberpond_model::{Incarnation, NodeName, ServiceName, Version};
use umberpond_scheduling::LoadReport;

use crate::heartbeat::{ConfigurationWord, Heartbeat, SenderWord};
use crate::member::{Member, MemberView, Reachability};
use crate::record::{BackEndRecord, Introduction, MemberPhase, MemberRecord, RecordOrder};
use crate::settings::MembershipSettings;

/// A heartbeat to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Where to.
    pub to: SocketAddr,
    /// The heartbeat.
    pub heartbeat: Heartbeat,
}

/// A node that the store names and that has not been heard yet.
#[derive(Debug)]
struct Stranger {
    control: SocketAddr,
    known_since: Instant,
    call_next_at: Instant,
}

/// Time between two calls to a node that has not been heard yet.
const FIRST_CALLS: Duration = Duration::from_millis(200);
/// Time after which the calls to it become rare.
const FIRST_CALLS_FOR: Duration = Duration::from_secs(5);
/// Time between two calls from then on.
const LATER_CALLS: Duration = Duration::from_secs(2);
/// Time after which it is given up.
const GIVE_UP_AFTER: Duration = Duration::from_secs(120);
/// Time for which a node that has left is remembered, so that a late datagram does not bring it back.
const REMEMBER_LEFT: Duration = Duration::from_secs(30);

/// Membership as one node sees it.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    own: MemberRecord,
    load: LoadReport,
    version: Option<Version>,
    store_heard_at: Option<Instant>,
    members: BTreeMap<NodeName, Member>,
    strangers: BTreeMap<NodeName, Stranger>,
    /// Where the next heartbeat's records of others begin.
    told_up_to: usize,
    /// Heartbeats sent to anybody.
    heartbeats: u64,
    has_changed: bool,
}

impl Membership {
    /// The membership of a process that knows only itself.
    #[must_use]
    pub const fn new(settings: MembershipSettings, own: MemberRecord) -> Self {
        Self {
            settings,
            own,
            load: LoadReport {
                number: 0,
                running: 0,
                waiting: 0,
                slots: 0,
                service_micros: 0,
                failed_permille: 0,
            },
            version: None,
            store_heard_at: None,
            members: BTreeMap::new(),
            strangers: BTreeMap::new(),
            told_up_to: 0,
            heartbeats: 0,
            has_changed: true,
        }
    }

    /// This node's word of itself.
    #[must_use]
    pub const fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// The other nodes.
    pub fn members(&self) -> impl Iterator<Item = MemberView> + '_ {
        self.members.values().map(Member::view)
    }

    /// The node whose record has this order, and the service of its back end.
    #[must_use]
    pub fn back_end_of(&self, order: RecordOrder) -> Option<(&NodeName, &ServiceName)> {
        let member = self.members.values().find(|member| member.record.order() == order)?;
        Some((&member.record.node, &member.record.back_end.as_ref()?.service))
    }

    /// Address at which the node whose record has this order takes control connections, by its own word.
    #[must_use]
    pub fn control_of(&self, order: RecordOrder) -> Option<SocketAddr> {
        let member = self.members.values().find(|member| member.record.order() == order)?;
        Some(member.record.control)
    }

    /// Count of the other nodes that can be reached.
    #[must_use]
    pub fn reachable_count(&self) -> usize {
        self.members.values().filter(|member| member.reachability == Reachability::Reachable).count()
    }

    /// Whether a record or the reachability of a node has changed since this was asked last.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
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
        let behind = self.members.iter().filter(|(_, member)| {
            member.record.phase != MemberPhase::Left && member.configuration.version < Some(version)
        });
        let behind = behind.map(|(node, member)| (node.clone(), member.record.control));
        let mut random = SmallRng::seed_from_u64(self.own.life ^ version.0);
        let told = behind.sample(&mut random, self.settings.version_fanout);
        self.tell(now, told)
    }

    /// Takes in that the store itself has answered this node.
    pub const fn on_store_heard(&mut self, now: Instant) {
        self.store_heard_at = Some(now);
    }

    /// When the store itself answered this node last.
    #[must_use]
    pub const fn store_heard_at(&self) -> Option<Instant> {
        self.store_heard_at
    }

    /// Sets what is said of the back end, and tells everybody at once.
    pub fn set_back_end(&mut self, now: Instant, back_end: Option<BackEndRecord>) -> Vec<Outgoing> {
        if self.own.back_end == back_end {
            return Vec::new();
        }
        self.own.back_end = back_end;
        self.change_own(now)
    }

    /// Sets the phase of this process, and tells everybody at once.
    pub fn set_phase(&mut self, now: Instant, phase: MemberPhase) -> Vec<Outgoing> {
        if self.own.phase == phase {
            return Vec::new();
        }
        self.own.phase = phase;
        self.change_own(now)
    }

    /// Takes in nodes that the store names.
    pub fn on_introductions(&mut self, now: Instant, introductions: Vec<Introduction>) {
        for Introduction { node, control } in introductions {
            if node == self.own.node || self.members.contains_key(&node) {
                continue;
            }
            let stranger = Stranger { control, known_since: now, call_next_at: now };
            self.strangers.insert(node, stranger);
        }
    }

    /// Takes in a heartbeat that came from the address `from`.
    pub fn on_heartbeat(&mut self, now: Instant, from: SocketAddr, heartbeat: &Heartbeat) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let node = match &heartbeat.word {
            SenderWord::Whole(record) if record.node == self.own.node => {
                return self.on_own_name(now, record);
            }
            SenderWord::Whole(record) => {
                outgoing.extend(self.refute_earlier_life(now, heartbeat));
                self.on_record(now, record);
                record.node.clone()
            }
            SenderWord::Held(order) => match self.node_of(order) {
                Some(node) => node,
                // The whole record is asked for by saying that none is held.
                None => {
                    outgoing.extend(self.refute_earlier_life(now, heartbeat));
                    outgoing.push(self.introduction_to(now, from));
                    return outgoing;
                }
            },
        };
        for other in &heartbeat.others {
            self.on_record(now, other);
        }
        let silence = self.silence();
        let own_life = self.own.life;
        let Some(member) = self.members.get_mut(&node) else { return outgoing };
        if member.record.life != heartbeat.word.order().life {
            // An earlier process, or a new one that does not know yet that there was an earlier one, nor anybody else.
            member.forget_held_there();
            outgoing.extend(self.heartbeat_to(now, &node, from, false));
            return outgoing;
        }
        member.on_heartbeat(now, heartbeat, own_life);
        self.has_changed |= member.update_reachability(now, silence);
        // Two nodes that meet know in two round trips that they reach each other.
        let is_new = member.reachability != Reachability::Reachable && member.may_send_again(now);
        if heartbeat.wants_answer || is_new {
            outgoing.extend(self.heartbeat_to(now, &node, from, is_new));
        }
        outgoing
    }

    /// The node whose record of this order is held.
    fn node_of(&self, order: &RecordOrder) -> Option<NodeName> {
        let mut members = self.members.values();
        members.find(|member| member.record.order() == *order).map(|member| member.record.node.clone())
    }

    /// A word to somebody of whom nothing is known.
    fn introduction_to(&self, now: Instant, to: SocketAddr) -> Outgoing {
        let heartbeat = Heartbeat {
            number: 0,
            word: SenderWord::Whole(Box::new(self.own.clone())),
            echo: None,
            held: None,
            load: self.load,
            configuration: self.configuration_word(now),
            others: Vec::new(),
            wants_answer: true,
        };
        Outgoing { to, heartbeat }
    }

    /// Sends what is due. Call it about every half of the shortest interval.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Outgoing> {
        let silence = self.silence();
        let interval = self.settings.interval_for(self.members.len());
        let mut due = Vec::new();
        for (node, member) in &mut self.members {
            self.has_changed |= member.update_reachability(now, silence);
            if member.send_next_at > now {
                continue;
            }
            let is_silent = member.reachability == Reachability::Silent;
            let wants_answer = member.reachability != Reachability::Reachable;
            member.send_next_at = now + if is_silent { self.settings.call_back_interval } else { interval };
            due.push((node.clone(), member.record.control, wants_answer));
        }
        let mut outgoing: Vec<Outgoing> = due
            .into_iter()
            .filter_map(|(node, control, wants_answer)| self.heartbeat_to(now, &node, control, wants_answer))
            .collect();
        outgoing.extend(self.call_strangers(now));
        self.forget_old(now);
        outgoing
    }

    /// Time without a heartbeat after which a node counts as out of reach.
    fn silence(&self) -> Duration {
        self.settings.interval_for(self.members.len()) * self.settings.missed_intervals
    }

    fn change_own(&mut self, now: Instant) -> Vec<Outgoing> {
        self.own.sequence += 1;
        self.has_changed = true;
        self.tell_all(now)
    }

    fn tell_all(&mut self, now: Instant) -> Vec<Outgoing> {
        let all: Vec<(NodeName, SocketAddr)> = self
            .members
            .iter()
            .filter(|(_, member)| member.record.phase != MemberPhase::Left)
            .map(|(node, member)| (node.clone(), member.record.control))
            .collect();
        self.tell(now, all)
    }

    fn tell(&mut self, now: Instant, nodes: Vec<(NodeName, SocketAddr)>) -> Vec<Outgoing> {
        let heartbeats = nodes.into_iter();
        heartbeats.filter_map(|(node, control)| self.heartbeat_to(now, &node, control, false)).collect()
    }

    /// A process that bears this node's name: an earlier one whose datagram was late, or a later one, which this one
    /// does not dispute: the machine has been given to it.
    fn on_own_name(&mut self, now: Instant, record: &MemberRecord) -> Vec<Outgoing> {
        if record.life == self.own.life || record.incarnation < self.own.incarnation {
            return Vec::new();
        }
        self.rise_above(record.incarnation);
        self.tell_all(now)
    }

    /// If the sender holds a record of an earlier process of this node, this process takes a higher start count.
    fn refute_earlier_life(&mut self, now: Instant, heartbeat: &Heartbeat) -> Vec<Outgoing> {
        let Some(held) = heartbeat.held else { return Vec::new() };
        if held.life == self.own.life || held.incarnation < self.own.incarnation {
            return Vec::new();
        }
        self.rise_above(held.incarnation);
        self.tell_all(now)
    }

    fn rise_above(&mut self, incarnation: Incarnation) {
        self.own.incarnation = Incarnation(incarnation.0 + 1);
        self.own.sequence += 1;
        self.has_changed = true;
    }

    fn on_record(&mut self, now: Instant, record: &MemberRecord) {
        if record.node == self.own.node {
            if record.life != self.own.life && record.incarnation >= self.own.incarnation {
                self.rise_above(record.incarnation);
            }
            return;
        }
        if let Some(member) = self.members.get_mut(&record.node) {
            if record.order() > member.record.order() {
                member.replace_record(now, record.clone());
                self.has_changed = true;
            }
            return;
        }
        self.strangers.remove(&record.node);
        self.retire_address(record);
        self.members.insert(record.node.clone(), Member::new(now, record.clone()));
        self.has_changed = true;
    }

    /// An address that another node has now is no longer that of the one that had it before.
    fn retire_address(&mut self, newcomer: &MemberRecord) {
        self.members.retain(|_, member| member.record.control != newcomer.control);
    }

    fn heartbeat_to(
        &mut self,
        now: Instant,
        node: &NodeName,
        to: SocketAddr,
        wants_answer: bool,
    ) -> Option<Outgoing> {
        let others = if self.is_turn_of_others() { self.some_others(node) } else { Vec::new() };
        let configuration = self.configuration_word(now);
        let member = self.members.get_mut(node)?;
        let heartbeat = Heartbeat {
            number: member.count_sent(now),
            word: member.word_for(&self.own),
            echo: member.echo(),
            held: Some(member.record.order()),
            load: self.load,
            configuration,
            others,
            wants_answer,
        };
        Some(Outgoing { to, heartbeat })
    }

    fn configuration_word(&self, now: Instant) -> ConfigurationWord {
        let age = self.store_heard_at.map(|at| now.saturating_duration_since(at).as_millis());
        ConfigurationWord {
            version: self.version,
            store_age_millis: age.map(|millis| u32::try_from(millis).unwrap_or(u32::MAX)),
        }
    }

    /// Whether this heartbeat carries records of others: one of a few does, which is enough to heal a rare gap.
    const fn is_turn_of_others(&mut self) -> bool {
        self.heartbeats += 1;
        self.heartbeats.is_multiple_of(self.settings.others_every)
    }

    /// Records of a few other nodes, in turn.
    fn some_others(&mut self, receiver: &NodeName) -> Vec<MemberRecord> {
        let count = self.members.len();
        if count <= 1 {
            return Vec::new();
        }
        let start = self.told_up_to % count;
        self.told_up_to = start + self.settings.others_told;
        let in_turn = self.members.values().cycle().skip(start).take(self.settings.others_told.min(count));
        let others = in_turn.filter(|member| member.record.node != *receiver);
        others
            .filter(|member| member.record.phase != MemberPhase::Left)
            .map(|member| member.record.clone())
            .collect()
    }

    fn call_strangers(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut called = Vec::new();
        for stranger in self.strangers.values_mut().filter(|stranger| stranger.call_next_at <= now) {
            let age = now.saturating_duration_since(stranger.known_since);
            stranger.call_next_at = now + if age < FIRST_CALLS_FOR { FIRST_CALLS } else { LATER_CALLS };
            called.push(stranger.control);
        }
        called.into_iter().map(|control| self.introduction_to(now, control)).collect()
    }

    fn forget_old(&mut self, now: Instant) {
        let forget_after = self.settings.forget_after;
        self.strangers
            .retain(|_, stranger| now.saturating_duration_since(stranger.known_since) < GIVE_UP_AFTER);
        self.members.retain(|_, member| {
            let limit = if member.record.phase == MemberPhase::Left { REMEMBER_LEFT } else { forget_after };
            now.saturating_duration_since(member.known_since) < limit
        });
    }
}
