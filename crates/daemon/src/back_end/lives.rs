//! Which life of the back end is the present one, and whether it takes new work. No I/O; time is an argument.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use umberpond_forwarding::BackEnd;
use umberpond_membership::{BackEndRecord, BackEndState};

use super::announcement::{AnnouncedState, Announcement};

/// Earlier lives remembered, so that a late word of one does not bring it back.
const REMEMBERED_LIVES: usize = 32;

/// Why a back end takes no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// It said that it is going to leave.
    Leaves,
    /// It said that it ends.
    Ends,
}

impl CloseReason {
    /// The reason in words, for logs.
    #[must_use]
    pub const fn words(self) -> &'static str {
        match self {
            Self::Leaves => "it said that it leaves",
            Self::Ends => "it said that it ends",
        }
    }
}

/// What follows from a word of the back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    None,
    /// New work is taken for this back end.
    Open(BackEnd),
    /// No new work is taken from now on, for this reason.
    Close(CloseReason),
    /// Whether it is well has to be asked before new work is taken.
    Confirm(BackEnd),
}

#[derive(Debug, Clone)]
struct Life {
    back_end: BackEnd,
    /// Count of the last announcement; absent if none was made to this process.
    sequence: Option<u64>,
    state: BackEndState,
    cold_until: Instant,
}

/// The lives of the back end beside this node.
#[derive(Debug)]
pub struct BackEndLives {
    present: Option<Life>,
    ended: VecDeque<String>,
    /// Whether an earlier process may have acknowledged that the present life leaves.
    may_be_leaving: bool,
}

impl BackEndLives {
    /// Nothing known yet. `may_be_leaving`: an earlier process of this node may have acknowledged a leave that it
    /// could tell nobody.
    #[must_use]
    pub const fn new(may_be_leaving: bool) -> Self {
        Self { present: None, ended: VecDeque::new(), may_be_leaving }
    }

    /// Takes in an announcement.
    pub fn on_announcement(&mut self, now: Instant, announcement: &Announcement) -> Effect {
        if self.has_ended(&announcement.instance) {
            return Effect::None;
        }
        match &mut self.present {
            Some(life) if life.back_end.instance == announcement.instance => {
                if life.sequence.is_some_and(|known| known >= announcement.sequence) {
                    return Effect::None;
                }
                life.sequence = Some(announcement.sequence);
                life.cold_until = now + announcement.cold_for;
                self.on_word(announcement)
            }
            _ => self.on_new_life(now, announcement),
        }
    }

    /// Takes in that the life called `instance` ends.
    pub fn on_withdrawn(&mut self, instance: &str) -> Effect {
        let is_present = self.present.as_ref().is_some_and(|life| life.back_end.instance == instance);
        self.end(instance.to_owned());
        if !is_present {
            return Effect::None;
        }
        if let Some(life) = &mut self.present {
            life.state = BackEndState::Draining;
        }
        Effect::Close(CloseReason::Ends)
    }

    /// Takes in that `back_end` has just said, asked by this process, that it is well.
    pub fn on_confirmed(&mut self, now: Instant, back_end: BackEnd) -> Effect {
        if self.has_ended(&back_end.instance) {
            return Effect::None;
        }
        self.may_be_leaving = false;
        match &mut self.present {
            Some(life) if life.back_end.instance == back_end.instance => {
                let is_news = life.state == BackEndState::Unreachable
                    || (life.sequence.is_none() && life.back_end != back_end);
                if life.state == BackEndState::Draining || !is_news {
                    return Effect::None;
                }
                life.state = BackEndState::Ready;
                if life.sequence.is_none() {
                    life.back_end = back_end;
                }
                Effect::Open(life.back_end.clone())
            }
            Some(life) if life.sequence.is_some() => Effect::None,
            _ => {
                if let Some(before) = self.present.take() {
                    self.end(before.back_end.instance);
                }
                self.present = Some(Life {
                    back_end: back_end.clone(),
                    sequence: None,
                    state: BackEndState::Ready,
                    cold_until: now,
                });
                Effect::Open(back_end)
            }
        }
    }

    /// Takes in that the back end can't be reached by its node.
    pub fn on_unreachable(&mut self, instance: &str) -> Effect {
        match &mut self.present {
            Some(life) if life.back_end.instance == instance && life.state == BackEndState::Ready => {
                life.state = BackEndState::Unreachable;
                Effect::Confirm(life.back_end.clone())
            }
            _ => Effect::None,
        }
    }

    /// What is told to other nodes.
    #[must_use]
    pub fn record(&self, now: Instant) -> Option<BackEndRecord> {
        let life = self.present.as_ref()?;
        Some(BackEndRecord {
            instance: life.back_end.instance.clone(),
            service: life.back_end.service.clone(),
            release: life.back_end.release.clone(),
            slots: life.back_end.slots,
            state: life.state,
            is_cold: life.cold_until > now,
        })
    }

    /// The back end of the present life, and the count of its last announcement; 0 if none was made to this process.
    #[must_use]
    pub fn present(&self) -> Option<(&BackEnd, u64)> {
        self.present.as_ref().map(|life| (&life.back_end, life.sequence.unwrap_or(0)))
    }

    /// When the present life stops being slow from its start.
    #[must_use]
    pub fn cold_for(&self, now: Instant) -> Duration {
        self.present.as_ref().map_or(Duration::ZERO, |life| life.cold_until.saturating_duration_since(now))
    }

    fn on_word(&mut self, announcement: &Announcement) -> Effect {
        let Some(life) = &mut self.present else { return Effect::None };
        if announcement.state == AnnouncedState::Draining {
            let is_news = life.state != BackEndState::Draining;
            life.state = BackEndState::Draining;
            return if is_news { Effect::Close(CloseReason::Leaves) } else { Effect::None };
        }
        match life.state {
            BackEndState::Draining => Effect::None,
            BackEndState::Unreachable => Effect::Confirm(life.back_end.clone()),
            BackEndState::Ready => {
                let said = back_end(announcement);
                let is_same = said == life.back_end;
                life.back_end = said.clone();
                if is_same { Effect::None } else { Effect::Open(said) }
            }
        }
    }

    fn on_new_life(&mut self, now: Instant, announcement: &Announcement) -> Effect {
        if let Some(before) = self.present.take() {
            self.end(before.back_end.instance);
            self.may_be_leaving = false;
        }
        let is_ready = announcement.state == AnnouncedState::Ready;
        let state = match (is_ready, self.may_be_leaving) {
            (false, _) => BackEndState::Draining,
            (true, true) => BackEndState::Unreachable,
            (true, false) => BackEndState::Ready,
        };
        let back_end = back_end(announcement);
        self.present = Some(Life {
            back_end: back_end.clone(),
            sequence: Some(announcement.sequence),
            state,
            cold_until: now + announcement.cold_for,
        });
        match state {
            BackEndState::Ready => Effect::Open(back_end),
            BackEndState::Unreachable => Effect::Confirm(back_end),
            BackEndState::Draining => Effect::Close(CloseReason::Leaves),
        }
    }

    fn has_ended(&self, instance: &str) -> bool {
        self.ended.iter().any(|ended| ended == instance)
    }

    fn end(&mut self, instance: String) {
        if self.has_ended(&instance) {
            return;
        }
        if self.ended.len() >= REMEMBERED_LIVES {
            self.ended.pop_front();
        }
        self.ended.push_back(instance);
    }
}

fn back_end(announcement: &Announcement) -> BackEnd {
    BackEnd {
        instance: announcement.instance.clone(),
        service: announcement.service.clone(),
        release: announcement.release.clone(),
        address: announcement.address,
        slots: announcement.slots,
    }
}
