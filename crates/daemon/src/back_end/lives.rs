//! Which life of the back end is the present one, and whether it takes new work. No I/O; time is an argument.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use umberpond_forwarding::BackEnd;
use umberpond_membership::{BackEndRecord, BackEndState};
use umberpond_model::BackEndProcess;

use super::announcement::{AnnouncedState, Announcement};

/// Earlier lives remembered, so that a late word of one does not bring it back.
const REMEMBERED_LIVES: usize = 32;
/// Time after the last word of a life from which on one that seems to have begun before it is believed: longer than a word is late. The clock of the back end's machine may
/// have gone back between two of its lives.
const LATEST_WORD: Duration = Duration::from_secs(6);

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
    /// When it has said something last, or was asked and has.
    last_seen_at: Instant,
    /// Whether it was out of reach and is well again, so that it may be another life of the same back end until its next word.
    is_reopened: bool,
}

/// A life that is over.
#[derive(Debug, Clone)]
struct EndedLife {
    life: BackEndProcess,
    /// Count of its last announcement.
    sequence: Option<u64>,
    /// Whether it has said that it leaves or ends; otherwise another one has come in its place.
    has_left: bool,
}

/// The lives of the back end beside this node.
#[derive(Debug)]
pub struct BackEndLives {
    present: Option<Life>,
    ended: VecDeque<EndedLife>,
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
        let Some(life) = &mut self.present else {
            return if self.has_ended(announcement) {
                Effect::None
            } else {
                self.on_new_life(now, announcement)
            };
        };
        if !life.may_say(now, announcement) {
            let is_late = self.has_ended(announcement) || !self.may_be_followed_by(now, &announcement.life);
            return if is_late { Effect::None } else { self.on_new_life(now, announcement) };
        }
        if !life.is_reopened && life.sequence.is_some_and(|known| known >= announcement.sequence) {
            return Effect::None;
        }
        life.sequence = Some(announcement.sequence);
        life.cold_until = now + announcement.cold_for;
        life.last_seen_at = now;
        self.on_word(announcement)
    }

    /// Takes in that `life` ends.
    pub fn on_withdrawn(&mut self, life: &BackEndProcess) -> Effect {
        let Some(present) = self.present.as_mut().filter(|present| present.back_end.life.may_equal(life))
        else {
            self.end(EndedLife { life: life.clone(), sequence: None, has_left: true });
            return Effect::None;
        };
        present.state = BackEndState::Draining;
        present.learn_start(life);
        let ended =
            EndedLife { life: present.back_end.life.clone(), sequence: present.sequence, has_left: true };
        self.end(ended);
        Effect::Close(CloseReason::Ends)
    }

    /// Takes in that `back_end` has just said, asked by this process, that it is well. It does not say which life of it that is.
    pub fn on_confirmed(&mut self, now: Instant, back_end: BackEnd) -> Effect {
        let is_present =
            self.present.as_ref().is_some_and(|life| life.back_end.life.may_equal(&back_end.life));
        if !is_present && self.ended.iter().any(|ended| ended.life.may_equal(&back_end.life)) {
            return Effect::None;
        }
        self.may_be_leaving = false;
        match &mut self.present {
            Some(life) if is_present => {
                let was_out_of_reach = life.state == BackEndState::Unreachable;
                let is_news = was_out_of_reach || (life.sequence.is_none() && life.back_end != back_end);
                if life.state == BackEndState::Draining || !is_news {
                    return Effect::None;
                }
                life.state = BackEndState::Ready;
                life.last_seen_at = now;
                life.is_reopened = was_out_of_reach;
                if life.sequence.is_none() {
                    life.back_end = back_end;
                }
                Effect::Open(BackEnd {
                    life: BackEndProcess::of(&life.back_end.life.instance),
                    ..life.back_end.clone()
                })
            }
            Some(life) if life.sequence.is_some() => Effect::None,
            _ => {
                self.replace_present();
                self.present = Some(Life {
                    back_end: back_end.clone(),
                    sequence: None,
                    state: BackEndState::Ready,
                    cold_until: now,
                    last_seen_at: now,
                    is_reopened: false,
                });
                Effect::Open(back_end)
            }
        }
    }

    /// Takes in that `life` is cold for so long, by its own word.
    pub fn on_cold(&mut self, now: Instant, told: &BackEndProcess, cold_for: Duration) {
        if let Some(life) = self.present.as_mut().filter(|life| life.back_end.life.may_equal(told)) {
            life.cold_until = now + cold_for;
        }
    }

    /// Takes in that the back end can't be reached by its node.
    pub fn on_unreachable(&mut self, told: &BackEndProcess) -> Effect {
        match &mut self.present {
            Some(life) if life.back_end.life.may_equal(told) && life.state == BackEndState::Ready => {
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
            instance: life.back_end.life.to_string(),
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
            life.learn_start(&announcement.life);
            life.state = BackEndState::Draining;
            return if is_news { Effect::Close(CloseReason::Leaves) } else { Effect::None };
        }
        match life.state {
            BackEndState::Draining => Effect::None,
            BackEndState::Unreachable => Effect::Confirm(life.back_end.clone()),
            BackEndState::Ready => {
                let said = back_end(announcement);
                let is_news = said != life.back_end || life.is_reopened;
                life.back_end = said.clone();
                life.is_reopened = false;
                if is_news { Effect::Open(said) } else { Effect::None }
            }
        }
    }

    fn on_new_life(&mut self, now: Instant, announcement: &Announcement) -> Effect {
        if self.replace_present() {
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
            last_seen_at: now,
            is_reopened: false,
        });
        match state {
            BackEndState::Ready => Effect::Open(back_end),
            BackEndState::Unreachable => Effect::Confirm(back_end),
            BackEndState::Draining => Effect::Close(CloseReason::Leaves),
        }
    }

    /// Whether a life that does not seem to be the present one may have come after it: it began later, or the present one is known to be out of reach, or has been silent for
    /// longer than a word of an earlier life is late.
    fn may_be_followed_by(&self, now: Instant, life: &BackEndProcess) -> bool {
        let Some(present) = &self.present else { return true };
        let is_silent = now.saturating_duration_since(present.last_seen_at) > LATEST_WORD;
        let is_over = present.state == BackEndState::Unreachable || is_silent;
        is_over || !life.started_before(&present.back_end.life)
    }

    /// Whether an announcement is a late one of a life that is over. One that was taken for over and goes on speaking, though it began after the present one, is not.
    fn has_ended(&self, announcement: &Announcement) -> bool {
        let is_meant = |ended: &&EndedLife| ended.life == announcement.life;
        let Some(ended) = self.ended.iter().find(is_meant) else { return false };
        let present = self.present.as_ref().map(|present| &present.back_end.life);
        let began_after = present.is_some_and(|present| present.started_before(&ended.life));
        let goes_on = ended.sequence.is_some_and(|known| announcement.sequence > known);
        ended.has_left || !began_after || !goes_on
    }

    /// Takes in that another life takes the place of the present one; `false` if there is none.
    fn replace_present(&mut self) -> bool {
        let Some(before) = self.present.take() else { return false };
        let has_left = before.state == BackEndState::Draining;
        self.end(EndedLife { life: before.back_end.life, sequence: before.sequence, has_left });
        true
    }

    fn end(&mut self, ended: EndedLife) {
        self.ended.retain(|known| known.life != ended.life);
        if self.ended.len() >= REMEMBERED_LIVES {
            self.ended.pop_front();
        }
        self.ended.push_back(ended);
    }
}

impl Life {
    /// Whether an announcement may be of this life. Until the next word after it was out of reach it may be any life of the back end, but for one that began before.
    fn may_say(&self, now: Instant, announcement: &Announcement) -> bool {
        let (known, told) = (&self.back_end.life, &announcement.life);
        let may_have_changed =
            self.is_reopened && known.instance == told.instance && !told.started_before(known);
        (known.may_equal(told) || may_have_changed) && !self.has_surely_left(now, told)
    }

    /// Whether this life, of which the start was never told, has said that it leaves for so long that a word with a start is of the next one.
    fn has_surely_left(&self, now: Instant, told: &BackEndProcess) -> bool {
        let is_silent = now.saturating_duration_since(self.last_seen_at) > LATEST_WORD;
        let tells_more = self.back_end.life.born.is_none() && told.born.is_some();
        self.state == BackEndState::Draining && tells_more && is_silent
    }

    /// Takes in when this life began, if that is told.
    fn learn_start(&mut self, told: &BackEndProcess) {
        if told.born.is_some() {
            self.back_end.life = told.clone();
        }
    }
}

fn back_end(announcement: &Announcement) -> BackEnd {
    BackEnd {
        life: announcement.life.clone(),
        service: announcement.service.clone(),
        release: announcement.release.clone(),
        address: announcement.address,
        slots: announcement.slots,
    }
}
