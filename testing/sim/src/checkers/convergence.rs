//! Checker of convergence: every accepted version is in force on all running nodes within a time limit.

use std::collections::BTreeMap;

use umberpond_model::{Millis, NodeName, Version};

use crate::checkers::{Breach, Invariant, Violation};
use crate::history::{Event, History, Recorded};

/// Longest time from the acceptance of a version, or from the end of the last fault if later, until the
/// version is in force on every running node.
pub const CONVERGENCE_LIMIT: Millis = Millis(10_000);

/// Checks every accepted version whose time limit expired before the run ended. For a node that started
/// later, the limit counts from its start.
#[must_use]
pub fn in_force_within_seconds(history: &History) -> Vec<Violation> {
    let mut state = ConvergenceState::default();
    let mut violations = Vec::new();
    for recorded in history.events() {
        violations.extend(state.overdue(recorded.at));
        state.apply(recorded);
    }
    violations
}

/// State of the checker at one time of the history.
#[derive(Default)]
struct ConvergenceState<'a> {
    faults_ended_at: Option<Millis>,
    accepted: Vec<(Version, Millis)>,
    running_since: BTreeMap<&'a NodeName, Millis>,
    in_force: BTreeMap<&'a NodeName, Version>,
}

impl<'a> ConvergenceState<'a> {
    fn apply(&mut self, recorded: &'a Recorded) {
        match &recorded.event {
            Event::Accepted { version, .. } => self.accepted.push((*version, recorded.at)),
            Event::Activated { node, version, .. } => {
                self.in_force.insert(node, *version);
            }
            Event::Started { node } => {
                self.running_since.insert(node, recorded.at);
                self.in_force.remove(node);
            }
            Event::Stopped { node } => {
                self.running_since.remove(node);
            }
            Event::FaultsEnded => self.faults_ended_at = Some(recorded.at),
            _ => {}
        }
    }

    /// Returns a violation for each node that lacks the newest version that must be in force at `now`.
    fn overdue(&mut self, now: Millis) -> Vec<Violation> {
        let Some(faults_ended_at) = self.faults_ended_at else { return Vec::new() };
        let mut violations = Vec::new();
        for (&node, &since) in &self.running_since {
            let due = |accepted: Millis| accepted.0.max(since.0).max(faults_ended_at.0) + CONVERGENCE_LIMIT.0;
            let newest_overdue = self.accepted.iter().rev().find(|(_, accepted)| now.0 > due(*accepted));
            let Some(&(expected, accepted)) = newest_overdue else { continue };
            let found = self.in_force.get(node).copied();
            if found.is_none_or(|found| found < expected) {
                let breach = Breach::NotInForce { node: node.clone(), expected, found };
                let at = Millis(due(accepted));
                violations.push(Violation { invariant: Invariant::InForceWithinSeconds, at, breach });
            }
        }
        // Treats a reported version as in force, so that it is reported once per node.
        for violation in &violations {
            if let Breach::NotInForce { node, expected, .. } = &violation.breach
                && let Some((&key, _)) = self.running_since.get_key_value(node)
            {
                self.in_force.insert(key, *expected);
            }
        }
        violations
    }
}
