//! Checker of the retry budget, over the retries of all nodes.

use std::collections::{BTreeMap, BTreeSet};

use umberpond_model::{Millis, NodeName, ServiceName};
use umberpond_selection::RetryBudgetSettings;
use umberpond_standins::{OverspentWindow, RetryAllowance, ServiceTimes};

use crate::checkers::{Breach, Invariant, Violation};
use crate::history::{Event, History, RequestKey};

/// Checks that no service gets more retries in a time window than the retry budget of all nodes together
/// allows.
#[must_use]
pub fn retry_budget_kept(history: &History) -> Vec<Violation> {
    let budget = RetryBudgetSettings::default();
    let allowance = RetryAllowance {
        ratio: budget.ratio,
        extra: budget.extra,
        window_millis: u64::try_from(budget.window.as_millis()).unwrap_or(u64::MAX),
        clock_error_millis: 0,
    };
    let mut violations = Vec::new();
    for (service, times) in run_times_by_service(history) {
        for overspent in allowance.overspent(&times) {
            let OverspentWindow { from_millis, repeats, requests } = overspent;
            let breach = Breach::BudgetOverspent { service: service.clone(), repeats, requests };
            let at = Millis(from_millis);
            violations.push(Violation { invariant: Invariant::RetryBudgetKept, at, breach });
        }
    }
    violations
}

fn run_times_by_service(history: &History) -> BTreeMap<ServiceName, ServiceTimes> {
    let mut services: BTreeMap<RequestKey, ServiceName> = BTreeMap::new();
    let mut nodes_by_request: BTreeMap<RequestKey, BTreeSet<&NodeName>> = BTreeMap::new();
    let mut times: BTreeMap<ServiceName, ServiceTimes> = BTreeMap::new();
    for recorded in history.events() {
        match &recorded.event {
            Event::Sent { request, service, .. } => {
                services.insert(*request, service.clone());
                times.entry(service.clone()).or_default().requests.push(recorded.at.0);
            }
            Event::Executed { request, node, .. } => {
                let run_nodes = nodes_by_request.entry(*request).or_default();
                // Nodes never send a request to the same node twice, so a second run on one node comes from a
                // stream that the network duplicated. It doesn't count as a retry.
                let is_retry = run_nodes.insert(node) && run_nodes.len() > 1;
                let Some(service) = services.get(request).filter(|_service| is_retry) else { continue };
                times.entry(service.clone()).or_default().repeats.push(recorded.at.0);
            }
            _ => {}
        }
    }
    times
}
