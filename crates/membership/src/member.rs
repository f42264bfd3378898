//! Another node, as seen by this node.

use std::time::{Duration, Instant};

use umberpond_scheduling::LoadReport;

use crate::digest::{contribution_of, rank_of};
use crate::heartbeat::{Accusation, ConfigurationStatus, Echo, Heartbeat, SenderRecord};
use crate::record::{BackEndRecord, BackEndState, MemberPhase, MemberRecord, RecordOrder};

/// Whether a node is reachable from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// Heartbeats pass in both directions; if this node does not monitor the other one, that node is neither
    /// excluded nor in an unreachable zone.
    Reachable,
    /// Its heartbeats arrive, but it does not acknowledge the heartbeats of this node.
    OneWay,
    /// No recent heartbeat arrived, the node has left or is excluded, or its zone is unreachable.
    Silent,
}

/// A snapshot of another node, as seen by this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// Its own record.
    pub record: MemberRecord,
    /// Whether it is reachable.
    pub reachability: Reachability,
    /// Load of its back end in the last heartbeat.
    pub load: LoadReport,
    /// Its configuration in the last heartbeat.
    pub configuration: ConfigurationStatus,
    /// When the last heartbeat arrived; absent if none has.
    pub last_seen_at: Option<Instant>,
}

/// How this node monitors a neighbour.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Watch {
    /// Heartbeat interval.
    pub(crate) interval: Duration,
    /// Time without a heartbeat after which the neighbour counts as silent.
    pub(crate) silence_timeout: Duration,
    /// Whether this node accuses the neighbour to other nodes if it is silent.
    pub(crate) sends_accusations: bool,
}

/// A node that monitors this one.
#[derive(Debug, Clone, Copy)]
struct Watcher {
    /// Interval at which it expects heartbeats.
    interval: Duration,
    /// When it no longer counts as monitoring this node, unless another heartbeat arrives.
    until: Instant,
}

#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) record: MemberRecord,
    /// Hash of the node name, which orders the nodes identically on all nodes.
    pub(crate) rank: u64,
    pub(crate) load: LoadReport,
    pub(crate) configuration: ConfigurationStatus,
    pub(crate) reachability: Reachability,
    /// When its state last changed: the record was first received, the last heartbeat arrived, or the node
    /// was excluded.
    pub(crate) known_since: Instant,
    pub(crate) last_seen_at: Option<Instant>,
    last_received: Option<Echo>,
    /// Version of this node's record that the other node holds.
    acknowledged_order: Option<RecordOrder>,
    /// When the latest acknowledged heartbeat of this node was sent.
    echoed_sent_at: Option<Instant>,
    sent: u64,
    /// Numbers and send times of recent heartbeats to the node.
    sent_at: Vec<(u64, Instant)>,
    pub(crate) send_next_at: Instant,
    watch: Option<(Watch, Instant)>,
    watcher: Option<Watcher>,
    /// Processes that accused the node, and when the accusation last arrived.
    accusers: Vec<(u64, Instant)>,
    /// When this node last accused it to other nodes.
    accused_at: Option<Instant>,
    /// When it was excluded because of accusations.
    excluded_at: Option<Instant>,
    /// Whether another node has taken over its address.
    is_retired: bool,
    /// Hash that the record currently adds to its bucket's digest.
    pub(crate) contribution: u64,
    /// Back end that earlier processes of the node published.
    earlier_back_end: Option<Box<BackEndRecord>>,
}

/// Minimum time before a heartbeat that is sent out of turn.
const MIN_OUT_OF_TURN_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of send times kept.
const MAX_SEND_TIMES: usize = 64;
/// Number of heartbeat intervals without a heartbeat from a watcher after which it no longer counts as one.
const WATCHER_TIMEOUT_INTERVALS: u32 = 5;
/// Minimum time between two accusations of the same node.
const ACCUSATION_INTERVAL: Duration = Duration::from_secs(2);
/// Fraction of the silence timeout after which an immediate response is requested from a neighbour, so that
/// one lost datagram is made up for before the timeout.
const RESPONSE_REQUEST_FRACTION: f64 = 0.6;
/// Maximum number of accusers stored per node.
const MAX_ACCUSERS: usize = 8;

impl MemberView {
    /// Time since the last response from the store to any node, as reported by this node.
    #[must_use]
    pub fn store_age(&self, now: Instant) -> Option<Duration> {
        let reported_age = Duration::from_millis(u64::from(self.configuration.store_age_millis?));
        Some(reported_age + now.saturating_duration_since(self.last_seen_at?))
    }
}

impl Member {
    pub(crate) fn new(now: Instant, record: MemberRecord) -> Self {
        Self {
            rank: rank_of(&record.node),
            record,
            load: LoadReport::default(),
            configuration: ConfigurationStatus::default(),
            reachability: Reachability::Silent,
            known_since: now,
            last_seen_at: None,
            last_received: None,
            acknowledged_order: None,
            echoed_sent_at: None,
            sent: 0,
            sent_at: Vec::new(),
            send_next_at: now,
            watch: None,
            watcher: None,
            accusers: Vec::new(),
            accused_at: None,
            excluded_at: None,
            is_retired: false,
            contribution: 0,
            earlier_back_end: None,
        }
    }

    /// Replaces the record with a newer version, which clears the accusations. State that belongs to an
    /// earlier process of the node is dropped.
    pub(crate) fn replace_record(&mut self, now: Instant, record: MemberRecord) {
        if record.process_id != self.record.process_id {
            let earlier_back_end = self.remembered_back_end().cloned().map(Box::new);
            let (sent, contribution) = (self.sent, self.contribution);
            *self = Self { sent, contribution, earlier_back_end, ..Self::new(now, record) };
            return;
        }
        self.record = record;
        self.accusers.clear();
        self.excluded_at = None;
        self.is_retired = false;
    }

    /// Back end of the node, as its processes published it until now. No later record of a process outranks its
    /// departure.
    fn remembered_back_end(&self) -> Option<&BackEndRecord> {
        let earlier = self.earlier_back_end.as_deref();
        if self.has_departed_before() { earlier } else { self.record.back_end.as_ref().or(earlier) }
    }

    /// Whether the node publishes a back end whose departure an earlier process of the node has published.
    pub(crate) fn has_departed_before(&self) -> bool {
        let (Some(earlier), Some(published)) = (&self.earlier_back_end, &self.record.back_end) else {
            return false;
        };
        published.state != BackEndState::Draining && earlier.is_departure_of(published)
    }

    /// What the node has to know of its earlier processes: their back end, until it publishes one itself, and
    /// again if that one has departed before.
    pub(crate) fn unknown_earlier_back_end(&self) -> Option<BackEndRecord> {
        let is_unknown = self.record.back_end.is_none() || self.has_departed_before();
        self.earlier_back_end.as_deref().filter(|_| is_unknown).cloned()
    }

    /// Whether the node holds this version of this node's record, or a later one.
    pub(crate) fn holds(&self, order: RecordOrder) -> bool {
        self.acknowledged_order.is_some_and(|held| held >= order)
    }

    /// Marks the node as retired: another node has taken over its address.
    pub(crate) const fn retire(&mut self, now: Instant) {
        self.is_retired = true;
        self.known_since = now;
    }

    pub(crate) const fn is_retired(&self) -> bool {
        self.is_retired
    }

    /// Whether the node counts as excluded: because of accusations, because it has left, or because it is
    /// retired.
    pub(crate) fn is_excluded(&self) -> bool {
        self.excluded_at.is_some() || self.has_departed()
    }

    /// Whether the node has left or is retired, so that it does not return under this record.
    pub(crate) fn has_departed(&self) -> bool {
        self.is_retired || self.record.phase == MemberPhase::Left
    }

    /// Handles a heartbeat from the process that the record describes. `own_process_id` is the ID of this node's
    /// process.
    pub(crate) fn on_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat, own_process_id: u64) {
        let is_late =
            self.last_received.is_some_and(|last_received| last_received.number >= heartbeat.number);
        if is_late {
            return;
        }
        self.last_received =
            Some(Echo { process_id: heartbeat.sender.order().process_id, number: heartbeat.number });
        self.last_seen_at = Some(now);
        self.known_since = now;
        self.load = heartbeat.load;
        self.configuration = heartbeat.configuration;
        self.acknowledged_order = heartbeat.held;
        self.watcher = match heartbeat.watch_millis {
            0 => self.watcher.filter(|watcher| watcher.until > now),
            millis => {
                let interval = Duration::from_millis(u64::from(millis));
                Some(Watcher { interval, until: now + interval * WATCHER_TIMEOUT_INTERVALS })
            }
        };
        if let Some(echo) = heartbeat.echo.filter(|echo| echo.process_id == own_process_id) {
            self.on_echo(echo.number);
        }
    }

    fn on_echo(&mut self, number: u64) {
        let sent = self.sent_at.iter().find(|(sent, _)| *sent == number).map(|(_, at)| *at);
        self.echoed_sent_at = self.echoed_sent_at.max(sent);
    }

    /// Counts a heartbeat to the node and returns its number.
    pub(crate) fn next_number(&mut self, now: Instant) -> u64 {
        self.sent += 1;
        if self.sent_at.len() >= MAX_SEND_TIMES {
            self.sent_at.remove(0);
        }
        self.sent_at.push((self.sent, now));
        self.sent
    }

    /// This node's record for a heartbeat, by version if that is enough. A node that is not a neighbour
    /// receives the record from other nodes, and requests the full record if it lacks it.
    pub(crate) fn record_for(&self, own: &MemberRecord, is_neighbour: bool) -> SenderRecord {
        let has_requested = self.last_received.is_some() && self.acknowledged_order.is_none();
        if self.acknowledged_order == Some(own.order()) || (!is_neighbour && !has_requested) {
            return SenderRecord::Known(own.order());
        }
        SenderRecord::Full(Box::new(own.clone()))
    }

    /// Forgets which record version the other node holds, because it now runs another process.
    pub(crate) const fn forget_acknowledged_order(&mut self) {
        self.acknowledged_order = None;
    }

    /// Whether enough time has passed since the last heartbeat to send another one out of turn.
    pub(crate) fn may_send_out_of_turn(&self, now: Instant) -> bool {
        self.sent_at
            .last()
            .is_none_or(|(_, at)| now.saturating_duration_since(*at) >= MIN_OUT_OF_TURN_INTERVAL)
    }

    /// The last heartbeat received from the node, to be acknowledged in the next heartbeat.
    pub(crate) const fn echo(&self) -> Option<Echo> {
        self.last_received
    }

    /// Starts, continues or stops monitoring the node.
    pub(crate) fn set_watch(&mut self, now: Instant, watch: Option<Watch>) {
        self.watch = watch.map(|watch| match self.watch {
            Some((before, since)) if before == watch => (watch, since),
            // The silence timeout starts now, whatever the time of the last heartbeat.
            _ => {
                self.send_next_at = now;
                (watch, now)
            }
        });
    }

    pub(crate) fn watch(&self) -> Option<Watch> {
        self.watch.map(|(watch, _since)| watch)
    }

    /// Whether heartbeats pass between the two nodes at regular intervals.
    pub(crate) fn is_neighbour(&self, now: Instant) -> bool {
        self.watch.is_some() || self.watcher.is_some_and(|watcher| watcher.until > now)
    }

    /// Interval of heartbeats to the node; absent if none are sent at regular intervals.
    pub(crate) fn interval(&self, now: Instant, reconnect_interval: Duration) -> Option<Duration> {
        if self.has_departed() {
            return None;
        }
        let watcher = self.watcher.filter(|watcher| watcher.until > now).map(|watcher| watcher.interval);
        let watched = self.watch().map(|watch| watch.interval);
        let interval = watched.into_iter().chain(watcher).min();
        let is_reconnecting = self.accused_at.is_some() || self.watch.is_some();
        if self.reachability == Reachability::Silent && is_reconnecting {
            return Some(interval.map_or(reconnect_interval, |interval| interval.max(reconnect_interval)));
        }
        interval
    }

    /// Resets the timeouts as if a heartbeat had just arrived, because this process itself was stalled.
    pub(crate) fn reset_timeouts(&mut self, now: Instant) {
        if self.reachability == Reachability::Reachable {
            self.last_seen_at = self.last_seen_at.map(|_| now);
            self.echoed_sent_at = self.echoed_sent_at.map(|_| now);
        }
        self.watch = self.watch.map(|(watch, _since)| (watch, now));
    }

    /// Ages all recorded times by the duration for which the machine was suspended, and restarts the silence
    /// timeout, so that the node is judged only by new heartbeats.
    pub(crate) fn on_suspended(&mut self, now: Instant, suspended: Duration) {
        let aged = |at: Option<Instant>| at.map(|at| at.checked_sub(suspended).unwrap_or(at));
        self.last_seen_at = aged(self.last_seen_at);
        self.echoed_sent_at = aged(self.echoed_sent_at);
        self.watch = self.watch.map(|(watch, _since)| (watch, now));
        self.send_next_at = now;
    }

    /// The reachability that this node has observed itself; absent if it does not monitor the node or has not
    /// done so for long enough.
    pub(crate) fn observed_reachability(&self, now: Instant) -> Option<Reachability> {
        let (watch, since) = self.watch?;
        let is_recent = |at: Option<Instant>| {
            at.is_some_and(|at| now.saturating_duration_since(at) <= watch.silence_timeout)
        };
        let is_new = now.saturating_duration_since(since) <= watch.silence_timeout;
        match (is_recent(self.last_seen_at), is_recent(self.echoed_sent_at)) {
            (true, true) => Some(Reachability::Reachable),
            _ if is_new => None,
            (true, false) => Some(Reachability::OneWay),
            (false, _) => Some(Reachability::Silent),
        }
    }

    /// Whether to request an immediate response, because the last heartbeat or the last acknowledgement is
    /// getting old.
    pub(crate) fn needs_response(&self, now: Instant) -> bool {
        let Some((watch, _since)) = self.watch else { return false };
        let limit = watch.silence_timeout.mul_f64(RESPONSE_REQUEST_FRACTION);
        let is_recent = |at: Option<Instant>| at.is_some_and(|at| now.saturating_duration_since(at) <= limit);
        !is_recent(self.last_seen_at) || !is_recent(self.echoed_sent_at)
    }

    /// Whether the node is excluded and no heartbeat has arrived since.
    fn is_silent_since_excluded(&self) -> bool {
        self.excluded_at.is_some_and(|excluded_at| self.last_seen_at.is_none_or(|at| at <= excluded_at))
    }

    /// Updates the reachability and returns whether it changed. `is_zone_unreachable` is set if the
    /// node's zone is unreachable from this node.
    pub(crate) fn update_reachability(&mut self, now: Instant, is_zone_unreachable: bool) -> bool {
        let observed_reachability =
            self.observed_reachability(now).filter(|_| !self.is_silent_since_excluded());
        let default_reachability = if self.excluded_at.is_some() || is_zone_unreachable {
            Reachability::Silent
        } else {
            Reachability::Reachable
        };
        let found = if self.has_departed() {
            Reachability::Silent
        } else {
            observed_reachability.unwrap_or(default_reachability)
        };
        let has_changed = found != self.reachability;
        self.reachability = found;
        has_changed
    }

    /// Whether to accuse the node of being silent now.
    pub(crate) fn should_accuse(&self, now: Instant) -> bool {
        let sends_accusations = self.watch().is_some_and(|watch| watch.sends_accusations);
        let is_silent = self.observed_reachability(now) == Some(Reachability::Silent);
        let is_due =
            self.accused_at.is_none_or(|at| now.saturating_duration_since(at) >= ACCUSATION_INTERVAL);
        sends_accusations && is_silent && is_due && !self.is_excluded()
    }

    /// Records that this node has accused it.
    pub(crate) const fn on_own_accusation_sent(&mut self, now: Instant) {
        self.accused_at = Some(now);
    }

    /// Handles an accusation made by the process `by` and returns whether to forward it: it is new, or was
    /// repeated after some time.
    pub(crate) fn on_accusation(&mut self, now: Instant, accusers_needed: usize, by: u64) -> bool {
        if self.is_excluded() {
            return false;
        }
        let known = self.accusers.iter_mut().find(|(accuser, _)| *accuser == by);
        if let Some((_, at)) = known {
            let is_repeated = now.saturating_duration_since(*at) >= ACCUSATION_INTERVAL / 2;
            *at = now;
            return is_repeated;
        }
        if self.accusers.len() >= MAX_ACCUSERS {
            return false;
        }
        self.accusers.push((by, now));
        if self.accusers.len() >= accusers_needed {
            self.excluded_at = Some(now);
            self.known_since = now;
        }
        true
    }

    /// Drops accusations older than `lifetime` unless the node is excluded; returns whether any accusations
    /// are pending.
    pub(crate) fn expire_accusations(&mut self, now: Instant, lifetime: Duration) -> bool {
        if self.excluded_at.is_none() {
            self.accusers.retain(|(_, at)| now.saturating_duration_since(*at) < lifetime);
        }
        !self.accusers.is_empty() && self.excluded_at.is_none()
    }

    /// The accusers, if the node is excluded.
    pub(crate) fn excluding_accusers(&self) -> Vec<u64> {
        if self.excluded_at.is_none() {
            return Vec::new();
        }
        self.accusers.iter().map(|(accuser, _)| *accuser).collect()
    }

    /// Clears this node's own accusation, because a heartbeat has arrived again.
    pub(crate) const fn clear_own_accusation(&mut self) {
        self.accused_at = None;
    }

    /// An accusation of the node, made by the process `by`.
    pub(crate) const fn accusation(&self, by: u64) -> Accusation {
        Accusation { against: self.record.order(), by }
    }

    /// Hash that the record should add to its bucket's digest: zero if the node is left out, so that its
    /// record is not spread again.
    pub(crate) fn expected_contribution(&self, is_omitted: bool) -> u64 {
        if is_omitted { 0 } else { contribution_of(&self.record.order()) }
    }

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
