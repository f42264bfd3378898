//! Tests of the retry delays sent to refused callers, and of the estimated time since their first try.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use umberpond_model::RouteName;

use super::caller_timeouts::CallerTimeouts;
use super::retry_delay::RefusedRequest;
use crate::outcome::NotRunReason;

const DRAWS: usize = 500;
/// Timeout of a caller, objective of the route and service time of a back end. A caller waits for several
/// times its objective.
const CALLER_TIME: Duration = millis(1_000);
const OBJECTIVE: Duration = millis(250);
const SERVICE: Duration = millis(60);
/// Back ends reject immediately.
const REFUSED_AFTER: Duration = millis(10);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn refused(reason: NotRunReason) -> RefusedRequest {
    RefusedRequest {
        reason,
        retry_after: None,
        objective_left: OBJECTIVE - REFUSED_AFTER,
        caller_left: CALLER_TIME - REFUSED_AFTER,
        service: SERVICE,
        time_to_free_slot: None,
    }
}

fn delays(refused: &RefusedRequest) -> Vec<Duration> {
    let mut random = SmallRng::seed_from_u64(3);
    (0..DRAWS).map(|_| refused.retry_delay(&mut random)).collect()
}

/// Guards against callers missing their objective when back ends reject half of all requests for some seconds
/// while slots are free. With a fixed delay of 200 ms, callers were served after their objective, whatever
/// happened to their second try.
#[test]
fn retries_after_a_fault_are_spread_and_still_meet_the_objective() {
    for reason in [NotRunReason::BackEndRejected, NotRunReason::RetryBudget] {
        let delays = delays(&refused(reason));
        let way = millis(20);
        assert!(delays.iter().all(|after| REFUSED_AFTER + *after + way + SERVICE <= OBJECTIVE), "{delays:?}");
        let (first, last) = (delays.iter().min().unwrap(), delays.iter().max().unwrap());
        assert!(*last - *first >= millis(50), "{first:?} to {last:?}");
        for tenth in 0..10 {
            let from = *first + (*last - *first) * tenth / 10;
            let until = from + (*last - *first) / 10;
            let share = delays.iter().filter(|after| (from..=until).contains(after)).count();
            assert!(
                (DRAWS / 20..=DRAWS / 5).contains(&share),
                "{share} of {DRAWS} from {from:?} to {until:?}"
            );
        }
    }
}

#[test]
fn default_delay_applies_once_the_objective_can_not_be_met() {
    for objective_left in [Duration::ZERO, SERVICE, SERVICE + millis(5)] {
        let refused = RefusedRequest { objective_left, ..refused(NotRunReason::BackEndRejected) };
        assert!(delays(&refused).iter().all(|after| *after == millis(200)));
    }
}

#[test]
fn delay_proposed_by_the_node_applies_once_the_objective_can_not_be_met() {
    let late = RefusedRequest {
        objective_left: Duration::ZERO,
        retry_after: Some(millis(700)),
        ..refused(NotRunReason::BackEndRejected)
    };
    assert!(delays(&late).iter().all(|after| *after == millis(700)));
}

#[test]
fn retries_to_a_full_service_are_spread_and_not_earlier_than_the_proposed_delay() {
    for reason in [NotRunReason::Overloaded, NotRunReason::CallsOverloaded, NotRunReason::BackEndFull] {
        let third = (CALLER_TIME - REFUSED_AFTER) / 3;
        assert!(
            delays(&refused(reason)).iter().all(|after| *after >= third.mul_f64(0.69) && *after <= third)
        );
        let waits = RefusedRequest { retry_after: Some(millis(600)), ..refused(reason) };
        assert!(delays(&waits).iter().all(|after| *after == millis(600)));
    }
}

#[test]
fn retries_to_limited_back_ends_are_spread_and_not_later_than_callers_accept() {
    let third = (CALLER_TIME - REFUSED_AFTER) / 3;
    for retry_after in [None, Some(millis(100)), Some(millis(2_500))] {
        let limited = RefusedRequest { retry_after, ..refused(NotRunReason::RequestLimit) };
        assert!(delays(&limited).iter().all(|after| *after >= third.mul_f64(0.69) && *after <= third));
    }
}

#[test]
fn retries_to_a_full_back_end_wait_for_a_slot_only_if_the_objective_can_still_be_met() {
    let full = refused(NotRunReason::BackEndFull);
    let soon = RefusedRequest { time_to_free_slot: Some(millis(20)), ..full };
    let soon_delays = delays(&soon);
    assert!(soon_delays.iter().all(|after| *after >= millis(20)));
    assert!(soon_delays.iter().all(|after| REFUSED_AFTER + *after + SERVICE <= OBJECTIVE));
    assert!(*soon_delays.iter().max().unwrap() - *soon_delays.iter().min().unwrap() >= millis(50));
    let late = RefusedRequest { time_to_free_slot: Some(OBJECTIVE - SERVICE), ..full };
    assert!(
        delays(&late).iter().all(|after| *after >= millis(200)),
        "the delay must be that for a full service"
    );
}

#[test]
fn quarantined_request_is_not_retried_within_a_minute() {
    let delays = delays(&refused(NotRunReason::Quarantined));
    assert!(delays.iter().all(|after| *after == Duration::from_secs(60)));
}

#[test]
fn time_since_first_try_is_derived_from_the_next_longer_common_timeout() {
    let route: RouteName = "read".parse().unwrap();
    let mut timeouts = CallerTimeouts::default();
    assert_eq!(
        timeouts.time_since_first_try(&route, millis(700)),
        Duration::ZERO,
        "no timeout has been recorded yet"
    );
    for number in 0..40 {
        timeouts.record(&route, if number % 2 == 0 { millis(2_400) } else { millis(1_200) });
    }
    for (time, spent) in [(2_400, 0), (1_200, 0), (2_000, 400), (1_100, 100), (3_000, 0)] {
        assert_eq!(timeouts.time_since_first_try(&route, millis(time)), millis(spent), "{time}");
    }
}

/// Guards against missing retries where no timeout is common: the timeouts of callers differ by a sixth, and
/// under overload every second try is a retry.
#[test]
fn retries_are_recognized_even_if_no_timeout_is_common() {
    let route = RouteName::new("lookup").unwrap();
    let mut timeouts = CallerTimeouts::default();
    let first = |number: u64| millis(850 + number * 93 % 150);
    let later = |number: u64| millis(500 + number * 93 % 150);
    for number in 0..40 {
        assert!(!timeouts.record(&route, first(number)));
    }
    timeouts.on_refused(&route, CALLER_TIME);
    for number in 0..400 {
        assert!(!timeouts.record(&route, first(number)), "{number}");
        assert!(timeouts.record(&route, later(number)), "{number}");
    }
    let spent = timeouts.time_since_first_try(&route, millis(560));
    assert!(
        (millis(290)..=millis(440)).contains(&spent),
        "the timeouts of first tries are 850 to 1,000 ms: {spent:?}"
    );
}

/// Guards against taking the shorter timeout of one kind of callers for a retry of the other kind.
#[test]
fn shorter_timeouts_of_other_callers_are_not_taken_for_retries() {
    let route = RouteName::new("lookup").unwrap();
    let mut timeouts = CallerTimeouts::default();
    for number in 0..40_u64 {
        let time = if number % 2 == 0 { 2_400 } else { 1_200 };
        timeouts.record(&route, millis(time + number * 7 % 60));
    }
    timeouts.on_refused(&route, CALLER_TIME);
    assert!(!timeouts.record(&route, millis(1_230)));
    assert!(timeouts.record(&route, millis(1_800)));
    assert!(timeouts.record(&route, millis(700)));
}
