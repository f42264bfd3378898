//! The comparison of answers with ledgers: each count is shown to be able to be non-zero.

use umberpond_model::{Locality, LocalityRule, RegionName, ServiceName, ZoneName};
use umberpond_standins::backend::{Ledger, LedgerEntry};
use umberpond_standins::caller::{Answer, Outcome};
use umberpond_standins::{AllowedLocalities, FindingKind, Reconciliation, reconcile};

fn billing() -> ServiceName {
    ServiceName::new("billing").unwrap()
}

fn answer(key: &str, idempotent: bool, outcome: Outcome) -> Answer {
    Answer {
        key: key.to_owned(),
        path: format!("/job/{key}"),
        service: billing(),
        idempotent,
        request_id: None,
        outcome,
        status: None,
        due_millis: 0,
        latency_micros: 0,
        served_by: None,
        locality: None,
        config_version: None,
    }
}

fn ledger(zone: &str, keys: &[&str]) -> Ledger {
    let entry = |key: &&str| LedgerEntry {
        request_id: None,
        idempotency_key: None,
        path: format!("/job/{key}"),
        started_millis: 0,
        finished_millis: None,
        advertised_limit: None,
        said_leaving: false,
        cancelled: false,
    };
    Ledger {
        backend: "billing-1".to_owned(),
        service: billing(),
        locality: Locality {
            region: RegionName::new("eu-north").unwrap(),
            zone: ZoneName::new(zone).unwrap(),
        },
        entries: keys.iter().map(entry).collect(),
    }
}

fn compare(answers: &[Answer], ledgers: &[Ledger]) -> Reconciliation {
    let zone = Some(ZoneName::new("hall-a").unwrap());
    let rule = LocalityRule { region: RegionName::new("eu-north").unwrap(), zone };
    reconcile(answers, ledgers, &AllowedLocalities::from([(billing(), vec![rule])]))
}

fn kinds(result: &Reconciliation) -> Vec<FindingKind> {
    result.findings.iter().map(|finding| finding.kind).collect()
}

#[test]
fn a_clean_history_has_no_findings() {
    let answers = [
        answer("a", false, Outcome::Answered),
        answer("b", false, Outcome::Rejected),
        answer("c", false, Outcome::Unknown),
        answer("d", true, Outcome::Answered),
    ];
    let result = compare(&answers, &[ledger("hall-a", &["a", "c", "d", "d"])]);
    assert_eq!((result.calls, result.answered, result.rejected, result.unknown), (4, 2, 1, 1));
    assert_eq!(kinds(&result), []);
}

#[test]
fn a_second_run_is_counted_across_back_ends_and_whatever_the_caller_was_told() {
    for outcome in [Outcome::Answered, Outcome::Unknown] {
        let ledgers = [ledger("hall-a", &["a"]), ledger("hall-a", &["a"])];
        let result = compare(&[answer("a", false, outcome)], &ledgers);
        assert_eq!((result.ran_twice, kinds(&result)), (1, vec![FindingKind::RanTwice]));
    }
}

#[test]
fn a_run_behind_a_rejection_is_counted() {
    let result = compare(&[answer("a", true, Outcome::Rejected)], &[ledger("hall-a", &["a"])]);
    assert_eq!((result.rejected_but_ran, kinds(&result)), (1, vec![FindingKind::RejectedButRan]));
}

#[test]
fn an_answer_without_a_run_is_counted() {
    let result = compare(&[answer("a", true, Outcome::Answered)], &[ledger("hall-a", &["b"])]);
    assert_eq!((result.answered_but_not_run, kinds(&result)), (1, vec![FindingKind::AnsweredButNotRun]));
}

#[test]
fn truncated_and_wrong_answers_are_counted() {
    let answers = [answer("a", true, Outcome::Truncated), answer("b", true, Outcome::WrongAnswer)];
    let result = compare(&answers, &[ledger("hall-a", &["a", "b"])]);
    assert_eq!((result.truncated, result.wrong_answers), (1, 1));
    assert_eq!(kinds(&result), [FindingKind::Truncated, FindingKind::WrongAnswer]);
}

#[test]
fn a_run_outside_the_allowed_localities_is_counted() {
    let result = compare(&[answer("a", true, Outcome::Answered)], &[ledger("hall-b", &["a"])]);
    assert_eq!((result.disallowed_locality, kinds(&result)), (1, vec![FindingKind::DisallowedLocality]));
}
