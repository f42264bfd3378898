//! Notices of back ends that restart, and the bound on their number.

use std::time::{Duration, Instant};

use umberpond_model::{BackEndProcess, NodeName, RequestRate};
use umberpond_scheduling::LimitReport;

use super::{BackEndNotices, MAX_NOTICES};
use crate::upstream::BackEndSignals;

const LATER: Duration = Duration::from_secs(1);

fn rate() -> RequestRate {
    RequestRate::per_second(12.3).unwrap()
}

fn signals(limit: LimitReport, is_leaving: bool) -> BackEndSignals {
    BackEndSignals { limit, has_invalid_limit: false, is_leaving }
}

fn node(number: usize) -> NodeName {
    format!("node-{number}").parse().unwrap()
}

fn process(started_at: Option<u64>) -> BackEndProcess {
    BackEndProcess { instance: "i-1".to_owned(), started_at }
}

#[test]
fn notice_holds_while_the_start_of_the_process_is_unknown() {
    let (now, mut notices) = (Instant::now(), BackEndNotices::default());
    notices.on_response(now, now, &node(1), &process(Some(7)), signals(LimitReport::Limited(rate()), true));
    assert_eq!(notices.limit(&node(1), &process(None)), Some(rate()));
    assert!(notices.is_leaving(&node(1), &process(None)));
}

#[test]
fn notice_ends_with_its_process() {
    let (now, mut notices) = (Instant::now(), BackEndNotices::default());
    notices.on_response(now, now, &node(1), &process(Some(7)), signals(LimitReport::Limited(rate()), true));
    let next = process(Some(8));
    assert_eq!(notices.limit(&node(1), &next), None);
    assert!(!notices.is_leaving(&node(1), &next));
    let change = notices.on_response(now, now, &node(1), &next, signals(LimitReport::Limited(rate()), false));
    assert_eq!((change.limit_before, change.limit), (None, Some(rate())));
    assert!(!notices.is_leaving(&node(1), &next));
}

#[test]
fn response_without_a_limit_ends_it_and_leaving_stays() {
    let (now, mut notices) = (Instant::now(), BackEndNotices::default());
    notices.on_response(now, now, &node(1), &process(None), signals(LimitReport::Limited(rate()), true));
    let change = notices.on_response(
        now + LATER,
        now + LATER,
        &node(1),
        &process(None),
        signals(LimitReport::Unlimited, false),
    );
    assert_eq!((change.limit_before, change.limit), (Some(rate()), None));
    assert!(notices.is_leaving(&node(1), &process(None)));
}

#[test]
fn number_of_notices_is_bounded() {
    let (now, mut notices) = (Instant::now(), BackEndNotices::default());
    for number in 0..=MAX_NOTICES {
        notices.on_response(now, now, &node(number), &process(None), signals(LimitReport::Unknown, true));
    }
    assert!(!notices.is_leaving(&node(0), &process(None)));
    assert!(notices.is_leaving(&node(1), &process(None)));
    assert_eq!(notices.added.len(), MAX_NOTICES);
}

#[test]
fn leaving_of_a_back_end_without_identity_is_not_noted() {
    let (now, mut notices) = (Instant::now(), BackEndNotices::default());
    let unnamed = BackEndProcess::unnamed();
    let change = notices.on_response(now, now, &node(1), &unnamed, signals(LimitReport::Unknown, true));
    assert!(!change.has_begun_to_leave);
    assert!(!notices.is_leaving(&node(1), &unnamed));
}

#[test]
fn notice_of_one_back_end_does_not_affect_others_with_the_same_identity() {
    let (now, mut notices) = (Instant::now(), BackEndNotices::default());
    let unnamed = BackEndProcess::unnamed();
    notices.on_response(now, now, &node(1), &unnamed, signals(LimitReport::Limited(rate()), false));
    assert_eq!(notices.limit(&node(1), &unnamed), Some(rate()));
    assert_eq!(notices.limit(&node(2), &unnamed), None);
}

#[test]
fn notice_of_an_ended_limit_is_removed() {
    let (now, mut notices) = (Instant::now(), BackEndNotices::default());
    notices.on_response(now, now, &node(1), &process(None), signals(LimitReport::Limited(rate()), false));
    assert!(!notices.is_empty());
    notices.on_response(now, now, &node(1), &process(None), signals(LimitReport::Unlimited, false));
    assert!(notices.is_empty());
    assert!(notices.added.is_empty());
}
