//! One other node as this node sees it.

use std::time::{Duration, Instant};

use umberpond_scheduling::LoadReport;

use crate::heartbeat::{ConfigurationWord, Echo, Heartbeat, SenderWord};
use crate::record::{MemberPhase, MemberRecord, RecordOrder};

/// Whether a node can be reached from here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// Heartbeats pass both ways.
    Reachable,
    /// Its heartbeats arrive; ours seem not to.
    OneWay,
    /// Nothing was heard lately.
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
    /// When that was told.
    pub heard_at: Option<Instant>,
}

#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) record: MemberRecord,
    pub(crate) load: LoadReport,
    pub(crate) configuration: ConfigurationWord,
    pub(crate) reachability: Reachability,
    /// When the record was taken in first, or the node was heard last.
    pub(crate) known_since: Instant,
    pub(crate) heard_at: Option<Instant>,
    heard: Option<Echo>,
    /// The latest record of this node that the other one holds.
    held_there: Option<RecordOrder>,
    /// When the last heartbeat of ours was sent that the node has echoed.
    echoed_sent_at: Option<Instant>,
    sent: u64,
    /// Recent heartbeats of ours by number.
    sent_at: Vec<(u64, Instant)>,
    pub(crate) send_next_at: Instant,
}

/// Shortest time between two heartbeats of which the second is out of turn.
const OUT_OF_TURN_PAUSE: Duration = Duration::from_millis(20);
/// Heartbeats of which the time of sending is remembered.
const REMEMBERED_SENDS: usize = 64;

impl MemberView {
    /// Time since the node heard from the store itself, as far as known here.
    #[must_use]
    pub fn store_age(&self, now: Instant) -> Option<Duration> {
        let told = Duration::from_millis(u64::from(self.configuration.store_age_millis?));
        Some(told + now.saturating_duration_since(self.heard_at?))
    }
}

impl Member {
    pub(crate) fn new(now: Instant, record: MemberRecord) -> Self {
        Self {
            record,
            load: LoadReport::default(),
            configuration: ConfigurationWord::default(),
            reachability: Reachability::Silent,
            known_since: now,
            heard_at: None,
            heard: None,
            held_there: None,
            echoed_sent_at: None,
            sent: 0,
            sent_at: Vec::new(),
            send_next_at: now,
        }
    }

    /// Takes in a newer record. What was heard of an earlier process is dropped.
    pub(crate) fn replace_record(&mut self, now: Instant, record: MemberRecord) {
        if record.life != self.record.life {
            *self = Self { sent: self.sent, ..Self::new(now, record) };
            return;
        }
        self.record = record;
    }

    /// Takes in a heartbeat of the process that the record tells of. `own_life` is that of this process.
    pub(crate) fn on_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat, own_life: u64) {
        let is_late = self.heard.is_some_and(|heard| heard.number >= heartbeat.number);
        if is_late {
            return;
        }
        self.heard = Some(Echo { life: heartbeat.word.order().life, number: heartbeat.number });
        self.heard_at = Some(now);
        self.known_since = now;
        self.load = heartbeat.load;
        self.configuration = heartbeat.configuration;
        self.held_there = heartbeat.held;
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

    /// This node's word of itself, as short as the other node can use it.
    pub(crate) fn word_for(&self, own: &MemberRecord) -> SenderWord {
        if self.held_there == Some(own.order()) {
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

    /// Finds out anew whether the node can be reached; tells whether that changed.
    pub(crate) fn update_reachability(&mut self, now: Instant, silence: Duration) -> bool {
        let is_recent =
            |at: Option<Instant>| at.is_some_and(|at| now.saturating_duration_since(at) <= silence);
        let found = if self.record.phase == MemberPhase::Left || !is_recent(self.heard_at) {
            Reachability::Silent
        } else if is_recent(self.echoed_sent_at) {
            Reachability::Reachable
        } else {
            Reachability::OneWay
        };
        let has_changed = found != self.reachability;
        self.reachability = found;
        has_changed
    }

    /// The other node as it is known now.
    pub(crate) fn view(&self) -> MemberView {
        MemberView {
            record: self.record.clone(),
            reachability: self.reachability,
            load: self.load,
            configuration: self.configuration,
            heard_at: self.heard_at,
        }
    }
}
