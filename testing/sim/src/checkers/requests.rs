//! Checkers that compare the outcomes for callers with the runs on back ends.

use std::collections::{BTreeMap, BTreeSet};

use umberpond_model::{Millis, NodeName};

use crate::checkers::CONVERGENCE_LIMIT;
use crate::checkers::{Breach, Invariant, Violation};
use crate::history::{CallerKey, CallerOutcome, Event, History, RequestKey};

/// Checks that every response is complete and belongs to its request, and that each request ends exactly
/// once.
#[must_use]
pub fn whole_own_answer(history: &History) -> Vec<Violation> {
    let mut unfinished: BTreeMap<RequestKey, Millis> = BTreeMap::new();
    let mut violations = Vec::new();
    let mut report = |at, request, outcome| {
        let breach = Breach::BadAnswer { request, outcome };
        violations.push(Violation { invariant: Invariant::WholeOwnAnswer, at, breach });
    };
    for recorded in history.events() {
        match &recorded.event {
            Event::Sent { request, .. } => {
                unfinished.insert(*request, recorded.at);
            }
            Event::Finished { request, outcome } => {
                let was_unfinished = unfinished.remove(request).is_some();
                let is_bad = matches!(outcome, CallerOutcome::Answered { whole, own } if !whole || !own);
                if is_bad || !was_unfinished {
                    report(recorded.at, *request, Some(*outcome));
                }
            }
            _ => {}
        }
    }
    for (request, at) in unfinished {
        report(at, request, None);
    }
    violations
}

/// Checks that no request reported as rejected before execution ran, before or after the rejection.
#[must_use]
pub fn rejected_did_not_run(history: &History) -> Vec<Violation> {
    let runs = count_runs(history);
    let mut violations = Vec::new();
    for recorded in history.events() {
        let Event::Finished { request, outcome: CallerOutcome::Rejected } = &recorded.event else { continue };
        let Some(&runs) = runs.get(request) else { continue };
        let breach = Breach::RanTooOften { request: *request, runs };
        violations.push(Violation { invariant: Invariant::RejectedDidNotRun, at: recorded.at, breach });
    }
    violations
}

/// Checks that no non-idempotent request started to run twice.
#[must_use]
pub fn at_most_once(history: &History) -> Vec<Violation> {
    let idempotent: BTreeSet<RequestKey> = history
        .events()
        .filter_map(|recorded| match &recorded.event {
            Event::Sent { request, idempotent: true, .. } => Some(*request),
            _ => None,
        })
        .collect();
    let mut runs: BTreeMap<RequestKey, usize> = BTreeMap::new();
    let mut violations = Vec::new();
    for recorded in history.events() {
        let Event::Executed { request, .. } = &recorded.event else { continue };
        let count = runs.entry(*request).or_default();
        *count += 1;
        if *count > 1 && !idempotent.contains(request) {
            let breach = Breach::RanTooOften { request: *request, runs: *count };
            violations.push(Violation { invariant: Invariant::AtMostOnce, at: recorded.at, breach });
        }
    }
    violations
}

/// Checks that no process of a node ran two requests with the same idempotency key.
#[must_use]
pub fn at_most_once_per_caller_key(history: &History) -> Vec<Violation> {
    let mut ran: BTreeSet<(&NodeName, CallerKey)> = BTreeSet::new();
    let mut violations = Vec::new();
    for recorded in history.events() {
        match &recorded.event {
            Event::Started { node } => ran.retain(|(run_node, _)| *run_node != node),
            Event::Executed { request, node, caller_key: Some(key), .. } if !ran.insert((node, *key)) => {
                let breach = Breach::CallerKeyRanTwice { node: node.clone(), request: *request };
                violations.push(Violation { invariant: Invariant::AtMostOnce, at: recorded.at, breach });
            }
            _ => {}
        }
    }
    violations
}

/// Checks that every request sent later than [`CONVERGENCE_LIMIT`] after the last fault gets a response.
/// Requests that repeat an earlier one are exempt, because the refusal of a repeated key is correct.
#[must_use]
pub fn serving_after_faults(history: &History) -> Vec<Violation> {
    let mut faults_ended_at = None;
    let mut must_be_answered: BTreeSet<RequestKey> = BTreeSet::new();
    let mut violations = Vec::new();
    for recorded in history.events() {
        match &recorded.event {
            Event::FaultsEnded => faults_ended_at = Some(recorded.at),
            Event::Sent { request, repeats: false, .. }
                if faults_ended_at
                    .is_some_and(|ended_at| recorded.at.0 > ended_at.0 + CONVERGENCE_LIMIT.0) =>
            {
                must_be_answered.insert(*request);
            }
            Event::Finished { request, outcome }
                if must_be_answered.contains(request)
                    && !matches!(outcome, CallerOutcome::Answered { .. }) =>
            {
                let breach = Breach::NotServed { request: *request, outcome: *outcome };
                violations.push(Violation {
                    invariant: Invariant::ServingAfterFaults,
                    at: recorded.at,
                    breach,
                });
            }
            _ => {}
        }
    }
    violations
}

/// Checks that requests ran only in localities that their service allows.
#[must_use]
pub fn allowed_locality_only(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for recorded in history.events() {
        let Event::Executed { request, node, locality_allowed: false, .. } = &recorded.event else {
            continue;
        };
        let breach = Breach::ServedElsewhere { node: node.clone(), request: *request };
        violations.push(Violation { invariant: Invariant::AllowedLocalityOnly, at: recorded.at, breach });
    }
    violations
}

fn count_runs(history: &History) -> BTreeMap<RequestKey, usize> {
    let mut runs = BTreeMap::new();
    for recorded in history.events() {
        if let Event::Executed { request, .. } = &recorded.event {
            *runs.entry(*request).or_default() += 1;
        }
    }
    runs
}
