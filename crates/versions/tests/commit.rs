//! The commit rule and the floor round, step by step, on the schedules that each part of the rule exists for.

use umberpond_model::{Incarnation, NodeName, Nonce, Version};
use umberpond_versions::{
    CommitTracker, FloorBatcher, FloorRound, RoundState, Witness, WitnessAnswer, WitnessMessage, WitnessState,
};

const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);

fn names(letters: &str) -> Vec<NodeName> {
    letters.chars().map(|letter| NodeName::new(&letter.to_string()).unwrap()).collect()
}

fn answer(node: &str, incarnation: Incarnation, version: u64, witnesses: &str) -> WitnessAnswer {
    let node = NodeName::new(node).unwrap();
    WitnessAnswer { node, incarnation, version: Version(version), witnesses: names(witnesses) }
}

fn tracker(sets: &[&str]) -> CommitTracker {
    let mut tracker = CommitTracker::new();
    for (version, set) in sets.iter().enumerate() {
        tracker.on_record(Version(version as u64 + 1), &names(set)).unwrap();
    }
    tracker
}

/// Runs a check in which each sender of `confirming` replies with the same answer again.
fn check(tracker: &mut CommitTracker, nonce: u64, confirming: &[WitnessAnswer]) -> Version {
    tracker.begin_check(Nonce(nonce));
    for answer in confirming {
        tracker.on_reply(Nonce(nonce), answer);
    }
    tracker.abandon_check();
    tracker.committed()
}

fn hold_and_check(tracker: &mut CommitTracker, answers: &[WitnessAnswer]) -> Version {
    answers.iter().for_each(|answer| tracker.on_hold(answer));
    check(tracker, 1, answers)
}

fn recovered_by_platform(node: &str, incarnation: Incarnation, head: u64, set: &str) -> Witness {
    let mut witness = Witness::new(NodeName::new(node).unwrap(), incarnation, Nonce(9));
    witness.on_held(Version(head), &names(set));
    witness.on_head_read(Nonce(9), Version(head));
    assert!(witness.is_serving());
    witness
}

fn reply_of(witness: &Witness, nonce: u64) -> Option<WitnessAnswer> {
    match witness.on_query(Nonce(nonce)) {
        Some(WitnessMessage::Reply { answer, .. }) => Some(answer),
        _ => None,
    }
}

#[test]
fn versions_without_witnesses_commit_at_once() {
    assert_eq!(tracker(&["", "", ""]).committed(), Version(3));
    assert_eq!(tracker(&["", "abc", "abc"]).committed(), Version(1));
}

#[test]
fn one_hold_commits_all_versions_below_it() {
    let mut tracker = tracker(&["abc", "abc", "abc", "abc"]);
    let answers = [answer("a", FIRST, 4, "abc"), answer("b", FIRST, 3, "abc")];
    assert_eq!(hold_and_check(&mut tracker, &answers), Version(3));
}

#[test]
fn a_change_of_witnesses_needs_both_majorities() {
    let chain = ["abc", "abc", "cde", "cde"];
    let new_only = [answer("d", FIRST, 4, "cde"), answer("e", FIRST, 4, "cde")];
    assert_eq!(hold_and_check(&mut tracker(&chain), &new_only), Version(0));
    let old_only = [answer("a", FIRST, 4, "cde"), answer("b", FIRST, 4, "cde")];
    assert_eq!(hold_and_check(&mut tracker(&chain), &old_only), Version(2));
    let both = [old_only, new_only].concat();
    assert_eq!(hold_and_check(&mut tracker(&chain), &both), Version(4));
}

#[test]
fn a_tracker_that_starts_at_a_whole_transfer_needs_both_sets() {
    let mut tracker = CommitTracker::new();
    assert!(tracker.on_record(Version(7), &names("cde")).is_err());
    tracker.on_base(Version(7), &names("cde"), &names("abc"));
    let new = [answer("d", FIRST, 7, "cde"), answer("e", FIRST, 7, "cde")];
    assert_eq!(hold_and_check(&mut tracker, &new), Version(0));
    let both = [new.as_slice(), &[answer("a", FIRST, 7, "cde"), answer("b", FIRST, 7, "cde")]].concat();
    assert_eq!(hold_and_check(&mut tracker, &both), Version(7));
}

/// Witness `a` states that it holds 2, restarts, and recovers from `b` and `c` at 1 while its statement is still on
/// its way. Then `b` holds 2. Two holds have been sent, yet only `b` holds 2: a later round may meet `a` and `c`.
#[test]
fn a_hold_from_before_a_restart_does_not_commit() {
    let set = names("abc");
    let mut b = recovered_by_platform("b", FIRST, 1, "abc");
    let c = recovered_by_platform("c", FIRST, 1, "abc");
    let late_hold = answer("a", FIRST, 2, "abc");
    let mut a = Witness::new(NodeName::new("a").unwrap(), SECOND, Nonce(5));
    a.on_record(Version(1), &set);
    a.on_held(Version(1), &set);
    for other in [&b, &c] {
        assert!(!a.is_serving());
        a.on_reply(Nonce(5), &reply_of(other, 5).unwrap());
    }
    assert_eq!(a.state(), WitnessState::Serving { held: Version(1) });
    let hold_of_b = b.on_held(Version(2), &set);

    let mut tracker = tracker(&["abc", "abc"]);
    tracker.on_hold(&late_hold);
    assert!(hold_of_b.is_some());
    tracker.on_hold(&reply_of(&b, 0).unwrap());

    // Counting holds alone would commit 2 here, and the round below would then prove a floor of 1.
    let mut naive = tracker.clone();
    naive.begin_check(Nonce(3));
    naive.on_reply(Nonce(3), &late_hold);
    naive.on_reply(Nonce(3), &reply_of(&b, 3).unwrap());
    assert_eq!(naive.committed(), Version(2));
    let mut round = FloorRound::new(Nonce(4), Version(1), &set);
    round.on_reply(Nonce(4), &reply_of(&a, 4).unwrap());
    assert_eq!(round.on_reply(Nonce(4), &reply_of(&c, 4).unwrap()), RoundState::Proved(Version(1)));

    let replies = [reply_of(&a, 1).unwrap(), reply_of(&b, 1).unwrap()];
    assert_eq!(check(&mut tracker, 1, &replies), Version(0), "only b still holds 2");
}

#[test]
fn a_reply_to_an_earlier_check_confirms_nothing() {
    let mut tracker = tracker(&["abc"]);
    let answers = [answer("a", FIRST, 1, "abc"), answer("b", FIRST, 1, "abc")];
    answers.iter().for_each(|answer| tracker.on_hold(answer));
    assert_eq!(tracker.begin_check(Nonce(1)).len(), 2);
    tracker.abandon_check();
    tracker.begin_check(Nonce(2));
    answers.iter().for_each(|answer| assert_eq!(tracker.on_reply(Nonce(1), answer), None));
    assert_eq!(tracker.committed(), Version(0));
    tracker.on_reply(Nonce(2), &answers[0]);
    assert_eq!(tracker.on_reply(Nonce(2), &answers[1]), Some(Version(1)));
}

#[test]
fn a_restarted_witness_is_silent_until_it_holds_what_a_majority_holds() {
    let set = names("abc");
    let b = recovered_by_platform("b", FIRST, 6, "abc");
    let c = recovered_by_platform("c", FIRST, 4, "abc");
    let mut a = Witness::new(NodeName::new("a").unwrap(), SECOND, Nonce(5));
    assert!(a.on_held(Version(3), &set).is_none());
    a.on_record(Version(3), &set);
    assert_eq!(a.take_unasked(), names("bc"));
    a.on_reply(Nonce(4), &reply_of(&b, 4).unwrap());
    a.on_reply(Nonce(5), &answer("a", FIRST, 9, "abc"));
    a.on_reply(Nonce(5), &reply_of(&c, 5).unwrap());
    assert_eq!(a.state(), WitnessState::Recovering { nonce: Nonce(5) });
    a.on_reply(Nonce(5), &reply_of(&b, 5).unwrap());
    assert_eq!(a.state(), WitnessState::CatchingUp { floor: Version(6) });
    assert!(a.on_query(Nonce(1)).is_none());
    assert!(matches!(a.on_held(Version(6), &set), Some(WitnessMessage::Hold(_))));
}

#[test]
fn a_round_follows_to_the_set_that_a_reply_names() {
    let mut round = FloorRound::new(Nonce(1), Version(3), &names("abc"));
    assert_eq!(round.take_unasked(), names("abc"));
    assert_eq!(round.on_reply(Nonce(1), &answer("a", FIRST, 3, "abc")), RoundState::Asking);
    assert_eq!(round.on_reply(Nonce(2), &answer("b", FIRST, 3, "abc")), RoundState::Asking);
    assert_eq!(round.on_reply(Nonce(1), &answer("b", FIRST, 5, "bde")), RoundState::Asking);
    assert_eq!(round.take_unasked(), names("de"));
    assert_eq!(round.on_reply(Nonce(1), &answer("c", FIRST, 3, "abc")), RoundState::Asking);
    assert_eq!(round.on_reply(Nonce(1), &answer("d", FIRST, 4, "abc")), RoundState::Proved(Version(5)));
}

#[test]
fn a_round_without_witnesses_needs_the_platform() {
    let mut round = FloorRound::new(Nonce(1), Version(3), &[]);
    assert_eq!(round.on_record(Version(4), &[]), RoundState::Asking);
    assert_eq!(round.on_head_read(Nonce(2), Version(8)), RoundState::Asking);
    assert_eq!(round.on_head_read(Nonce(1), Version(8)), RoundState::Proved(Version(8)));
}

#[test]
fn questions_that_arrive_during_a_round_wait_for_the_next() {
    let mut batcher = FloorBatcher::new();
    batcher.ask("early", Nonce(1));
    assert!(batcher.begin(Nonce(10)));
    batcher.ask("late", Nonce(2));
    assert!(!batcher.begin(Nonce(11)));
    assert!(batcher.finish(Nonce(11), Version(9)).is_empty());
    let answers = batcher.finish(Nonce(10), Version(4));
    assert_eq!(answers.iter().map(|answer| answer.asker).collect::<Vec<_>>(), ["early"]);
    assert!(batcher.begin(Nonce(11)));
    batcher.ask("late", Nonce(3));
    batcher.abandon();
    assert!(batcher.begin(Nonce(12)));
    assert_eq!(batcher.finish(Nonce(12), Version(5))[0].nonce, Nonce(3));
}
