//! Checker of what the nodes send again, over all of them.

use std::collections::{BTreeMap, BTreeSet};

use umberpond_model::{Millis, NodeName, ServiceName};
use umberpond_selection::RetryBudgetSettings;
use umberpond_standins::{OverspentWindow, RetryAllowance, ServiceTimes};

use crate::checkers::{Breach, Invariant, Violation};
use crate::history::{Event, History, RequestKey};

/// Checks that in no window a service runs more requests again than the retry budget of all nodes together allows.
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
    for (service, times) in times_by_service(history) {
        for overspent in allowance.overspent(&times) {
            let OverspentWindow { from_millis, repeats, requests } = overspent;
            let breach = Breach::BudgetOverspent { service: service.clone(), repeats, requests };
            let at = Millis(from_millis);
            violations.push(Violation { invariant: Invariant::RetryBudgetKept, at, breach });
        }
    }
    violations
}

fn times_by_service(history: &History) -> BTreeMap<ServiceName, ServiceTimes> {
    let mut services: BTreeMap<RequestKey, ServiceName> = BTreeMap::new();
    let mut ran: BTreeMap<RequestKey, BTreeSet<&NodeName>> = BTreeMap::new();
    let mut times: BTreeMap<ServiceName, ServiceTimes> = BTreeMap::new();
    for recorded in history.events() {
        match &recorded.event {
            Event::Sent { request, service, .. } => {
                services.insert(*request, service.clone());
                times.entry(service.clone()).or_default().requests.push(recorded.at.0);
            }
            Event::Executed { request, node, .. } => {
                let ran_on = ran.entry(*request).or_default();
                // No request is sent to the same node twice: such a run is one that the network has doubled.
                let is_repeat = ran_on.insert(node) && ran_on.len() > 1;
                let Some(service) = services.get(request).filter(|_service| is_repeat) else { continue };
                times.entry(service.clone()).or_default().repeats.push(recorded.at.0);
            }
            _ => {}
        }
    }
    times
}
