//! Which life of the back end is the present one, and whether it takes new work.

use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use umberpond_daemon::back_end::{AnnouncedState, Announcement, BackEndLives, CloseReason, Effect};
use umberpond_forwarding::BackEnd;
use umberpond_membership::BackEndState;
use umberpond_model::BackEndProcess;

fn announcement(instance: &str, state: AnnouncedState, sequence: u64) -> Announcement {
    Announcement {
        life: BackEndProcess::of(instance),
        release: None,
        service: "archive".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        slots: 9,
        state,
        cold_for: Duration::ZERO,
        sequence,
    }
}

fn ready(instance: &str, sequence: u64) -> Announcement {
    announcement(instance, AnnouncedState::Ready, sequence)
}

fn draining(instance: &str, sequence: u64) -> Announcement {
    announcement(instance, AnnouncedState::Draining, sequence)
}

fn back_end(instance: &str) -> BackEnd {
    BackEnd {
        life: BackEndProcess::of(instance),
        release: None,
        service: "archive".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        slots: 9,
    }
}

fn state(lives: &BackEndLives) -> Option<BackEndState> {
    lives.record(Instant::now()).map(|record| record.state)
}

#[test]
fn the_first_word_opens_and_the_same_word_again_changes_nothing() {
    let now = Instant::now();
    let mut lives = BackEndLives::new(false);
    assert_eq!(lives.on_announcement(now, &ready("a", 1)), Effect::Open(back_end("a")));
    assert_eq!(lives.on_announcement(now, &ready("a", 2)), Effect::None);
    assert_eq!(state(&lives), Some(BackEndState::Ready));
}

#[test]
fn a_leave_closes_and_a_late_word_does_not_open_again() {
    let now = Instant::now();
    let mut lives = BackEndLives::new(false);
    lives.on_announcement(now, &ready("a", 1));
    assert_eq!(lives.on_announcement(now, &draining("a", 3)), Effect::Close(CloseReason::Leaves));
    assert_eq!(lives.on_announcement(now, &ready("a", 2)), Effect::None);
    assert_eq!(lives.on_announcement(now, &ready("a", 4)), Effect::None, "a leave is for good");
    assert_eq!(state(&lives), Some(BackEndState::Draining));
}

#[test]
fn an_end_without_a_leave_closes_for_good() {
    let now = Instant::now();
    let mut lives = BackEndLives::new(false);
    lives.on_announcement(now, &ready("a", 1));
    assert_eq!(lives.on_withdrawn(&BackEndProcess::of("a")), Effect::Close(CloseReason::Ends));
    assert_eq!(lives.on_announcement(now, &ready("a", 2)), Effect::None);
    assert_eq!(lives.on_confirmed(now, back_end("a")), Effect::None);
    assert_eq!(state(&lives), Some(BackEndState::Draining));
}

#[test]
fn a_new_life_takes_the_place_of_the_old_one_for_good() {
    let now = Instant::now();
    let mut lives = BackEndLives::new(false);
    lives.on_announcement(now, &ready("a", 7));
    assert_eq!(lives.on_announcement(now, &ready("b", 1)), Effect::Open(back_end("b")));
    assert_eq!(lives.on_announcement(now, &ready("a", 8)), Effect::None, "late words of an ended life");
    assert_eq!(lives.on_withdrawn(&BackEndProcess::of("a")), Effect::None);
    assert_eq!(state(&lives), Some(BackEndState::Ready));
}

#[test]
fn after_a_restart_the_back_end_is_asked_before_its_late_word_is_believed() {
    let now = Instant::now();
    let mut lives = BackEndLives::new(true);
    assert_eq!(lives.on_announcement(now, &ready("a", 5)), Effect::Confirm(back_end("a")));
    assert_eq!(state(&lives), Some(BackEndState::Unreachable));
    assert_eq!(lives.on_confirmed(now, back_end("a")), Effect::Open(back_end("a")));
    assert_eq!(state(&lives), Some(BackEndState::Ready));
}

#[test]
fn after_a_restart_the_answer_alone_is_enough() {
    let now = Instant::now();
    let mut lives = BackEndLives::new(true);
    assert_eq!(lives.on_confirmed(now, back_end("a")), Effect::Open(back_end("a")));
    assert_eq!(lives.on_announcement(now, &ready("a", 3)), Effect::None);
    assert_eq!(lives.on_announcement(now, &draining("a", 4)), Effect::Close(CloseReason::Leaves));
}

#[test]
fn a_back_end_out_of_reach_is_asked_until_it_answers() {
    let now = Instant::now();
    let mut lives = BackEndLives::new(false);
    lives.on_announcement(now, &ready("a", 1));
    assert_eq!(lives.on_unreachable(&BackEndProcess::of("a")), Effect::Confirm(back_end("a")));
    assert_eq!(lives.on_unreachable(&BackEndProcess::of("a")), Effect::None, "it is being asked already");
    assert_eq!(lives.on_announcement(now, &ready("a", 2)), Effect::Confirm(back_end("a")));
    assert_eq!(lives.on_confirmed(now, back_end("a")), Effect::Open(back_end("a")));
}

#[test]
fn a_word_tells_slots_and_how_long_the_back_end_is_slow_from_its_start() {
    let now = Instant::now();
    let mut lives = BackEndLives::new(false);
    let cold = Announcement { cold_for: Duration::from_secs(2), ..ready("a", 1) };
    lives.on_announcement(now, &cold);
    assert!(lives.record(now).unwrap().is_cold);
    assert_eq!(lives.cold_for(now), Duration::from_secs(2));
    assert!(!lives.record(now + Duration::from_secs(3)).unwrap().is_cold);
    let grown = Announcement { slots: 12, ..ready("a", 2) };
    let expected = BackEnd { slots: 12, ..back_end("a") };
    assert_eq!(lives.on_announcement(now, &grown), Effect::Open(expected));
}

/// The life of `instance` that began at `born`.
fn life(instance: &str, born: u64) -> BackEndProcess {
    BackEndProcess { instance: instance.to_owned(), born: Some(born) }
}

fn ready_in(life: &BackEndProcess, sequence: u64) -> Announcement {
    Announcement { life: life.clone(), ..ready("a", sequence) }
}

fn open_in(life: &BackEndProcess) -> Effect {
    Effect::Open(BackEnd { life: life.clone(), ..back_end("a") })
}

#[test]
fn a_life_under_the_same_identity_is_another_one_whatever_its_count() {
    let now = Instant::now();
    let mut lives = BackEndLives::new(false);
    let (first, second) = (life("a", 100), life("a", 200));
    lives.on_announcement(now, &ready_in(&first, 70));
    assert_eq!(lives.on_announcement(now, &ready_in(&second, 1)), open_in(&second));
    assert_eq!(lives.on_announcement(now, &ready_in(&first, 71)), Effect::None, "a late word");
    assert_eq!(lives.on_withdrawn(&first), Effect::None);
    assert_eq!(lives.on_withdrawn(&second), Effect::Close(CloseReason::Ends));
    let third = life("a", 300);
    assert_eq!(lives.on_announcement(now, &ready_in(&third, 1)), open_in(&third));
}

#[test]
fn a_late_word_of_a_life_that_was_never_heard_of_changes_nothing() {
    let now = Instant::now();
    let mut lives = BackEndLives::new(false);
    let (unheard, present) = (life("a", 100), life("b", 200));
    lives.on_announcement(now, &ready_in(&present, 5));
    assert_eq!(lives.on_announcement(now, &ready_in(&unheard, 9)), Effect::None);
    assert_eq!(state(&lives), Some(BackEndState::Ready));
    let later = now + Duration::from_secs(7);
    assert_eq!(
        lives.on_announcement(later, &ready_in(&unheard, 10)),
        open_in(&unheard),
        "the clock went back"
    );
    assert_eq!(lives.on_announcement(later, &ready_in(&present, 5)), Effect::None);
    assert_eq!(lives.on_announcement(later, &ready_in(&present, 6)), open_in(&present), "it was silent only");
}

#[test]
fn a_back_end_that_is_well_again_may_be_in_its_next_life() {
    let now = Instant::now();
    let mut lives = BackEndLives::new(false);
    let (first, second) = (life("a", 100), life("a", 200));
    lives.on_announcement(now, &ready_in(&first, 70));
    lives.on_unreachable(&first);
    assert_eq!(lives.on_confirmed(now, back_end("a")), Effect::Open(back_end("a")));
    assert_eq!(lives.on_announcement(now, &ready_in(&second, 1)), open_in(&second));
    assert_eq!(lives.on_announcement(now, &ready_in(&first, 71)), Effect::None);
}

/// The process has just started: it knows from the back end's answer that it is well, and not when it began.
#[test]
fn a_life_of_unknown_start_that_leaves_does_not_close_the_next_one() {
    let now = Instant::now();
    let (first, second) = (life("a", 100), life("a", 200));
    for tells_start in [true, false] {
        let mut lives = BackEndLives::new(true);
        lives.on_confirmed(now, back_end("a"));
        let leaving = if tells_start { first.clone() } else { BackEndProcess::of("a") };
        assert_eq!(lives.on_withdrawn(&leaving), Effect::Close(CloseReason::Ends));
        assert_eq!(lives.on_announcement(now, &ready_in(&first, 7)), Effect::None, "a late word");
        let later = now + Duration::from_secs(7);
        assert_eq!(lives.on_announcement(later, &ready_in(&second, 1)), open_in(&second), "{tells_start}");
    }
    let mut lives = BackEndLives::new(true);
    lives.on_confirmed(now, back_end("a"));
    let leaving = Announcement { life: first.clone(), ..draining("a", 9) };
    assert_eq!(lives.on_announcement(now, &leaving), Effect::Close(CloseReason::Leaves));
    assert_eq!(lives.on_announcement(now, &ready_in(&second, 1)), open_in(&second));
}

quickcheck! {
    /// Words of several lives under one identity may come late, twice and in any order: one that has said that it leaves never takes work again.
    fn a_life_that_leaves_never_opens_again_under_one_identity(words: Vec<(u8, u8, u8, u8)>) -> bool {
        let mut now = Instant::now();
        let mut lives = BackEndLives::new(false);
        let mut left = [false; 3];
        for (which, kind, sequence, pause) in words {
            now += Duration::from_millis(u64::from(pause) * 50);
            let number = usize::from(which % 3);
            let told = life("a", 100 + number as u64);
            let effect = match kind % 4 {
                0 => lives.on_announcement(now, &Announcement { life: told, ..draining("a", u64::from(sequence)) }),
                1 => lives.on_withdrawn(&told),
                2 => lives.on_unreachable(&told),
                _ => lives.on_announcement(now, &ready_in(&told, u64::from(sequence))),
            };
            if let Effect::Open(opened) = &effect
                && opened.life.born.is_some_and(|born| left[usize::try_from(born - 100).unwrap()])
            {
                return false;
            }
            left[number] |= matches!(effect, Effect::Close(_));
        }
        true
    }


    /// Words may come late, twice and in any order: a life that has said that it leaves never takes work again.
    fn a_life_that_leaves_never_opens_again(words: Vec<(u8, u8, u8)>) -> bool {
        let now = Instant::now();
        let mut lives = BackEndLives::new(false);
        let mut left = [false; 3];
        for (which, kind, sequence) in words {
            let number = usize::from(which % 3);
            let instance = ["a", "b", "c"][number];
            let effect = match kind % 4 {
                0 => lives.on_announcement(now, &draining(instance, u64::from(sequence))),
                1 => lives.on_withdrawn(&BackEndProcess::of(instance)),
                2 => lives.on_confirmed(now, back_end(instance)),
                _ => lives.on_announcement(now, &ready(instance, u64::from(sequence))),
            };
            if let Effect::Open(opened) = &effect
                && ["a", "b", "c"].iter().zip(left).any(|(name, left)| opened.life.instance == *name && left)
            {
                return false;
            }
            left[number] |= matches!(effect, Effect::Close(_));
        }
        true
    }
}
