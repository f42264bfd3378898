//! When refused callers are told to come back, and what is known of their first try.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use umberpond_model::RouteName;

use super::caller_times::CallerTimes;
use super::come_back::RefusedRequest;
use crate::outcome::NotRunReason;

const DRAWS: usize = 500;
/// Time that a caller waits, its objective, and the time of a back end; a caller waits some times its objective.
const CALLER_TIME: Duration = millis(1_000);
const OBJECTIVE: Duration = millis(250);
const SERVICE: Duration = millis(60);
/// A back end that turns a request away does so at once.
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
        slot_wait: None,
    }
}

fn told(refused: &RefusedRequest) -> Vec<Duration> {
    let mut random = SmallRng::seed_from_u64(3);
    (0..DRAWS).map(|_| refused.come_back(&mut random)).collect()
}

/// Half of all arrivals are turned away for some seconds, with slots free. Callers that were told to come back after a fixed 200 ms were served after their
/// objective, whatever became of their second try.
#[test]
fn callers_come_back_from_a_fault_while_their_objective_can_be_met_and_not_together() {
    for reason in [NotRunReason::BackEndRejected, NotRunReason::RetryBudget] {
        let told = told(&refused(reason));
        let way = millis(20);
        assert!(told.iter().all(|after| REFUSED_AFTER + *after + way + SERVICE <= OBJECTIVE), "{told:?}");
        let (first, last) = (told.iter().min().unwrap(), told.iter().max().unwrap());
        assert!(*last - *first >= millis(50), "{first:?} to {last:?}");
        for tenth in 0..10 {
            let from = *first + (*last - *first) * tenth / 10;
            let until = from + (*last - *first) / 10;
            let share = told.iter().filter(|after| (from..=until).contains(after)).count();
            assert!(
                (DRAWS / 20..=DRAWS / 5).contains(&share),
                "{share} of {DRAWS} from {from:?} to {until:?}"
            );
        }
    }
}

#[test]
fn callers_whose_objective_can_not_be_met_any_more_come_back_as_usual() {
    for objective_left in [Duration::ZERO, SERVICE, SERVICE + millis(5)] {
        let refused = RefusedRequest { objective_left, ..refused(NotRunReason::BackEndRejected) };
        assert!(told(&refused).iter().all(|after| *after == millis(200)));
    }
}

#[test]
fn what_a_node_has_told_after_a_fault_holds_if_the_objective_can_not_be_met() {
    let late = RefusedRequest {
        objective_left: Duration::ZERO,
        retry_after: Some(millis(700)),
        ..refused(NotRunReason::BackEndRejected)
    };
    assert!(told(&late).iter().all(|after| *after == millis(700)));
}

#[test]
fn callers_come_back_to_a_full_service_spread_over_their_time_and_not_before_a_slot_is_expected() {
    for reason in [NotRunReason::Overloaded, NotRunReason::CallsOverloaded, NotRunReason::BackEndFull] {
        let third = (CALLER_TIME - REFUSED_AFTER) / 3;
        assert!(told(&refused(reason)).iter().all(|after| *after >= third.mul_f64(0.69) && *after <= third));
        let waits = RefusedRequest { retry_after: Some(millis(600)), ..refused(reason) };
        assert!(told(&waits).iter().all(|after| *after == millis(600)));
    }
}

#[test]
fn callers_come_back_to_a_full_back_end_when_a_slot_is_expected_and_their_objective_can_be_met() {
    let full = refused(NotRunReason::BackEndFull);
    let soon = RefusedRequest { slot_wait: Some(millis(20)), ..full };
    let told_soon = told(&soon);
    assert!(told_soon.iter().all(|after| *after >= millis(20)));
    assert!(told_soon.iter().all(|after| REFUSED_AFTER + *after + SERVICE <= OBJECTIVE));
    assert!(*told_soon.iter().max().unwrap() - *told_soon.iter().min().unwrap() >= millis(50));
    let late = RefusedRequest { slot_wait: Some(OBJECTIVE - SERVICE), ..full };
    assert!(told(&late).iter().all(|after| *after >= millis(200)), "as to a full service");
}

#[test]
fn a_request_that_has_ended_back_ends_comes_back_after_a_minute() {
    let told = told(&refused(NotRunReason::Quarantined));
    assert!(told.iter().all(|after| *after == Duration::from_secs(60)));
}

#[test]
fn the_time_since_the_first_try_is_what_is_missing_of_a_usual_time() {
    let route: RouteName = "read".parse().unwrap();
    let mut times = CallerTimes::default();
    assert_eq!(times.spent_before(&route, millis(700)), Duration::ZERO, "nothing is known yet");
    for number in 0..40 {
        times.record(&route, if number % 2 == 0 { millis(2_400) } else { millis(1_200) });
    }
    for (time, spent) in [(2_400, 0), (1_200, 0), (2_000, 400), (1_100, 100), (3_000, 0)] {
        assert_eq!(times.spent_before(&route, millis(time)), millis(spent), "{time}");
    }
}

/// Callers wait for times that differ by a sixth, and under overload every second try is a later one, so that no time is common.
#[test]
fn later_tries_are_known_where_first_ones_bring_many_times_and_later_ones_are_as_many() {
    let route = RouteName::new("lookup").unwrap();
    let mut times = CallerTimes::default();
    let first = |number: u64| millis(850 + number * 93 % 150);
    let later = |number: u64| millis(500 + number * 93 % 150);
    for number in 0..40 {
        assert!(!times.record(&route, first(number)));
    }
    times.on_refused(&route, CALLER_TIME);
    for number in 0..400 {
        assert!(!times.record(&route, first(number)), "{number}");
        assert!(times.record(&route, later(number)), "{number}");
    }
    let spent = times.spent_before(&route, millis(560));
    assert!((millis(290)..=millis(440)).contains(&spent), "a caller waits for 850 to 1,000 ms: {spent:?}");
}

/// Two kinds of callers: the shorter time of the one is no later try of the other.
#[test]
fn the_shorter_times_of_other_callers_are_those_of_first_tries() {
    let route = RouteName::new("lookup").unwrap();
    let mut times = CallerTimes::default();
    for number in 0..40_u64 {
        let time = if number % 2 == 0 { 2_400 } else { 1_200 };
        times.record(&route, millis(time + number * 7 % 60));
    }
    times.on_refused(&route, CALLER_TIME);
    assert!(!times.record(&route, millis(1_230)));
    assert!(times.record(&route, millis(1_800)));
    assert!(times.record(&route, millis(700)));
}
