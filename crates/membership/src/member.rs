//! One other node as this node sees it.

use std::time::{Duration, Instant};

use umberpond_scheduling::LoadReport;

use crate::digest::{contribution_of, rank_of};
use crate::heartbeat::{Accusation, ConfigurationWord, Echo, Heartbeat, SenderWord};
use crate::record::{MemberPhase, MemberRecord, RecordOrder};

/// Whether a node can be reached from here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// Heartbeats pass both ways, or, of a node that this one does not watch, nobody has found it silent.
    Reachable,
    /// Its heartbeats arrive; ours seem not to.
    OneWay,
    /// Nothing was heard lately, or its neighbours have found it silent.
    Silent,
}

/// Another node as this node sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// Its own word.
    pub record: MemberRecord,
    /// Whether it can be reached.
    pub reachability: Reachability,
    /// Load of its back end as told last.
    pub load: LoadReport,
    /// Its configuration as told last.
    pub configuration: ConfigurationWord,
    /// When that was told; absent if it never told this node itself.
    pub last_seen_at: Option<Instant>,
}

/// How this node watches a neighbour.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Watch {
    /// Time between two heartbeats.
    pub(crate) interval: Duration,
    /// Time without a heartbeat after which the neighbour is silent.
    pub(crate) silence: Duration,
    /// Whether its silence is told to others.
    pub(crate) tells_others: bool,
}

/// A node that watches this one.
#[derive(Debug, Clone, Copy)]
struct Watcher {
    /// Time between two heartbeats that it expects.
    interval: Duration,
    /// When it counts as having stopped to watch, unless it is heard again.
    until: Instant,
}

#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) record: MemberRecord,
    /// Place in the orders that are the same on every node.
    pub(crate) rank: u64,
    pub(crate) load: LoadReport,
    pub(crate) configuration: ConfigurationWord,
    pub(crate) reachability: Reachability,
    /// When the record was taken in first, the node was heard last, or it went out.
    pub(crate) known_since: Instant,
    pub(crate) last_seen_at: Option<Instant>,
    heard: Option<Echo>,
    /// The latest record of this node that the other one holds.
    held_there: Option<RecordOrder>,
    /// When the last heartbeat of ours was sent that the node has echoed.
    echoed_sent_at: Option<Instant>,
    sent: u64,
    /// Recent heartbeats of ours by number.
    sent_at: Vec<(u64, Instant)>,
    pub(crate) send_next_at: Instant,
    watch: Option<(Watch, Instant)>,
    watcher: Option<Watcher>,
    /// Who has found it silent, and when that was heard.
    accusers: Vec<(u64, Instant)>,
    /// When this node has told others last that it is silent.
    accused_at: Option<Instant>,
    /// Since when it is left out by its neighbours' findings.
    accused_out_at: Option<Instant>,
    /// Whether another node has its address now.
    is_retired: bool,
    /// What the record adds to its bucket's digest at present.
    pub(crate) contribution: u64,
}

/// Shortest time between two heartbeats of which the second is out of turn.
const OUT_OF_TURN_PAUSE: Duration = Duration::from_millis(20);
/// Heartbeats of which the time of sending is remembered.
const REMEMBERED_SENDS: usize = 64;
/// Expected heartbeats of ours that a watcher may go without hearing of before it counts as gone.
const WATCHER_PATIENCE: u32 = 5;
/// Time between two tellings that a node is silent.
const ACCUSE_AGAIN: Duration = Duration::from_secs(2);
/// Share of the time of silence after which a neighbour is asked to answer at once: one lost datagram is made up for so
/// before it matters.
const PROOF_SHARE: f64 = 0.6;
/// Most accusers remembered of one node.
const MAX_ACCUSERS: usize = 8;

impl MemberView {
    /// Time since any node heard from the store itself, by this node's word.
    #[must_use]
    pub fn store_age(&self, now: Instant) -> Option<Duration> {
        let told = Duration::from_millis(u64::from(self.configuration.store_age_millis?));
        Some(told + now.saturating_duration_since(self.last_seen_at?))
    }
}

impl Member {
    pub(crate) fn new(now: Instant, record: MemberRecord) -> Self {
        Self {
            rank: rank_of(&record.node),
            record,
            load: LoadReport::default(),
            configuration: ConfigurationWord::default(),
            reachability: Reachability::Silent,
            known_since: now,
            last_seen_at: None,
            heard: None,
            held_there: None,
            echoed_sent_at: None,
            sent: 0,
            sent_at: Vec::new(),
            send_next_at: now,
            watch: None,
            watcher: None,
            accusers: Vec::new(),
            accused_at: None,
            accused_out_at: None,
            is_retired: false,
            contribution: 0,
        }
    }

    /// Takes in a newer record. What was heard of an earlier process is dropped, and so is the finding that it was silent.
    pub(crate) fn replace_record(&mut self, now: Instant, record: MemberRecord) {
        if record.life != self.record.life {
            *self = Self { sent: self.sent, contribution: self.contribution, ..Self::new(now, record) };
            return;
        }
        self.record = record;
        self.accusers.clear();
        self.accused_out_at = None;
        self.is_retired = false;
    }

    /// Takes in that another node has its address now.
    pub(crate) const fn retire(&mut self, now: Instant) {
        self.is_retired = true;
        self.known_since = now;
    }

    pub(crate) const fn is_retired(&self) -> bool {
        self.is_retired
    }

    /// Whether it has stopped, was given up by its neighbours, or its address belongs to another node.
    pub(crate) fn is_out(&self) -> bool {
        self.accused_out_at.is_some() || self.is_gone()
    }

    /// Whether it does not come back under this record.
    pub(crate) fn is_gone(&self) -> bool {
        self.is_retired || self.record.phase == MemberPhase::Left
    }

    /// Takes in a heartbeat of the process that the record tells of. `own_life` is that of this process.
    pub(crate) fn on_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat, own_life: u64) {
        let is_late = self.heard.is_some_and(|heard| heard.number >= heartbeat.number);
        if is_late {
            return;
        }
        self.heard = Some(Echo { life: heartbeat.word.order().life, number: heartbeat.number });
        self.last_seen_at = Some(now);
        self.known_since = now;
        self.load = heartbeat.load;
        self.configuration = heartbeat.configuration;
        self.held_there = heartbeat.held;
        self.watcher = match heartbeat.watch_millis {
            0 => self.watcher.filter(|watcher| watcher.until > now),
            millis => {
                let interval = Duration::from_millis(u64::from(millis));
                Some(Watcher { interval, until: now + interval * WATCHER_PATIENCE })
            }
        };
        if let Some(echo) = heartbeat.echo.filter(|echo| echo.life == own_life) {
            self.on_echo(echo.number);
        }
    }

    fn on_echo(&mut self, number: u64) {
        let sent = self.sent_at.iter().find(|(sent, _)| *sent == number).map(|(_, at)| *at);
        self.echoed_sent_at = self.echoed_sent_at.max(sent);
    }

    /// Number of the next heartbeat to the node.
    pub(crate) fn count_sent(&mut self, now: Instant) -> u64 {
        self.sent += 1;
        if self.sent_at.len() >= REMEMBERED_SENDS {
            self.sent_at.remove(0);
        }
        self.sent_at.push((self.sent, now));
        self.sent
    }

    /// This node's word of itself, as short as the other node can use it. A node that is no neighbour has the record from
    /// others, and asks for it if it has not.
    pub(crate) fn word_for(&self, own: &MemberRecord, is_neighbour: bool) -> SenderWord {
        let has_asked = self.heard.is_some() && self.held_there.is_none();
        if self.held_there == Some(own.order()) || (!is_neighbour && !has_asked) {
            return SenderWord::Held(own.order());
        }
        SenderWord::Whole(Box::new(own.clone()))
    }

    /// Takes in that the other node's process has changed, so that it may hold nothing of this one.
    pub(crate) const fn forget_held_there(&mut self) {
        self.held_there = None;
    }

    /// Whether enough time has passed since the last heartbeat to send one out of turn.
    pub(crate) fn may_send_again(&self, now: Instant) -> bool {
        self.sent_at.last().is_none_or(|(_, at)| now.saturating_duration_since(*at) >= OUT_OF_TURN_PAUSE)
    }

    /// What of the node was heard last, for the heartbeat to it.
    pub(crate) const fn echo(&self) -> Option<Echo> {
        self.heard
    }

    /// Watches the node from now on, or goes on watching it.
    pub(crate) fn set_watch(&mut self, now: Instant, watch: Option<Watch>) {
        self.watch = watch.map(|watch| match self.watch {
            Some((before, since)) if before == watch => (watch, since),
            // What is known so far counts as heard now: the new time of silence begins.
            _ => {
                self.send_next_at = now;
                (watch, now)
            }
        });
    }

    pub(crate) fn watch(&self) -> Option<Watch> {
        self.watch.map(|(watch, _since)| watch)
    }

    /// Whether heartbeats pass between the two at regular times.
    pub(crate) fn is_neighbour(&self, now: Instant) -> bool {
        self.watch.is_some() || self.watcher.is_some_and(|watcher| watcher.until > now)
    }

    /// Time until the next heartbeat to it; absent if none is due unless something changes.
    pub(crate) fn interval(&self, now: Instant, call_back: Duration) -> Option<Duration> {
        if self.is_gone() {
            return None;
        }
        let watcher = self.watcher.filter(|watcher| watcher.until > now).map(|watcher| watcher.interval);
        let watched = self.watch().map(|watch| watch.interval);
        let interval = watched.into_iter().chain(watcher).min();
        let is_called_back = self.accused_at.is_some() || self.watch.is_some();
        if self.reachability == Reachability::Silent && is_called_back {
            return Some(interval.map_or(call_back, |interval| interval.max(call_back)));
        }
        interval
    }

    /// Goes on from now as if the node had just been heard: this process itself did not run for a while.
    pub(crate) fn excuse(&mut self, now: Instant) {
        if self.reachability == Reachability::Reachable {
            self.last_seen_at = self.last_seen_at.map(|_| now);
            self.echoed_sent_at = self.echoed_sent_at.map(|_| now);
        }
        self.watch = self.watch.map(|(watch, _since)| (watch, now));
    }

    /// Takes in that this process's machine was suspended: what was heard is older by that, and a finding needs new heartbeats.
    pub(crate) fn on_suspended(&mut self, now: Instant, suspended: Duration) {
        let aged = |at: Option<Instant>| at.map(|at| at.checked_sub(suspended).unwrap_or(at));
        self.last_seen_at = aged(self.last_seen_at);
        self.echoed_sent_at = aged(self.echoed_sent_at);
        self.watch = self.watch.map(|(watch, _since)| (watch, now));
        self.send_next_at = now;
    }

    /// What this node itself has found, if it watches the node for long enough.
    pub(crate) fn own_finding(&self, now: Instant) -> Option<Reachability> {
        let (watch, since) = self.watch?;
        let is_recent =
            |at: Option<Instant>| at.is_some_and(|at| now.saturating_duration_since(at) <= watch.silence);
        let is_new = now.saturating_duration_since(since) <= watch.silence;
        match (is_recent(self.last_seen_at), is_recent(self.echoed_sent_at)) {
            (true, true) => Some(Reachability::Reachable),
            _ if is_new => None,
            (true, false) => Some(Reachability::OneWay),
            (false, _) => Some(Reachability::Silent),
        }
    }

    /// Whether the node should answer at once: what this one has found of it rests on heartbeats that are getting old.
    pub(crate) fn needs_answer(&self, now: Instant) -> bool {
        let Some((watch, _since)) = self.watch else { return false };
        let limit = watch.silence.mul_f64(PROOF_SHARE);
        let is_recent = |at: Option<Instant>| at.is_some_and(|at| now.saturating_duration_since(at) <= limit);
        !is_recent(self.last_seen_at) || !is_recent(self.echoed_sent_at)
    }

    /// Whether its neighbours have left it out and nothing was heard of it since.
    fn is_unheard_since_left_out(&self) -> bool {
        self.accused_out_at.is_some_and(|out_at| self.last_seen_at.is_none_or(|at| at <= out_at))
    }

    /// Finds out anew whether the node can be reached; tells whether that changed.
    /// `is_zone_cut` tells that nothing passes between this node and the member's zone.
    pub(crate) fn update_reachability(&mut self, now: Instant, is_zone_cut: bool) -> bool {
        let own_finding = self.own_finding(now).filter(|_| !self.is_unheard_since_left_out());
        let by_others = if self.accused_out_at.is_some() || is_zone_cut {
            Reachability::Silent
        } else {
            Reachability::Reachable
        };
        let found = if self.is_gone() { Reachability::Silent } else { own_finding.unwrap_or(by_others) };
        let has_changed = found != self.reachability;
        self.reachability = found;
        has_changed
    }

    /// Whether others should be told now that the node is silent.
    pub(crate) fn should_accuse(&self, now: Instant) -> bool {
        let tells = self.watch().is_some_and(|watch| watch.tells_others);
        let is_silent = self.own_finding(now) == Some(Reachability::Silent);
        let is_due = self.accused_at.is_none_or(|at| now.saturating_duration_since(at) >= ACCUSE_AGAIN);
        tells && is_silent && is_due && !self.is_out()
    }

    /// Takes in that this node itself has told others so.
    pub(crate) const fn on_accused_by_own(&mut self, now: Instant) {
        self.accused_at = Some(now);
    }

    /// Takes in that the process `by` has found the node silent. Tells whether that is new.
    pub(crate) fn on_accusation(&mut self, now: Instant, accusers_needed: usize, by: u64) -> bool {
        if self.is_out() {
            return false;
        }
        let known = self.accusers.iter_mut().find(|(accuser, _)| *accuser == by);
        if let Some((_, at)) = known {
            let is_repeated = now.saturating_duration_since(*at) >= ACCUSE_AGAIN / 2;
            *at = now;
            return is_repeated;
        }
        if self.accusers.len() >= MAX_ACCUSERS {
            return false;
        }
        self.accusers.push((by, now));
        if self.accusers.len() >= accusers_needed {
            self.accused_out_at = Some(now);
            self.known_since = now;
        }
        true
    }

    /// Drops the findings of too few that are older than `lifetime`; tells whether some are left.
    pub(crate) fn expire_accusations(&mut self, now: Instant, lifetime: Duration) -> bool {
        if self.accused_out_at.is_none() {
            self.accusers.retain(|(_, at)| now.saturating_duration_since(*at) < lifetime);
        }
        !self.accusers.is_empty() && self.accused_out_at.is_none()
    }

    /// Who found the node silent, if it is left out for that.
    pub(crate) fn accusers_out(&self) -> Vec<u64> {
        if self.accused_out_at.is_none() {
            return Vec::new();
        }
        self.accusers.iter().map(|(accuser, _)| *accuser).collect()
    }

    /// Takes in that this node hears from it again: it is not called back any more.
    pub(crate) const fn on_heard_again(&mut self) {
        self.accused_at = None;
    }

    /// The finding against its present record, as one process tells it.
    pub(crate) const fn accusation(&self, by: u64) -> Accusation {
        Accusation { against: self.record.order(), by }
    }

    /// What the record adds to its bucket: nothing once the node is out, so that its record is not spread again.
    pub(crate) fn wanted_contribution(&self, is_left_out: bool) -> u64 {
        if is_left_out { 0 } else { contribution_of(&self.record.order()) }
    }

    /// The other node as it is known now.
    pub(crate) fn view(&self) -> MemberView {
        MemberView {
            record: self.record.clone(),
            reachability: self.reachability,
            load: self.load,
            configuration: self.configuration,
            last_seen_at: self.last_seen_at,
        }
    }
}
