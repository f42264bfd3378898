//! Checker of liveness: an accepted version is in force everywhere in time.

use std::collections::BTreeMap;

use umberpond_model::{Millis, NodeName, Version};

use crate::checkers::{Breach, Invariant, Violation};
use crate::history::{Event, History, Recorded};

/// Longest time from acceptance, or from the end of the last fault if later, until a version is in force on
/// every running node.
pub const CONVERGENCE_LIMIT: Millis = Millis(10_000);

/// Checks every accepted version whose time was up before the run ended. A node that started later gets the
/// same time from its start.
#[must_use]
pub fn in_force_within_seconds(history: &History) -> Vec<Violation> {
    let mut watch = Watch::default();
    let mut violations = Vec::new();
    for recorded in history.events() {
        violations.extend(watch.overdue(recorded.at));
        watch.take(recorded);
    }
    violations
}

/// What is known at one moment of the history.
#[derive(Default)]
struct Watch<'a> {
    faults_over_at: Option<Millis>,
    accepted: Vec<(Version, Millis)>,
    running_since: BTreeMap<&'a NodeName, Millis>,
    in_force: BTreeMap<&'a NodeName, Version>,
}

impl<'a> Watch<'a> {
    fn take(&mut self, recorded: &'a Recorded) {
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
            Event::FaultsEnded => self.faults_over_at = Some(recorded.at),
            _ => {}
        }
    }

    /// Nodes that lack at `now` what should be in force by then. Each version is looked at once.
    fn overdue(&mut self, now: Millis) -> Vec<Violation> {
        let Some(faults_over_at) = self.faults_over_at else { return Vec::new() };
        let mut violations = Vec::new();
        for (&node, &since) in &self.running_since {
            let due = |accepted: Millis| accepted.0.max(since.0).max(faults_over_at.0) + CONVERGENCE_LIMIT.0;
            let newest_due = self.accepted.iter().rev().find(|(_, accepted)| now.0 > due(*accepted));
            let Some(&(expected, accepted)) = newest_due else { continue };
            let found = self.in_force.get(node).copied();
            if found.is_none_or(|found| found < expected) {
                let breach = Breach::NotInForce { node: node.clone(), expected, found };
                let at = Millis(due(accepted));
                violations.push(Violation { invariant: Invariant::InForceWithinSeconds, at, breach });
            }
        }
        // One report a node is enough: what was reported is not looked for again.
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
