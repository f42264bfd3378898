//! Tracks which process of the back end is the current one and whether it accepts new requests. Performs no
//! I/O; the time is an argument.
//!
//! This is the one place where reports about the back end are weighed: of its node's settings, itself, health checks,
//! failed connections, other nodes and the store. `docs/design/0121-who-may-say-what-about-a-back-end.md` has the table.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use umberpond_forwarding::BackEnd;
use umberpond_membership::{BackEndRecord, BackEndState};
use umberpond_model::BackEndProcess;

use super::announcement::{AnnouncedState, Announcement};
use super::assignment::{BackEndAssignment, ForeignAnnouncement};
use super::effect::{CloseReason, Effect, IgnoreReason, IgnoredAnnouncement};
use super::process::{EndedProcess, TrackedProcess, back_end};

/// Number of ended processes that are remembered, so that a delayed announcement doesn't reopen one of them.
const MAX_ENDED_PROCESSES: usize = 32;

/// Sender of an announcement.
enum Sender {
    /// The current process.
    Current,
    /// A process that replaces the current one.
    NewProcess,
    /// A process of another identity than the current one, which is in service.
    Rival,
    /// Another process, or an earlier announcement: what is known already outranks it.
    Outranked(IgnoreReason),
}

/// Tracks the processes of the back end beside this node.
#[derive(Debug)]
pub struct BackEndTracker {
    assignment: BackEndAssignment,
    current: Option<TrackedProcess>,
    /// The process that a health check is to identify, while the current one is in service.
    rival: Option<TrackedProcess>,
    ended: VecDeque<EndedProcess>,
    /// Whether the store has told which process has departed last, so that a health check may introduce any other.
    is_departure_read: bool,
    /// Whether an earlier process of this node may have acknowledged that the current process is draining.
    may_be_draining: bool,
    ignored: Option<IgnoredAnnouncement>,
}

impl BackEndTracker {
    /// Creates a tracker that knows no process yet. `may_be_draining`: an earlier process of this node may
    /// have acknowledged draining and ended before it could inform other nodes.
    #[must_use]
    pub const fn new(assignment: BackEndAssignment, may_be_draining: bool) -> Self {
        Self {
            assignment,
            current: None,
            rival: None,
            ended: VecDeque::new(),
            is_departure_read: false,
            may_be_draining,
            ignored: None,
        }
    }

    /// Replaces the assignment, because the settings have changed.
    pub fn assign(&mut self, assignment: BackEndAssignment) {
        self.assignment = assignment;
    }

    /// Handles an announcement.
    ///
    /// # Errors
    /// Returns [`ForeignAnnouncement`] if it is not of the back end that the settings place beside this node.
    pub fn on_announcement(
        &mut self,
        now: Instant,
        announcement: &Announcement,
    ) -> Result<Effect, ForeignAnnouncement> {
        self.assignment.check(announcement)?;
        if self.is_departure_of_current(announcement) {
            return Ok(self.on_departure(now, &announcement.process, CloseReason::Draining));
        }
        Ok(match self.sender_of(now, announcement) {
            Sender::Current => self.on_current_announcement(now, announcement),
            Sender::NewProcess => self.on_new_process(now, announcement),
            Sender::Rival => self.on_rival(now, announcement),
            Sender::Outranked(reason) => self.ignore(announcement, reason),
        })
    }

    /// Takes the announcement that has just had no effect, if there is one.
    pub fn take_ignored(&mut self) -> Option<IgnoredAnnouncement> {
        self.ignored.take()
    }

    /// Handles the withdrawal of `process`.
    pub fn on_withdrawn(&mut self, now: Instant, process: &BackEndProcess) -> Effect {
        self.on_departure(now, process, CloseReason::Withdrawn)
    }

    /// Handles a response of `process` that says that it is about to shut down. Its later announcements do not
    /// reopen it, whatever state they announce.
    pub fn on_leaving(&mut self, now: Instant, process: &BackEndProcess) -> Effect {
        let Some(current) =
            self.current.as_mut().filter(|current| current.back_end.process.may_equal(process))
        else {
            return Effect::None;
        };
        if current.state == BackEndState::Draining {
            return Effect::None;
        }
        current.state = BackEndState::Draining;
        current.last_seen_at = now;
        Effect::Close(CloseReason::Leaving)
    }

    /// Handles what the store says about the process that has departed last; `None`: none has.
    pub fn on_departure_read(&mut self, departed: Option<&BackEndProcess>) -> Effect {
        self.is_departure_read = true;
        let Some(process) = departed else { return Effect::None };
        match &self.current {
            Some(current) if current.back_end.process.may_have_departed_as(process) => {
                self.close_current(process, CloseReason::Remembered)
            }
            // A later process may be running: what has departed says nothing about it.
            _ => {
                self.remember_ended(EndedProcess {
                    process: process.clone(),
                    sequence: None,
                    has_left: true,
                });
                Effect::None
            }
        }
    }

    /// The current process, if it has departed.
    #[must_use]
    pub fn departed(&self) -> Option<BackEndProcess> {
        let current = self.current.as_ref().filter(|current| current.state == BackEndState::Draining)?;
        Some(current.back_end.process.clone())
    }

    /// Handles what another node remembers of the back end that an earlier process of this node published.
    pub fn on_earlier_record(&mut self, now: Instant, record: &BackEndRecord) -> Effect {
        let process = record.process();
        if !process.is_named() || record.service != self.assignment.service {
            return Effect::None;
        }
        if record.state == BackEndState::Draining {
            return self.on_remembered_departure(now, &process);
        }
        let has_left = self.ended.iter().any(|ended| ended.has_left && ended.process.may_equal(&process));
        let Some(address) = self.assignment.address.filter(|_| self.current.is_none() && !has_left) else {
            return Effect::None;
        };
        let (service, release) = (record.service.clone(), record.release.clone());
        let back_end = BackEnd { process, service, release, address, slots: record.slots };
        self.current = Some(TrackedProcess::found(now, back_end.clone(), BackEndState::Unreachable));
        Effect::Confirm(back_end)
    }

    /// Handles a departure that an earlier process of this node has acknowledged.
    fn on_remembered_departure(&mut self, now: Instant, process: &BackEndProcess) -> Effect {
        let is_over = |current: &TrackedProcess| !current.back_end.process.may_have_departed_as(process);
        if self.current.as_ref().is_some_and(is_over) {
            self.remember_ended(EndedProcess { process: process.clone(), sequence: None, has_left: true });
            return Effect::None;
        }
        self.on_departure(now, process, CloseReason::Remembered)
    }

    /// Handles a successful health check of `back_end`. The response doesn't identify the process by its
    /// start time.
    pub fn on_confirmed(&mut self, now: Instant, back_end: BackEnd) -> Effect {
        if let Some(rival) = self.rival.take_if(|rival| rival.back_end.process == back_end.process) {
            return self.replace_by_rival(now, rival);
        }
        self.current.take_if(|process| process.has_unnamed_successor(now));
        let is_current = self
            .current
            .as_ref()
            .is_some_and(|process| process.back_end.process.may_equal(&back_end.process));
        if !is_current && self.ended.iter().any(|ended| ended.process.may_equal(&back_end.process)) {
            return Effect::None;
        }
        match &mut self.current {
            Some(process) if is_current => {
                self.may_be_draining = false;
                let was_unreachable = process.state == BackEndState::Unreachable;
                let is_change =
                    was_unreachable || (process.sequence.is_none() && process.back_end != back_end);
                if process.state == BackEndState::Draining || !is_change {
                    return Effect::None;
                }
                process.state = BackEndState::Ready;
                process.last_seen_at = now;
                process.is_reconfirmed = was_unreachable;
                if process.sequence.is_none() {
                    process.back_end = back_end;
                }
                Effect::Open(BackEnd {
                    process: BackEndProcess::of(&process.back_end.process.instance),
                    ..process.back_end.clone()
                })
            }
            Some(process) if process.sequence.is_some() => Effect::None,
            // It says that the back end is well, not that it takes new requests.
            _ if self.assignment.announces_itself && !self.is_departure_read => Effect::None,
            _ => {
                self.may_be_draining = false;
                self.end_current();
                self.current = Some(TrackedProcess::found(now, back_end.clone(), BackEndState::Ready));
                Effect::Open(back_end)
            }
        }
    }

    /// Records the remaining warm-up time that a process reported.
    pub fn on_cold(&mut self, now: Instant, reported: &BackEndProcess, cold_for: Duration) {
        if let Some(process) =
            self.current.as_mut().filter(|process| process.back_end.process.may_equal(reported))
        {
            process.cold_until = now + cold_for;
        }
    }

    /// Handles a failure of this node to reach the back end.
    pub fn on_unreachable(&mut self, reported: &BackEndProcess) -> Effect {
        if !reported.is_named() {
            // Once it is reachable again, it counts as the next process.
            self.current.take_if(|process| process.state == BackEndState::Draining);
        }
        match &mut self.current {
            Some(process)
                if process.back_end.process.may_equal(reported) && process.state == BackEndState::Ready =>
            {
                process.state = BackEndState::Unreachable;
                Effect::Confirm(process.back_end.clone())
            }
            _ => Effect::None,
        }
    }

    /// The record that is published to other nodes, without the request limit; absent if no process is known.
    #[must_use]
    pub fn record(&self, now: Instant) -> Option<BackEndRecord> {
        let process = self.current.as_ref()?;
        Some(BackEndRecord {
            instance: process.back_end.process.to_string(),
            service: process.back_end.service.clone(),
            release: process.back_end.release.clone(),
            slots: process.back_end.slots,
            state: process.state,
            is_cold: process.cold_until > now,
            request_limit: None,
        })
    }

    /// The current back end and the sequence number of its last announcement; 0 if this node process has
    /// received none.
    #[must_use]
    pub fn current(&self) -> Option<(&BackEnd, u64)> {
        self.current.as_ref().map(|process| (&process.back_end, process.sequence.unwrap_or(0)))
    }

    /// Remaining warm-up time of the current process.
    #[must_use]
    pub fn cold_for(&self, now: Instant) -> Duration {
        self.current
            .as_ref()
            .map_or(Duration::ZERO, |process| process.cold_until.saturating_duration_since(now))
    }

    /// Whether an announcement says that the current process leaves. That holds whatever was announced later.
    fn is_departure_of_current(&self, announcement: &Announcement) -> bool {
        let is_current = |current: &TrackedProcess| {
            let known = &current.back_end.process;
            let may_have_changed = current.is_reconfirmed && known.instance == announcement.process.instance;
            known.may_equal(&announcement.process) || may_have_changed
        };
        announcement.state == AnnouncedState::Draining && self.current.as_ref().is_some_and(is_current)
    }

    /// Which process counts as the sender of an announcement, or why it has no effect.
    fn sender_of(&self, now: Instant, announcement: &Announcement) -> Sender {
        if let Some(current) =
            self.current.as_ref().filter(|current| current.may_have_sent(now, announcement))
        {
            return if current.is_outdated(announcement) {
                Sender::Outranked(IgnoreReason::Outdated)
            } else {
                Sender::Current
            };
        }
        if self.has_ended(announcement) {
            return Sender::Outranked(IgnoreReason::Ended);
        }
        let is_rival = |current: &TrackedProcess| {
            let is_assigned = current.back_end.service == self.assignment.service;
            let is_other = current.back_end.process.instance != announcement.process.instance;
            is_assigned && is_other && current.is_in_service(now)
        };
        if self.current.as_ref().is_some_and(is_rival) {
            return Sender::Rival;
        }
        if !self.may_be_succeeded_by(now, &announcement.process) {
            return Sender::Outranked(IgnoreReason::StartedEarlier);
        }
        Sender::NewProcess
    }

    /// Handles the report that `process` leaves, which is final for it.
    fn on_departure(&mut self, now: Instant, process: &BackEndProcess, reason: CloseReason) -> Effect {
        let is_known = self.ended.iter().any(|ended| ended.process == *process);
        let departed = EndedProcess { process: process.clone(), sequence: None, has_left: true };
        match &self.current {
            Some(current) if current.must_close_for(process, is_known) => self.close_current(process, reason),
            None if !is_known => {
                self.remember_ended(departed);
                self.introduce_departed(now, process, reason)
            }
            _ => {
                self.remember_ended(departed);
                Effect::None
            }
        }
    }

    /// Closes the current process, which departs as `process`.
    fn close_current(&mut self, process: &BackEndProcess, reason: CloseReason) -> Effect {
        let Some(current) = &mut self.current else { return Effect::None };
        let before = EndedProcess {
            process: current.back_end.process.clone(),
            sequence: current.sequence,
            has_left: current.state == BackEndState::Draining,
        };
        let is_replaced = !before.process.may_equal(process);
        if is_replaced {
            current.sequence = None;
        }
        current.state = BackEndState::Draining;
        current.is_reconfirmed = false;
        current.set_start(process);
        let departed = EndedProcess {
            process: current.back_end.process.clone(),
            sequence: current.sequence,
            has_left: true,
        };
        let is_change = !before.has_left || departed.process != before.process;
        if is_replaced {
            self.remember_ended(before);
        }
        self.remember_ended(departed);
        if is_change { Effect::Close(reason) } else { Effect::None }
    }

    /// Makes a departed process the current one, so that other nodes learn of its departure.
    fn introduce_departed(&mut self, now: Instant, process: &BackEndProcess, reason: CloseReason) -> Effect {
        let Some(address) = self.assignment.address.filter(|_| process.is_named()) else {
            return Effect::None;
        };
        let back_end = BackEnd {
            process: process.clone(),
            service: self.assignment.service.clone(),
            release: None,
            address,
            slots: 0,
        };
        self.current = Some(TrackedProcess::found(now, back_end, BackEndState::Draining));
        Effect::Close(reason)
    }

    fn ignore(&mut self, announcement: &Announcement, reason: IgnoreReason) -> Effect {
        let current = self.current.as_ref().map(|current| current.back_end.process.clone());
        self.ignored = Some(IgnoredAnnouncement { process: announcement.process.clone(), current, reason });
        Effect::None
    }

    fn on_current_announcement(&mut self, now: Instant, announcement: &Announcement) -> Effect {
        let Some(process) = &mut self.current else { return Effect::None };
        process.sequence = Some(announcement.sequence);
        process.cold_until = now + announcement.cold_for;
        process.last_seen_at = now;
        match process.state {
            BackEndState::Draining => {
                self.ignore(announcement, IgnoreReason::Leaving);
                self.close_current(&announcement.process, CloseReason::Identified)
            }
            BackEndState::Unreachable => Effect::Confirm(process.back_end.clone()),
            BackEndState::Ready => {
                let announced = back_end(announcement);
                let is_change = announced != process.back_end || process.is_reconfirmed;
                process.back_end = announced.clone();
                process.is_reconfirmed = false;
                if is_change { Effect::Open(announced) } else { Effect::None }
            }
        }
    }

    /// Handles an announcement of a back end with another identity than the current one, which is in service. There is
    /// one back end at the address, and only a health check tells its identity.
    fn on_rival(&mut self, now: Instant, announcement: &Announcement) -> Effect {
        self.ignore(announcement, IgnoreReason::OtherIdentity);
        if announcement.state == AnnouncedState::Draining {
            return self.on_departure(now, &announcement.process, CloseReason::Draining);
        }
        let rival = TrackedProcess::new(now, announcement, BackEndState::Ready);
        let back_end = rival.back_end.clone();
        self.rival = Some(rival);
        Effect::Identify(back_end)
    }

    /// Replaces the current process by `rival`, whose identity a health check has found.
    fn replace_by_rival(&mut self, now: Instant, rival: TrackedProcess) -> Effect {
        let has_left =
            self.ended.iter().any(|ended| ended.has_left && ended.process == rival.back_end.process);
        if has_left {
            return Effect::None;
        }
        self.end_current();
        let back_end = rival.back_end.clone();
        self.current = Some(TrackedProcess { last_seen_at: now, ..rival });
        Effect::Open(back_end)
    }

    fn on_new_process(&mut self, now: Instant, announcement: &Announcement) -> Effect {
        let is_in_doubt = self.is_in_doubt(&announcement.process);
        self.end_current();
        let is_ready = announcement.state == AnnouncedState::Ready;
        let needs_confirmation = self.may_be_draining || is_in_doubt;
        let state = match (is_ready, needs_confirmation) {
            (false, _) => BackEndState::Draining,
            (true, true) => BackEndState::Unreachable,
            (true, false) => BackEndState::Ready,
        };
        let process = TrackedProcess::new(now, announcement, state);
        let back_end = process.back_end.clone();
        self.current = Some(process);
        match state {
            BackEndState::Ready => Effect::Open(back_end),
            BackEndState::Unreachable => Effect::Confirm(back_end),
            BackEndState::Draining => Effect::Close(CloseReason::Draining),
        }
    }

    /// Whether `process` was replaced by the current one, and start times don't show that this was an error. A
    /// health check, which tells the identity of the back end, has to confirm it.
    fn is_in_doubt(&self, process: &BackEndProcess) -> bool {
        let was_replaced = self.ended.iter().any(|ended| ended.process == *process);
        let started_after =
            self.current.as_ref().is_some_and(|current| current.back_end.process.started_before(process));
        was_replaced && !started_after
    }

    /// Whether `process`, which differs from the current process, may be its successor: it didn't start
    /// earlier, or the current process is unreachable, or that one has been silent for longer than an
    /// announcement of an earlier process is delayed.
    fn may_be_succeeded_by(&self, now: Instant, process: &BackEndProcess) -> bool {
        let Some(current) = &self.current else { return true };
        current.may_be_over(now) || !process.started_before(&current.back_end.process)
    }

    /// Whether an announcement is a delayed one of an ended process. A process that was only replaced and
    /// sends further announcements is not considered ended if the current one may not be its successor: that one
    /// started earlier, or has another identity and may have been announced late.
    fn has_ended(&self, announcement: &Announcement) -> bool {
        let is_same_process = |ended: &&EndedProcess| ended.process == announcement.process;
        let Some(ended) = self.ended.iter().find(is_same_process) else { return false };
        let is_replaced_in_error = |current: &TrackedProcess| {
            let known = &current.back_end.process;
            let is_other = known.instance != ended.process.instance;
            is_other || known.started_before(&ended.process)
        };
        let is_newer = ended.sequence.is_none_or(|known| announcement.sequence > known);
        ended.has_left || !is_newer || !self.current.as_ref().is_some_and(is_replaced_in_error)
    }

    /// Moves the current process to the ended ones.
    fn end_current(&mut self) {
        self.rival = None;
        let Some(before) = self.current.take() else { return };
        let has_left = before.state == BackEndState::Draining;
        self.remember_ended(EndedProcess {
            process: before.back_end.process,
            sequence: before.sequence,
            has_left,
        });
    }

    fn remember_ended(&mut self, mut ended: EndedProcess) {
        // A departure is final.
        ended.has_left |= self.ended.iter().any(|known| known.has_left && known.process == ended.process);
        self.ended.retain(|known| known.process != ended.process);
        if self.ended.len() >= MAX_ENDED_PROCESSES {
            self.ended.pop_front();
        }
        self.ended.push_back(ended);
    }
}
