//! The whole table of retry decisions, the budget and the deadline.

use umberpond_admission::AttemptStage::{
    AnswerBegun, Answered, Duplicate, NotConnected, NothingWritten, Refused, Written,
};
use umberpond_admission::RetryDecision::{Answer, RetryElsewhere};
use umberpond_admission::{
    AttemptStage, Deadline, LONGEST_DEADLINE, Outcome, RequestAttempts, RetryBudget, RetryBudgetSettings,
    RetryDecision,
};
use umberpond_model::{Millis, Timestamp};

const NOW: Timestamp = Timestamp(1_000);
const SOON: Millis = Millis(700);
const REFUSED: AttemptStage = Refused { retry_after: SOON };
const DEFAULT_REJECTION: RetryDecision = Answer(Outcome::Rejected { retry_after: Millis(1_000) });
const REJECTION: RetryDecision = Answer(Outcome::Rejected { retry_after: SOON });
const UNKNOWN: RetryDecision = Answer(Outcome::Unknown);
const ANSWERED: RetryDecision = Answer(Outcome::Answered);

fn budget(burst: u64) -> RetryBudget {
    let settings = RetryBudgetSettings { retries_per_thousand: 100, minimum_per_second: 0, burst };
    RetryBudget::new(settings, NOW)
}

fn decide(idempotent: bool, stage: AttemptStage, has_budget: bool, has_time: bool) -> RetryDecision {
    let deadline = Deadline::after(NOW, Millis(u64::from(has_time) * 500));
    let budget = budget(u64::from(has_budget) * 5);
    let decision = RequestAttempts::new(idempotent, deadline).on_attempt_ended(NOW, stage, &budget);
    let spent = u64::from(has_budget) * 5 - budget.left();
    assert_eq!(spent, u64::from(decision == RetryElsewhere), "a retry costs one, nothing else does");
    decision
}

#[test]
fn every_stage_with_and_without_idempotence_budget_and_time() {
    // stage, with idempotence, without it, and what is said when there is no retry for want of budget or time
    let table = [
        (NotConnected, RetryElsewhere, RetryElsewhere, DEFAULT_REJECTION),
        (NothingWritten, RetryElsewhere, RetryElsewhere, DEFAULT_REJECTION),
        (REFUSED, RetryElsewhere, RetryElsewhere, REJECTION),
        (Written, RetryElsewhere, UNKNOWN, UNKNOWN),
        (Duplicate, RetryElsewhere, UNKNOWN, UNKNOWN),
        (AnswerBegun, UNKNOWN, UNKNOWN, UNKNOWN),
        (Answered, ANSWERED, ANSWERED, ANSWERED),
    ];
    for (stage, idempotent, not_idempotent, without_retry) in table {
        assert_eq!(decide(true, stage, true, true), idempotent, "{stage:?}");
        assert_eq!(decide(false, stage, true, true), not_idempotent, "{stage:?}");
        for (is_idempotent, has_budget, has_time) in
            [(true, false, true), (true, true, false), (true, false, false)]
                .into_iter()
                .flat_map(|(_, budget, time)| [(true, budget, time), (false, budget, time)])
        {
            assert_eq!(decide(is_idempotent, stage, has_budget, has_time), without_retry, "{stage:?}");
        }
    }
}

#[test]
fn every_pair_of_attempts_is_called_rejected_only_if_neither_may_have_run() {
    let stages = [NotConnected, NothingWritten, REFUSED, Written, Duplicate, AnswerBegun, Answered];
    let did_not_run = |stage| matches!(stage, NotConnected | NothingWritten | Refused { .. });
    for idempotent in [true, false] {
        for first in stages {
            for second in stages {
                let deadline = Deadline::after(NOW, Millis(500));
                let budget = budget(1);
                let mut attempts = RequestAttempts::new(idempotent, deadline);
                if attempts.on_attempt_ended(NOW, first, &budget) != RetryElsewhere {
                    continue;
                }
                let decision = attempts.on_attempt_ended(NOW, second, &budget);
                let is_rejection = matches!(decision, Answer(Outcome::Rejected { .. }));
                assert_eq!(is_rejection, did_not_run(first) && did_not_run(second), "{first:?}, {second:?}");
                let without = attempts.outcome_without_attempt();
                assert_eq!(without != Outcome::Unknown, did_not_run(first) && did_not_run(second));
            }
        }
    }
}

#[test]
fn a_request_is_sent_three_times_at_most() {
    let mut attempts = RequestAttempts::new(true, Deadline::after(NOW, Millis(500)));
    let budget = budget(100);
    let decisions: Vec<_> = (0..3).map(|_| attempts.on_attempt_ended(NOW, REFUSED, &budget)).collect();
    assert_eq!(decisions, [RetryElsewhere, RetryElsewhere, REJECTION]);
}

#[test]
fn the_budget_is_a_share_of_live_traffic_plus_a_minimum() {
    let settings = RetryBudgetSettings { retries_per_thousand: 100, minimum_per_second: 2, burst: 10 };
    let budget = RetryBudget::new(settings, NOW);
    let spend_all = |now| (0..1_000).filter(|_| budget.try_spend(now)).count();
    assert_eq!(spend_all(NOW), 10);
    (0..50).for_each(|_| budget.on_request(NOW));
    assert_eq!(spend_all(NOW), 5);
    assert_eq!(spend_all(NOW + Millis(1_500)), 3);
    assert_eq!(spend_all(NOW + Millis(60_000)), 10, "no more than the burst is saved up");
}

#[test]
fn a_deadline_is_the_nearest_of_header_route_and_longest() {
    let remaining = |header, timeout| {
        Deadline::from_header(NOW, header, Millis(timeout)).map(|deadline| deadline.remaining(NOW))
    };
    assert_eq!(remaining(None, 800), Ok(Millis(800)));
    assert_eq!(remaining(Some("300"), 800), Ok(Millis(300)));
    assert_eq!(remaining(Some("999999999"), 800), Ok(Millis(800)));
    assert_eq!(remaining(None, u64::MAX), Ok(LONGEST_DEADLINE));
    for text in ["", "-1", "+1", "1.5", "1s", "99999999999999999999"] {
        assert!(remaining(Some(text), 800).is_err(), "{text}");
    }
    let deadline = Deadline::after(NOW, Millis(300));
    assert_eq!(deadline.remaining(NOW + Millis(400)), Millis(0));
    assert!(deadline.has_passed(NOW + Millis(300)) && !deadline.has_passed(NOW + Millis(299)));
}
