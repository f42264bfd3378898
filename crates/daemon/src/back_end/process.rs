//! Processes of the back end beside the node, and how they are told apart.

use std::time::{Duration, Instant};

use umberpond_forwarding::BackEnd;
use umberpond_membership::BackEndState;
use umberpond_model::BackEndProcess;

use super::announcement::Announcement;

/// Silence of a process after which one with an earlier start time is accepted as its successor. Longer than any
/// announcement is delayed. The start times may be in the wrong order, because the clock of the back end's machine may
/// have been set back between the two processes.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(6);

/// The process of the back end that counts as the current one.
#[derive(Debug, Clone)]
pub(super) struct TrackedProcess {
    pub(super) back_end: BackEnd,
    /// Sequence number of the last announcement; absent if this node process has received none.
    pub(super) sequence: Option<u64>,
    pub(super) state: BackEndState,
    pub(super) cold_until: Instant,
    /// When the last announcement, or the last response to a health check that was recorded, arrived.
    pub(super) last_seen_at: Instant,
    /// Whether it was unreachable and then healthy again. Until the next announcement it may be another
    /// process of the same back end.
    pub(super) is_reconfirmed: bool,
}

/// A process that has ended.
#[derive(Debug, Clone)]
pub(super) struct EndedProcess {
    pub(super) process: BackEndProcess,
    /// Sequence number of its last announcement.
    pub(super) sequence: Option<u64>,
    /// Whether it announced draining or withdrew itself; otherwise another process has replaced it.
    pub(super) has_left: bool,
}

impl TrackedProcess {
    /// The process that sent `announcement`.
    pub(super) fn new(now: Instant, announcement: &Announcement, state: BackEndState) -> Self {
        Self {
            back_end: back_end(announcement),
            sequence: Some(announcement.sequence),
            state,
            cold_until: now + announcement.cold_for,
            last_seen_at: now,
            is_reconfirmed: false,
        }
    }

    /// A process that is known without an announcement.
    pub(super) const fn found(now: Instant, back_end: BackEnd, state: BackEndState) -> Self {
        Self { back_end, sequence: None, state, cold_until: now, last_seen_at: now, is_reconfirmed: false }
    }

    /// Whether it accepts requests, and has been heard of recently.
    pub(super) fn is_in_service(&self, now: Instant) -> bool {
        self.state == BackEndState::Ready && !self.may_be_over(now)
    }

    /// Whether this process may have sent an announcement. If it was unreachable and then healthy again, the
    /// first announcement after that may come from any process of the back end that didn't start earlier.
    pub(super) fn may_have_sent(&self, now: Instant, announcement: &Announcement) -> bool {
        let (known, reported) = (&self.back_end.process, &announcement.process);
        let may_have_changed =
            self.is_reconfirmed && known.instance == reported.instance && !reported.started_before(known);
        (known.may_equal(reported) || may_have_changed) && !self.must_have_ended(now, reported)
    }

    /// Whether a later announcement of this process has arrived before.
    pub(super) fn is_outdated(&self, announcement: &Announcement) -> bool {
        !self.is_reconfirmed && self.sequence.is_some_and(|known| known >= announcement.sequence)
    }

    /// Whether the departure of `departed` closes the back end: that is this process, or has taken its place under
    /// the same identity. `is_known`: it is known to have ended before.
    pub(super) fn must_close_for(&self, departed: &BackEndProcess, is_known: bool) -> bool {
        let known = &self.back_end.process;
        // After a health check has confirmed the identity alone, a process that started earlier by the clock of its
        // machine may be the current one too, since the clock may have been set back.
        let may_be_this = !departed.started_before(known) || (self.is_reconfirmed && !is_known);
        known.instance == departed.instance && may_be_this
    }

    /// Whether this process may have ended: it can't be reached, or it has been silent for longer than an
    /// announcement is delayed.
    pub(super) fn may_be_over(&self, now: Instant) -> bool {
        let is_silent = now.saturating_duration_since(self.last_seen_at) > MAX_ANNOUNCEMENT_DELAY;
        self.state == BackEndState::Unreachable || is_silent
    }

    /// Whether this process, whose start time is unknown, has been draining and silent for so long that an
    /// announcement with a start time must come from its successor.
    pub(super) fn must_have_ended(&self, now: Instant, reported: &BackEndProcess) -> bool {
        let is_silent = now.saturating_duration_since(self.last_seen_at) > MAX_ANNOUNCEMENT_DELAY;
        let adds_start = self.back_end.process.started_at.is_none() && reported.started_at.is_some();
        self.state == BackEndState::Draining && adds_start && is_silent
    }

    /// Whether this process has no identity and left so long ago that a healthy back end is the next process.
    pub(super) fn has_unnamed_successor(&self, now: Instant) -> bool {
        let has_left = self.state == BackEndState::Draining && !self.back_end.process.is_named();
        has_left && now.saturating_duration_since(self.last_seen_at) > MAX_ANNOUNCEMENT_DELAY
    }

    /// Records the start time of this process, if `reported` has one.
    pub(super) fn set_start(&mut self, reported: &BackEndProcess) {
        if reported.started_at.is_some() {
            self.back_end.process = reported.clone();
        }
    }
}

/// The back end that sent `announcement`.
pub(super) fn back_end(announcement: &Announcement) -> BackEnd {
    BackEnd {
        process: announcement.process.clone(),
        service: announcement.service.clone(),
        release: announcement.release.clone(),
        address: announcement.address,
        slots: announcement.slots,
    }
}
