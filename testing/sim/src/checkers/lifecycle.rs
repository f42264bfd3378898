//! Checkers of draining and planned stops.

use std::collections::{BTreeMap, BTreeSet};

use umberpond_model::{Millis, NodeName};

use crate::checkers::{Breach, Invariant, Violation};
use crate::history::{CallerOutcome, Event, History, RequestKey};

/// Longest time for which a draining back end may still receive new requests.
pub const DRAIN_LIMIT: Millis = Millis(2_000);

/// Checks that a back end starts no request later than [`DRAIN_LIMIT`] after its node began to drain.
#[must_use]
pub fn draining_back_end_gets_no_new_requests(history: &History) -> Vec<Violation> {
    let mut draining_since: BTreeMap<&NodeName, Millis> = BTreeMap::new();
    let mut violations = Vec::new();
    for recorded in history.events() {
        match &recorded.event {
            Event::DrainBegan { node } => {
                draining_since.entry(node).or_insert(recorded.at);
            }
            Event::Started { node } => {
                draining_since.remove(node);
            }
            Event::Executed { request, node, .. } => {
                let is_late =
                    draining_since.get(node).is_some_and(|began| recorded.at.0 > began.0 + DRAIN_LIMIT.0);
                if is_late {
                    let breach = Breach::NewWorkWhileLeaving { node: node.clone(), request: *request };
                    let invariant = Invariant::LeavingGetsNoNewWork;
                    violations.push(Violation { invariant, at: recorded.at, breach });
                }
            }
            _ => {}
        }
    }
    violations
}

/// A request that a back end is running.
struct ActiveRequest<'a> {
    node: &'a NodeName,
    /// Whether any link was cut while the request ran.
    overlapped_cut: bool,
}

/// Checks that no request running on a node during its planned stop was truncated or had an unknown outcome,
/// unless a fault also hit that node or links were cut while the request ran.
#[must_use]
pub fn planned_stop_cuts_nothing(history: &History) -> Vec<Violation> {
    let mut stopping: BTreeSet<&NodeName> = BTreeSet::new();
    let mut faulty: BTreeSet<&NodeName> = BTreeSet::new();
    let mut active_requests: BTreeMap<RequestKey, ActiveRequest<'_>> = BTreeMap::new();
    let mut active_cuts = 0_usize;
    let mut violations = Vec::new();
    for recorded in history.events() {
        match &recorded.event {
            Event::DrainBegan { node } => {
                stopping.insert(node);
            }
            Event::FaultBegan { node } => {
                faulty.insert(node);
            }
            Event::Started { node } => {
                stopping.remove(node);
                faulty.remove(node);
            }
            Event::LinksCut => {
                active_cuts += 1;
                active_requests.values_mut().for_each(|request| request.overlapped_cut = true);
            }
            Event::LinksMended => active_cuts = active_cuts.saturating_sub(1),
            Event::Executed { request, node, .. } => {
                active_requests.insert(*request, ActiveRequest { node, overlapped_cut: active_cuts > 0 });
            }
            Event::Finished { request, outcome } => {
                let Some(ActiveRequest { node, overlapped_cut }) = active_requests.remove(request) else {
                    continue;
                };
                let is_lost = matches!(outcome, CallerOutcome::Cut | CallerOutcome::Unknown);
                if is_lost && stopping.contains(node) && !faulty.contains(node) && !overlapped_cut {
                    let breach = Breach::CutByPlannedStop { node: node.clone(), request: *request };
                    let invariant = Invariant::PlannedStopCutsNothing;
                    violations.push(Violation { invariant, at: recorded.at, breach });
                }
            }
            _ => {}
        }
    }
    violations
}
