//! Tests of which process of the back end is the current one and whether it accepts new requests.

use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use umberpond_daemon::back_end::{
    AnnouncedState, Announcement, BackEndAssignment, BackEndTracker, CloseReason, Effect, ForeignAnnouncement,
};
use umberpond_forwarding::BackEnd;
use umberpond_membership::{BackEndRecord, BackEndState};
use umberpond_model::BackEndProcess;

fn announcement(instance: &str, state: AnnouncedState, sequence: u64) -> Announcement {
    Announcement {
        process: BackEndProcess::of(instance),
        release: None,
        service: "archive".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        slots: 9,
        state,
        cold_for: Duration::ZERO,
        sequence,
    }
}

fn ready_for(instance: &str, sequence: u64) -> Announcement {
    announcement(instance, AnnouncedState::Ready, sequence)
}

fn draining(instance: &str, sequence: u64) -> Announcement {
    announcement(instance, AnnouncedState::Draining, sequence)
}

fn back_end(instance: &str) -> BackEnd {
    BackEnd {
        process: BackEndProcess::of(instance),
        release: None,
        service: "archive".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        slots: 9,
    }
}

fn assignment(service: &str, announces_itself: bool) -> BackEndAssignment {
    let address = Some(back_end("a").address);
    BackEndAssignment { service: service.parse().unwrap(), address, announces_itself }
}

fn new_tracker(is_restarted: bool) -> BackEndTracker {
    BackEndTracker::new(assignment("archive", true), is_restarted)
}

/// Tracks a back end that sends no announcements, so that health checks find it.
fn tracker_with_health_checks(is_restarted: bool) -> BackEndTracker {
    BackEndTracker::new(assignment("archive", false), is_restarted)
}

/// The record that an earlier process of the node published.
fn earlier_record(process: &BackEndProcess, state: BackEndState) -> BackEndRecord {
    BackEndRecord {
        instance: process.to_string(),
        service: "archive".parse().unwrap(),
        release: None,
        slots: 9,
        state,
        is_cold: false,
        request_limit: None,
    }
}

/// The tracker of a node that has restarted, and has learned from another node that its back end is `a`, which a
/// health check has confirmed. Neither tells the start time.
fn restarted_tracker(now: Instant) -> BackEndTracker {
    let mut tracker = new_tracker(true);
    let record = earlier_record(&BackEndProcess::of("a"), BackEndState::Ready);
    assert_eq!(tracker.on_earlier_record(now, &record), Effect::Confirm(back_end("a")));
    assert_eq!(tracker.on_confirmed(now, back_end("a")), Effect::Open(back_end("a")));
    tracker
}

fn announce(tracker: &mut BackEndTracker, now: Instant, announcement: &Announcement) -> Effect {
    tracker.on_announcement(now, announcement).unwrap()
}

/// Announces a back end of another identity than the current one, and answers the health check that asks for its
/// identity.
fn replace(tracker: &mut BackEndTracker, now: Instant, announcement: &Announcement) {
    let effect = announce(tracker, now, announcement);
    assert!(matches!(effect, Effect::Identify(_)), "{effect:?}");
    meet_back_end(tracker, now, &announcement.process.instance, &effect);
    assert_eq!(tracker.current().map(|(current, _)| &current.process), Some(&announcement.process));
    assert_eq!(state(tracker), Some(BackEndState::Ready));
}

fn state(tracker: &BackEndTracker) -> Option<BackEndState> {
    tracker.record(Instant::now()).map(|record| record.state)
}

#[test]
fn only_the_first_of_equal_announcements_opens_the_back_end() {
    let now = Instant::now();
    let mut tracker = new_tracker(false);
    assert_eq!(announce(&mut tracker, now, &ready_for("a", 1)), Effect::Open(back_end("a")));
    assert_eq!(announce(&mut tracker, now, &ready_for("a", 2)), Effect::None);
    assert_eq!(state(&tracker), Some(BackEndState::Ready));
}

#[test]
fn announcement_does_not_reopen_a_back_end_whose_response_said_that_it_is_leaving() {
    let now = Instant::now();
    let mut tracker = new_tracker(false);
    announce(&mut tracker, now, &ready_for("a", 1));
    assert_eq!(tracker.on_leaving(now, &BackEndProcess::of("a")), Effect::Close(CloseReason::Leaving));
    assert_eq!(tracker.on_leaving(now, &BackEndProcess::of("a")), Effect::None);
    let grown = Announcement { slots: 12, ..ready_for("a", 2) };
    assert_eq!(announce(&mut tracker, now, &grown), Effect::None);
    assert_eq!(announce(&mut tracker, now, &draining("a", 3)), Effect::None);
    assert_eq!(state(&tracker), Some(BackEndState::Draining));
    assert_eq!(announce(&mut tracker, now, &ready_for("b", 1)), Effect::Open(back_end("b")));
}

#[test]
fn back_end_without_identity_that_left_is_reopened_after_it_was_unreachable() {
    let now = Instant::now();
    let mut tracker = tracker_with_health_checks(false);
    let unnamed = BackEnd { process: BackEndProcess::unnamed(), ..back_end("a") };
    assert_eq!(tracker.on_confirmed(now, unnamed.clone()), Effect::Open(unnamed.clone()));
    assert_eq!(tracker.on_leaving(now, &unnamed.process), Effect::Close(CloseReason::Leaving));
    assert_eq!(tracker.on_confirmed(now, unnamed.clone()), Effect::None);
    assert_eq!(tracker.on_unreachable(&unnamed.process), Effect::None);
    assert_eq!(tracker.on_confirmed(now, unnamed.clone()), Effect::Open(unnamed));
}

#[test]
fn back_end_without_identity_that_left_is_reopened_if_it_stays_healthy() {
    let now = Instant::now();
    let mut tracker = tracker_with_health_checks(false);
    let unnamed = BackEnd { process: BackEndProcess::unnamed(), ..back_end("a") };
    tracker.on_confirmed(now, unnamed.clone());
    tracker.on_leaving(now, &unnamed.process);
    assert_eq!(tracker.on_confirmed(now + Duration::from_secs(5), unnamed.clone()), Effect::None);
    let reopened = tracker.on_confirmed(now + Duration::from_secs(7), unnamed.clone());
    assert_eq!(reopened, Effect::Open(unnamed));
}

#[test]
fn a_delayed_announcement_does_not_reopen_a_draining_back_end() {
    let now = Instant::now();
    let mut tracker = new_tracker(false);
    announce(&mut tracker, now, &ready_for("a", 1));
    assert_eq!(announce(&mut tracker, now, &draining("a", 3)), Effect::Close(CloseReason::Draining));
    assert_eq!(announce(&mut tracker, now, &ready_for("a", 2)), Effect::None);
    assert_eq!(announce(&mut tracker, now, &ready_for("a", 4)), Effect::None, "draining is final");
    assert_eq!(state(&tracker), Some(BackEndState::Draining));
}

#[test]
fn a_withdrawn_process_that_never_drained_does_not_reopen() {
    let now = Instant::now();
    let mut tracker = new_tracker(false);
    announce(&mut tracker, now, &ready_for("a", 1));
    assert_eq!(tracker.on_withdrawn(now, &BackEndProcess::of("a")), Effect::Close(CloseReason::Withdrawn));
    assert_eq!(announce(&mut tracker, now, &ready_for("a", 2)), Effect::None);
    assert_eq!(tracker.on_confirmed(now, back_end("a")), Effect::None);
    assert_eq!(state(&tracker), Some(BackEndState::Draining));
}

#[test]
fn a_replaced_process_does_not_become_current_again() {
    let now = Instant::now();
    let mut tracker = new_tracker(false);
    announce(&mut tracker, now, &ready_for("a", 7));
    replace(&mut tracker, now, &ready_for("b", 1));
    let delayed = announce(&mut tracker, now, &ready_for("a", 7));
    assert_eq!(delayed, Effect::None, "delayed announcement of an ended process");
    let delayed = announce(&mut tracker, now, &ready_for("a", 8));
    meet_back_end(&mut tracker, now, "b", &delayed);
    assert_eq!(tracker.current().map(|(current, _)| current), Some(&back_end("b")));
    assert_eq!(tracker.on_withdrawn(now, &BackEndProcess::of("a")), Effect::None);
    assert_eq!(state(&tracker), Some(BackEndState::Ready));
}

#[test]
fn an_announcement_after_a_node_restart_needs_confirmation() {
    let now = Instant::now();
    let mut tracker = new_tracker(true);
    assert_eq!(announce(&mut tracker, now, &ready_for("a", 5)), Effect::Confirm(back_end("a")));
    assert_eq!(state(&tracker), Some(BackEndState::Unreachable));
    assert_eq!(tracker.on_confirmed(now, back_end("a")), Effect::Open(back_end("a")));
    assert_eq!(state(&tracker), Some(BackEndState::Ready));
}

/// If another node remembers it from the earlier process.
#[test]
fn a_health_check_after_a_node_restart_needs_no_announcement() {
    let now = Instant::now();
    let mut tracker = restarted_tracker(now);
    assert_eq!(announce(&mut tracker, now, &ready_for("a", 3)), Effect::Open(back_end("a")));
    assert_eq!(announce(&mut tracker, now, &ready_for("a", 3)), Effect::None);
    assert_eq!(announce(&mut tracker, now, &draining("a", 4)), Effect::Close(CloseReason::Draining));
}

/// A false health check opened a back end that had been withdrawn, since the acknowledgement was known only to the
/// process that had given it.
#[test]
fn health_check_alone_does_not_open_a_back_end_after_a_node_restart() {
    let now = Instant::now();
    let mut tracker = new_tracker(true);
    assert_eq!(tracker.on_confirmed(now, back_end("a")), Effect::None);
    assert_eq!(state(&tracker), None);
    assert_eq!(announce(&mut tracker, now, &ready_for("a", 1)), Effect::Confirm(back_end("a")));
    assert_eq!(tracker.on_confirmed(now, back_end("a")), Effect::Open(back_end("a")));
}

/// Whichever of them arrives first: what another node remembers, a false health check, a late announcement, a stale
/// record of another node.
#[test]
fn departure_that_another_node_remembers_closes_the_back_end_for_good() {
    let now = Instant::now();
    let first = process("a", 100);
    let departure = earlier_record(&first, BackEndState::Draining);
    let stale = earlier_record(&first, BackEndState::Ready);
    for departure_at in 0..4 {
        let mut tracker = new_tracker(true);
        for step in 0..4 {
            if step == departure_at {
                tracker.on_earlier_record(now, &departure);
                assert_eq!(state(&tracker), Some(BackEndState::Draining), "{departure_at}");
            }
            let effect = match step {
                0 => tracker.on_earlier_record(now, &stale),
                1 => tracker.on_confirmed(now, back_end("a")),
                2 => announce(&mut tracker, now, &ready_announcement(&first, 7)),
                _ => tracker.on_unreachable(&first),
            };
            meet_back_end(&mut tracker, now, "a", &effect);
            let is_open = state(&tracker) == Some(BackEndState::Ready);
            assert!(!is_open || step < departure_at, "step {step}, departure {departure_at}");
        }
        let second = process("a", 200);
        let effect = announce(&mut tracker, now, &ready_announcement(&second, 1));
        meet_back_end(&mut tracker, now, "a", &effect);
        assert_eq!(state(&tracker), Some(BackEndState::Ready), "the next process under the identity");
        assert_eq!(tracker.on_earlier_record(now, &departure), Effect::None);
        assert_eq!(
            tracker.on_earlier_record(now, &earlier_record(&BackEndProcess::of("a"), BackEndState::Draining)),
            Effect::None
        );
        assert_eq!(state(&tracker), Some(BackEndState::Ready));
    }
}

/// The node has restarted, and the withdrawal is the first that it hears of its back end. Other nodes remember that the
/// back end accepts requests, and may have to tell that to another process of the node.
#[test]
fn withdrawal_of_an_unknown_process_is_published() {
    let now = Instant::now();
    let first = process("a", 100);
    let mut tracker = new_tracker(true);
    assert_eq!(tracker.on_withdrawn(now, &first), Effect::Close(CloseReason::Withdrawn));
    assert_eq!(tracker.departed(), Some(first.clone()));
    assert_eq!(tracker.on_earlier_record(now, &earlier_record(&first, BackEndState::Ready)), Effect::None);
    assert_eq!(tracker.on_confirmed(now, back_end("a")), Effect::None);
    assert_eq!(announce(&mut tracker, now, &ready_announcement(&first, 7)), Effect::None);
    assert_eq!(state(&tracker), Some(BackEndState::Draining));
}

/// Once the store has told which process has departed last, a health check may introduce any other.
#[test]
fn health_check_introduces_a_back_end_that_has_not_departed() {
    let now = Instant::now();
    let (first, second) = (process("a", 100), process("a", 200));
    let mut tracker = new_tracker(true);
    assert_eq!(tracker.on_departure_read(None), Effect::None);
    assert_eq!(tracker.on_confirmed(now, back_end("a")), Effect::Open(back_end("a")));
    assert_eq!(tracker.on_departure_read(Some(&first)), Effect::Close(CloseReason::Remembered));

    let mut tracker = new_tracker(true);
    assert_eq!(tracker.on_departure_read(Some(&first)), Effect::None);
    assert_eq!(tracker.on_confirmed(now, back_end("b")), Effect::Open(back_end("b")));

    let mut tracker = new_tracker(true);
    assert_eq!(tracker.on_departure_read(Some(&first)), Effect::None);
    assert_eq!(tracker.on_confirmed(now, back_end("a")), Effect::None, "the start time is unknown");
    let record = earlier_record(&second, BackEndState::Ready);
    assert!(matches!(tracker.on_earlier_record(now, &record), Effect::Confirm(_)), "a later process");
    assert_eq!(tracker.on_confirmed(now, back_end("a")), Effect::Open(back_end("a")));
}

#[test]
fn earlier_record_of_another_service_is_ignored() {
    let now = Instant::now();
    let mut tracker = new_tracker(true);
    let record = earlier_record(&BackEndProcess::of("a"), BackEndState::Ready);
    let record = BackEndRecord { service: "billing".parse().unwrap(), ..record };
    assert_eq!(tracker.on_earlier_record(now, &record), Effect::None);
    assert_eq!(state(&tracker), None);
}

#[test]
fn an_unreachable_back_end_stays_closed_until_it_is_confirmed() {
    let now = Instant::now();
    let mut tracker = new_tracker(false);
    announce(&mut tracker, now, &ready_for("a", 1));
    assert_eq!(tracker.on_unreachable(&BackEndProcess::of("a")), Effect::Confirm(back_end("a")));
    assert_eq!(
        tracker.on_unreachable(&BackEndProcess::of("a")),
        Effect::None,
        "it is being confirmed already"
    );
    assert_eq!(announce(&mut tracker, now, &ready_for("a", 2)), Effect::Confirm(back_end("a")));
    assert_eq!(tracker.on_confirmed(now, back_end("a")), Effect::Open(back_end("a")));
}

#[test]
fn an_announcement_updates_slots_and_warm_up_time() {
    let now = Instant::now();
    let mut tracker = new_tracker(false);
    let cold = Announcement { cold_for: Duration::from_secs(2), ..ready_for("a", 1) };
    announce(&mut tracker, now, &cold);
    assert!(tracker.record(now).unwrap().is_cold);
    assert_eq!(tracker.cold_for(now), Duration::from_secs(2));
    assert!(!tracker.record(now + Duration::from_secs(3)).unwrap().is_cold);
    let grown = Announcement { slots: 12, ..ready_for("a", 2) };
    let expected = BackEnd { slots: 12, ..back_end("a") };
    assert_eq!(announce(&mut tracker, now, &grown), Effect::Open(expected));
}

/// The process of `instance` that started at `started_at`.
fn process(instance: &str, started_at: u64) -> BackEndProcess {
    BackEndProcess { instance: instance.to_owned(), started_at: Some(started_at) }
}

fn ready_announcement(process: &BackEndProcess, sequence: u64) -> Announcement {
    Announcement { process: process.clone(), ..ready_for("a", sequence) }
}

fn open_effect(process: &BackEndProcess) -> Effect {
    Effect::Open(BackEnd { process: process.clone(), ..back_end("a") })
}

#[test]
fn a_process_with_a_new_start_time_replaces_the_old_one_despite_a_lower_sequence() {
    let now = Instant::now();
    let mut tracker = new_tracker(false);
    let (first, second) = (process("a", 100), process("a", 200));
    announce(&mut tracker, now, &ready_announcement(&first, 70));
    assert_eq!(announce(&mut tracker, now, &ready_announcement(&second, 1)), open_effect(&second));
    assert_eq!(
        announce(&mut tracker, now, &ready_announcement(&first, 71)),
        Effect::None,
        "delayed announcement"
    );
    assert_eq!(tracker.on_withdrawn(now, &first), Effect::None);
    assert_eq!(tracker.on_withdrawn(now, &second), Effect::Close(CloseReason::Withdrawn));
    let third = process("a", 300);
    assert_eq!(announce(&mut tracker, now, &ready_announcement(&third, 1)), open_effect(&third));
}

#[test]
fn a_delayed_announcement_of_an_unknown_earlier_process_changes_nothing() {
    let now = Instant::now();
    let mut tracker = new_tracker(false);
    let (unknown, current) = (process("a", 100), process("b", 200));
    announce(&mut tracker, now, &ready_announcement(&current, 5));
    let effect = announce(&mut tracker, now, &ready_announcement(&unknown, 9));
    meet_back_end(&mut tracker, now, "b", &effect);
    assert_eq!(tracker.current().map(|(back_end, _)| &back_end.process), Some(&current));
    assert_eq!(state(&tracker), Some(BackEndState::Ready));
    let later = now + Duration::from_secs(7);
    assert_eq!(
        announce(&mut tracker, later, &ready_announcement(&unknown, 10)),
        open_effect(&unknown),
        "the clock was set back"
    );
    assert_eq!(announce(&mut tracker, later, &ready_announcement(&current, 5)), Effect::None);
    // It was only silent.
    replace(&mut tracker, later, &ready_announcement(&current, 6));
}

#[test]
fn a_back_end_that_is_reachable_again_may_be_a_new_process() {
    let now = Instant::now();
    let mut tracker = new_tracker(false);
    let (first, second) = (process("a", 100), process("a", 200));
    announce(&mut tracker, now, &ready_announcement(&first, 70));
    tracker.on_unreachable(&first);
    assert_eq!(tracker.on_confirmed(now, back_end("a")), Effect::Open(back_end("a")));
    assert_eq!(announce(&mut tracker, now, &ready_announcement(&second, 1)), open_effect(&second));
    assert_eq!(announce(&mut tracker, now, &ready_announcement(&first, 71)), Effect::None);
}

/// The node has just started: a health check has shown that the back end is healthy, but not when it started.
#[test]
fn draining_of_a_process_with_unknown_start_does_not_close_its_successor() {
    let now = Instant::now();
    let (first, second) = (process("a", 100), process("a", 200));
    for reports_start in [true, false] {
        let mut tracker = restarted_tracker(now);
        let leaving = if reports_start { first.clone() } else { BackEndProcess::of("a") };
        assert_eq!(tracker.on_withdrawn(now, &leaving), Effect::Close(CloseReason::Withdrawn));
        let expected = if reports_start { Effect::None } else { Effect::Close(CloseReason::Identified) };
        let delayed = announce(&mut tracker, now, &ready_announcement(&first, 7));
        assert_eq!(delayed, expected, "delayed announcement");
        assert_eq!(tracker.departed(), Some(first.clone()));
        let later = now + Duration::from_secs(7);
        assert_eq!(
            announce(&mut tracker, later, &ready_announcement(&second, 1)),
            open_effect(&second),
            "{reports_start}"
        );
    }
    let mut tracker = restarted_tracker(now);
    let leaving = Announcement { process: first.clone(), ..draining("a", 9) };
    assert_eq!(announce(&mut tracker, now, &leaving), Effect::Close(CloseReason::Draining));
    assert_eq!(announce(&mut tracker, now, &ready_announcement(&second, 1)), open_effect(&second));
}

/// A response of a back end whose start time was unknown said that it was leaving. Announcements of its successor under the
/// same identity were taken as its own for good.
#[test]
fn departed_process_of_unknown_start_does_not_lock_its_successor_out() {
    let mut now = Instant::now();
    let (first, second) = (process("a", 100), process("a", 200));
    let mut tracker = restarted_tracker(now);
    assert_eq!(tracker.on_leaving(now, &BackEndProcess::of("a")), Effect::Close(CloseReason::Leaving));
    for sequence in 1..6 {
        now += Duration::from_millis(1_500);
        announce(&mut tracker, now, &ready_announcement(&first, sequence));
        assert_eq!(tracker.departed(), Some(first.clone()), "it goes on announcing itself");
    }
    for sequence in 1..3 {
        now += Duration::from_millis(1_500);
        let effect = announce(&mut tracker, now, &ready_announcement(&second, sequence));
        meet_back_end(&mut tracker, now, "a", &effect);
    }
    assert_eq!(tracker.current().map(|(current, _)| &current.process), Some(&second));
    assert_eq!(state(&tracker), Some(BackEndState::Ready));
}

/// Hands a request to the back end, whose process is `instance`, if the gate is open, and answers the health
/// check that `effect` asks for.
fn meet_back_end(tracker: &mut BackEndTracker, now: Instant, instance: &str, effect: &Effect) {
    let next = match effect {
        // It rejects requests for another process.
        Effect::Open(opened) if opened.process.instance != instance => {
            tracker.on_unreachable(&opened.process)
        }
        Effect::Confirm(asked) | Effect::Identify(asked) if asked.process.instance == instance => {
            tracker.on_confirmed(now, asked.clone())
        }
        _ => return,
    };
    meet_back_end(tracker, now, instance, &next);
}

/// Announcements of earlier processes arrive seconds late, and a node that was restarted doesn't know that these
/// have ended. The present process was then refused for as long as it ran.
#[test]
fn late_announcement_of_an_earlier_process_does_not_lock_out_the_present_one() {
    for is_restarted in [true, false] {
        for late_at in 0..4 {
            let now = Instant::now();
            let mut tracker = new_tracker(is_restarted);
            for sequence in 5..9 {
                if sequence == 5 + late_at {
                    let effect = announce(&mut tracker, now, &ready_for("earlier", 70));
                    meet_back_end(&mut tracker, now, "present", &effect);
                }
                let effect = announce(&mut tracker, now, &ready_for("present", sequence));
                meet_back_end(&mut tracker, now, "present", &effect);
            }
            let (current, _) = tracker.current().unwrap();
            let seen = (current.process.instance.as_str(), state(&tracker));
            assert_eq!(seen, ("present", Some(BackEndState::Ready)), "late before announcement {late_at}");
        }
    }
}

/// A late announcement of an earlier process closed the present one for 6 s if no request showed the error. A health
/// check finds the present one, or none.
#[test]
fn present_process_stays_in_service_when_an_earlier_one_is_announced_late() {
    let now = Instant::now();
    for answering in ["present", "none"] {
        let mut tracker = new_tracker(false);
        announce(&mut tracker, now, &ready_for("present", 5));
        for (sequence, late) in [(6, ready_for("earlier", 70)), (7, draining("earlier", 71))] {
            let effect = announce(&mut tracker, now, &late);
            meet_back_end(&mut tracker, now, answering, &effect);
            assert_eq!(tracker.current().map(|(current, _)| current), Some(&back_end("present")));
            assert_eq!(state(&tracker), Some(BackEndState::Ready));
            assert_eq!(announce(&mut tracker, now, &ready_for("present", sequence)), Effect::None);
        }
    }
}

/// Announcements of another writer, with the right service and address, an unknown identity and a start time later than
/// any, took the place of the back end.
#[test]
fn announcements_of_an_identity_that_does_not_answer_do_not_replace_the_back_end() {
    let present = process("present", 100);
    for (is_restarted, is_first) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut now = Instant::now();
        let mut tracker = new_tracker(is_restarted);
        for sequence in 1..12 {
            let foreign = ready_announcement(&process("foreign", 1_000_000), sequence);
            let own = ready_announcement(&present, sequence);
            let leaving =
                Announcement { process: process("foreign", 1_000_001), ..draining("foreign", sequence) };
            let announcements =
                if is_first { [&foreign, &own, &leaving] } else { [&own, &foreign, &leaving] };
            for announcement in announcements {
                let effect = announce(&mut tracker, now, announcement);
                meet_back_end(&mut tracker, now, "present", &effect);
            }
            assert_eq!(tracker.current().map(|(current, _)| &current.process), Some(&present));
            assert_eq!(state(&tracker), Some(BackEndState::Ready));
            now += Duration::from_millis(1_500);
        }
    }
}

/// The node knew the back end by a health check only; after an announcement of another identity its own ones were
/// ignored for good.
#[test]
fn back_end_known_by_a_health_check_only_is_not_locked_out() {
    let now = Instant::now();
    let mut tracker = restarted_tracker(now);
    tracker.on_unreachable(&BackEndProcess::of("a"));
    announce(&mut tracker, now, &ready_for("earlier", 70));
    tracker.on_unreachable(&BackEndProcess::of("earlier"));
    let effect = announce(&mut tracker, now, &ready_for("a", 1));
    meet_back_end(&mut tracker, now, "a", &effect);
    assert_eq!(tracker.current().map(|(current, _)| current), Some(&back_end("a")));
    assert_eq!(state(&tracker), Some(BackEndState::Ready));
}

/// The process `a` that started at 100 was unreachable, and a health check has found the identity `a` again.
fn tracker_after_a_crash(now: Instant) -> BackEndTracker {
    let mut tracker = new_tracker(false);
    let first = process("a", 100);
    announce(&mut tracker, now, &ready_announcement(&first, 70));
    tracker.on_unreachable(&first);
    assert_eq!(tracker.on_confirmed(now, back_end("a")), Effect::Open(back_end("a")));
    tracker
}

/// The withdrawal of a process that had started again under its identity, and whose first announcement was still on
/// its way, was acknowledged and closed nothing.
#[test]
fn withdrawal_before_the_first_announcement_closes_a_restarted_back_end() {
    let now = Instant::now();
    let second = process("a", 200);
    let is_crash_noticed = [true, false];
    for mut tracker in is_crash_noticed.map(|is_noticed| {
        if is_noticed {
            return tracker_after_a_crash(now);
        }
        let mut tracker = new_tracker(false);
        announce(&mut tracker, now, &ready_announcement(&process("a", 100), 70));
        tracker
    }) {
        assert_eq!(tracker.on_withdrawn(now, &second), Effect::Close(CloseReason::Withdrawn));
        assert_eq!(announce(&mut tracker, now, &ready_announcement(&second, 1)), Effect::None, "delayed");
        assert_eq!(
            announce(&mut tracker, now, &ready_announcement(&process("a", 100), 71)),
            Effect::None,
            "delayed"
        );
        assert_eq!(tracker.on_confirmed(now, back_end("a")), Effect::None);
        assert_eq!(tracker.current().map(|(current, _)| current.process.clone()), Some(second.clone()));
        assert_eq!(state(&tracker), Some(BackEndState::Draining));
        let third = process("a", 300);
        assert_eq!(announce(&mut tracker, now, &ready_announcement(&third, 1)), open_effect(&third));
    }
}

/// The clock of the machine was set back between the two processes, so the one that leaves seems to have started first.
#[test]
fn withdrawal_closes_a_restarted_back_end_whose_clock_was_set_back() {
    let now = Instant::now();
    let mut tracker = tracker_after_a_crash(now);
    assert_eq!(tracker.on_withdrawn(now, &process("a", 50)), Effect::Close(CloseReason::Withdrawn));
    let first = process("a", 100);
    assert_eq!(
        announce(&mut tracker, now, &ready_announcement(&first, 71)),
        open_effect(&first),
        "it was only unreachable"
    );
}

/// A withdrawal may be late by seconds too.
#[test]
fn late_withdrawal_of_the_process_before_a_crash_does_not_close_its_successor_for_good() {
    let now = Instant::now();
    let (first, second) = (process("a", 100), process("a", 200));
    let mut tracker = tracker_after_a_crash(now);
    assert_eq!(tracker.on_withdrawn(now, &first), Effect::Close(CloseReason::Withdrawn));
    assert_eq!(announce(&mut tracker, now, &ready_announcement(&second, 1)), open_effect(&second));
    assert_eq!(tracker.on_withdrawn(now, &first), Effect::None);
    assert_eq!(state(&tracker), Some(BackEndState::Ready));
}

/// A late report that the process before a crash was draining kept its successor out for good.
#[test]
fn late_draining_of_the_process_before_a_crash_does_not_lock_its_successor_out() {
    let now = Instant::now();
    let mut tracker = tracker_after_a_crash(now);
    let late = Announcement { process: process("a", 100), ..draining("a", 71) };
    assert_eq!(announce(&mut tracker, now, &late), Effect::Close(CloseReason::Draining));
    let second = process("a", 200);
    assert_eq!(announce(&mut tracker, now, &ready_announcement(&second, 1)), open_effect(&second));
}

/// An announcement with a high sequence number, of another writer, hid that the back end was draining.
#[test]
fn draining_counts_whatever_sequence_number_was_announced_before() {
    let now = Instant::now();
    let mut tracker = new_tracker(false);
    let first = process("a", 100);
    announce(&mut tracker, now, &ready_announcement(&first, 1));
    announce(&mut tracker, now, &ready_for("a", 100_000));
    let leaving = Announcement { process: first.clone(), ..draining("a", 2) };
    assert_eq!(announce(&mut tracker, now, &leaving), Effect::Close(CloseReason::Draining));
    assert_eq!(announce(&mut tracker, now, &ready_for("a", 100_001)), Effect::None);
}

/// An announcement for another service, or for a back end at another address, took the place of the back end
/// beside the node: it got no requests as long as further ones followed.
#[test]
fn foreign_announcement_does_not_replace_the_back_end_of_the_settings() {
    let now = Instant::now();
    for is_restarted in [true, false] {
        let mut tracker = new_tracker(is_restarted);
        for sequence in 1..5 {
            let of_other_service =
                Announcement { service: "stranger".parse().unwrap(), ..ready_for("b", sequence) };
            let refused = tracker.on_announcement(now, &of_other_service);
            assert!(matches!(refused, Err(ForeignAnnouncement::Service { .. })), "{refused:?}");
            let elsewhere =
                Announcement { address: "10.0.0.9:80".parse().unwrap(), ..ready_for("b", sequence) };
            let refused = tracker.on_announcement(now, &elsewhere);
            assert!(matches!(refused, Err(ForeignAnnouncement::Address { .. })), "{refused:?}");
            let effect = announce(&mut tracker, now, &ready_for("a", sequence));
            meet_back_end(&mut tracker, now, "a", &effect);
            assert_eq!(tracker.current().map(|(current, _)| current), Some(&back_end("a")));
            assert_eq!(state(&tracker), Some(BackEndState::Ready));
        }
    }
}

#[test]
fn announcements_of_the_service_in_changed_settings_are_accepted() {
    let now = Instant::now();
    let mut tracker = new_tracker(false);
    announce(&mut tracker, now, &ready_for("a", 1));
    tracker.assign(assignment("billing", true));
    let of_new_service = Announcement { service: "billing".parse().unwrap(), ..ready_for("b", 1) };
    assert!(matches!(announce(&mut tracker, now, &of_new_service), Effect::Open(_)));
    assert!(tracker.on_announcement(now, &ready_for("a", 2)).is_err());
}

quickcheck! {
    /// Whatever announcements of earlier processes arrive late, in any order and with any numbers, the present
    /// process accepts requests after two further announcements of its own.
    fn present_process_is_ready_after_two_announcements(late: Vec<(u8, u8, bool)>, is_restarted: bool) -> bool {
        let now = Instant::now();
        let mut tracker = new_tracker(is_restarted);
        let mut own_sequence = 1;
        let announce_present = |tracker: &mut BackEndTracker, own_sequence: &mut u64| {
            *own_sequence += 1;
            let effect = announce(tracker, now, &ready_for("present", *own_sequence));
            meet_back_end(tracker, now, "present", &effect);
        };
        for (which, sequence, is_own_next) in late {
            let instance = ["a", "b", "c"][usize::from(which % 3)];
            let effect = announce(&mut tracker, now, &ready_for(instance, u64::from(sequence)));
            meet_back_end(&mut tracker, now, "present", &effect);
            if is_own_next {
                announce_present(&mut tracker, &mut own_sequence);
            }
        }
        announce_present(&mut tracker, &mut own_sequence);
        announce_present(&mut tracker, &mut own_sequence);
        let (current, _) = tracker.current().unwrap();
        current.process.instance == "present" && state(&tracker) == Some(BackEndState::Ready)
    }

    /// Announcements of several processes with one identity may arrive late, twice and in any order: a
    /// process that has closed never accepts requests again.
    fn a_closed_process_never_reopens_under_a_shared_identity(events: Vec<(u8, u8, u8, u8)>) -> bool {
        let mut now = Instant::now();
        let mut tracker = new_tracker(false);
        let mut left = [false; 3];
        for (which, kind, sequence, pause) in events {
            now += Duration::from_millis(u64::from(pause) * 50);
            let number = usize::from(which % 3);
            let process = process("a", 100 + number as u64);
            let effect = match kind % 5 {
                0 => announce(&mut tracker, now, &Announcement { process, ..draining("a", u64::from(sequence)) }),
                1 => tracker.on_withdrawn(now, &process),
                2 => tracker.on_unreachable(&process),
                _ => announce(&mut tracker, now, &ready_announcement(&process, u64::from(sequence))),
            };
            if let Effect::Open(opened) = &effect
                && opened.process.started_at.is_some_and(|started_at| left[usize::try_from(started_at - 100).unwrap()])
            {
                return false;
            }
            left[number] |= matches!(effect, Effect::Close(_));
        }
        true
    }

    /// Whatever has happened before, an acknowledged withdrawal leaves no process open that may be the withdrawn one.
    fn no_process_stays_open_after_its_withdrawal(events: Vec<(u8, u8, u8)>, withdrawn: u8) -> bool {
        let now = Instant::now();
        let mut tracker = new_tracker(false);
        for (which, kind, sequence) in events {
            let process = process("a", 100 + u64::from(which % 3));
            match kind % 4 {
                0 => announce(&mut tracker, now, &ready_announcement(&process, u64::from(sequence))),
                1 => tracker.on_unreachable(&process),
                2 => tracker.on_confirmed(now, back_end("a")),
                _ => tracker.on_withdrawn(now, &process),
            };
        }
        let withdrawn = process("a", 100 + u64::from(withdrawn % 3));
        tracker.on_withdrawn(now, &withdrawn);
        let Some((current, _)) = tracker.current() else { return true };
        state(&tracker) == Some(BackEndState::Draining) || withdrawn.started_before(&current.process)
    }

    /// Announcements may arrive late, twice and in any order: a process that has closed never accepts
    /// requests again.
    fn a_closed_process_never_reopens(events: Vec<(u8, u8, u8)>) -> bool {
        let now = Instant::now();
        let mut tracker = new_tracker(false);
        let mut left = [false; 3];
        for (which, kind, sequence) in events {
            let number = usize::from(which % 3);
            let instance = ["a", "b", "c"][number];
            let effect = match kind % 5 {
                0 => announce(&mut tracker, now, &draining(instance, u64::from(sequence))),
                1 => tracker.on_withdrawn(now, &BackEndProcess::of(instance)),
                2 => tracker.on_confirmed(now, back_end(instance)),
                3 => tracker.on_leaving(now, &BackEndProcess::of(instance)),
                _ => announce(&mut tracker, now, &ready_for(instance, u64::from(sequence))),
            };
            if let Effect::Open(opened) = &effect
                && ["a", "b", "c"].iter().zip(left).any(|(name, left)| opened.process.instance == *name && left)
            {
                return false;
            }
            left[number] |= matches!(effect, Effect::Close(_));
        }
        true
    }
}
