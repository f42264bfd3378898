//! Checkers of what is in force on nodes.

use std::collections::{BTreeMap, BTreeSet};

use umberpond_model::{NodeName, Version};

use crate::checkers::{Breach, Invariant, Violation};
use crate::history::{Event, History};

/// Checks that the versions in force on each node name only grow, across restarts too.
#[must_use]
pub fn never_back(history: &History) -> Vec<Violation> {
    let mut newest: BTreeMap<&NodeName, Version> = BTreeMap::new();
    let mut violations = Vec::new();
    for recorded in history.events() {
        let Event::Activated { node, version, .. } = &recorded.event else { continue };
        let held = newest.entry(node).or_insert(*version);
        if *version < *held {
            let breach = Breach::WentBack { node: node.clone(), from: *held, to: *version };
            violations.push(Violation { invariant: Invariant::NeverBack, at: recorded.at, breach });
        }
        *held = (*held).max(*version);
    }
    violations
}

/// Checks that nothing in force refers to something that the node lacks.
#[must_use]
pub fn no_dangling_reference(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for recorded in history.events() {
        let Event::Activated { node, version, dangling_references, .. } = &recorded.event else { continue };
        if *dangling_references > 0 {
            let breach =
                Breach::Dangling { node: node.clone(), version: *version, references: *dangling_references };
            violations.push(Violation { invariant: Invariant::NoDanglingReference, at: recorded.at, breach });
        }
    }
    violations
}

/// Checks that what is in force is an accepted version, whole, and that the chain has one version a submission
/// and no gap.
#[must_use]
pub fn never_applied_in_part(history: &History) -> Vec<Violation> {
    let mut accepted = BTreeSet::from([Version::GENESIS]);
    let mut submissions = BTreeSet::new();
    let mut violations = Vec::new();
    let mut report = |at, breach| {
        violations.push(Violation { invariant: Invariant::NeverAppliedInPart, at, breach });
    };
    for recorded in history.events() {
        match &recorded.event {
            Event::Accepted { version, submission } => {
                let follows = accepted.last().is_some_and(|last| last.next() == *version);
                let is_new = submissions.insert(*submission);
                if !follows || !is_new {
                    report(recorded.at, Breach::BrokenChain { version: *version });
                }
                accepted.insert(*version);
            }
            Event::Activated { node, version, snapshot, expected, .. }
                if !accepted.contains(version) || snapshot != expected =>
            {
                report(recorded.at, Breach::NotThatVersion { node: node.clone(), version: *version });
            }
            _ => {}
        }
    }
    violations
}
