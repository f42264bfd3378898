//! Checker of what the nodes send again, over all of them.

use std::collections::{BTreeMap, BTreeSet};

use umberpond_model::{Millis, NodeName, ServiceName};
use umberpond_selection::RetryBudgetSettings;

use crate::checkers::{Breach, Invariant, Violation};
use crate::history::{Event, History, RequestKey};

/// When requests for one service were sent, and when they ran beyond the first time.
#[derive(Debug, Default)]
struct ServiceTimes {
    requests: Vec<u64>,
    repeats: Vec<u64>,
}

/// Checks that in no window a service runs more requests again than the retry budget of all nodes together allows. The requests are those of
/// the window, of the one before it or of the one half a window before it, whichever are most: a repeat may follow its request in the next one.
#[must_use]
pub fn retry_budget_kept(history: &History) -> Vec<Violation> {
    let budget = RetryBudgetSettings::default();
    let window = u64::try_from(budget.window.as_millis()).unwrap_or(u64::MAX);
    let mut violations = Vec::new();
    for (service, times) in times_by_service(history) {
        for from in &times.repeats {
            let repeats = count(&times.repeats, *from, window);
            let earlier = [0, window / 2, window].map(|earlier| from.saturating_sub(earlier));
            let requests = earlier.map(|from| count(&times.requests, from, window)).into_iter().max();
            let requests = requests.unwrap_or_default();
            let allowed = budget.ratio * f64::from(requests) + budget.extra;
            if f64::from(repeats) > allowed {
                let breach = Breach::BudgetOverspent { service: service.clone(), repeats, requests };
                violations.push(Violation {
                    invariant: Invariant::RetryBudgetKept,
                    at: Millis(*from),
                    breach,
                });
            }
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

/// Count of `times` in the window that begins at `from`.
fn count(times: &[u64], from: u64, window: u64) -> u32 {
    let is_inside = |at: &&u64| **at >= from && **at < from + window;
    u32::try_from(times.iter().filter(is_inside).count()).unwrap_or(u32::MAX)
}
