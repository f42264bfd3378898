//! Checkers of the configuration that is in force on nodes.

use std::collections::{BTreeMap, BTreeSet};

use umberpond_model::{NodeName, Version};

use crate::checkers::{Breach, Invariant, Violation};
use crate::history::{Event, History};

/// State of [`never_back`] for one node.
#[derive(Default)]
struct NodeVersions {
    /// Highest version that any process of the node activated.
    highest: Version,
    /// Highest version that the current process activated.
    highest_of_process: Version,
    /// Whether the store may have been unreachable at any time since the process started.
    store_maybe_unreachable: bool,
}

/// Checks that no node activates an older version than before: never within one process, and not across a
/// restart either unless the store may have been unreachable for the new process.
#[must_use]
pub fn never_back(history: &History) -> Vec<Violation> {
    let mut nodes: BTreeMap<&NodeName, NodeVersions> = BTreeMap::new();
    let mut active_impairments = 0_usize;
    let mut violations = Vec::new();
    for recorded in history.events() {
        match &recorded.event {
            Event::StoreImpaired => {
                active_impairments += 1;
                nodes.values_mut().for_each(|node| node.store_maybe_unreachable = true);
            }
            Event::StoreMended => active_impairments = active_impairments.saturating_sub(1),
            Event::Started { node } => {
                let versions = nodes.entry(node).or_default();
                versions.highest_of_process = Version::GENESIS;
                versions.store_maybe_unreachable = active_impairments > 0;
            }
            Event::Activated { node, version, .. } => {
                let versions = nodes.entry(node).or_default();
                let floor = if versions.store_maybe_unreachable {
                    versions.highest_of_process
                } else {
                    versions.highest
                };
                if *version < floor {
                    let breach = Breach::WentBack { node: node.clone(), from: floor, to: *version };
                    violations.push(Violation { invariant: Invariant::NeverBack, at: recorded.at, breach });
                }
                versions.highest = versions.highest.max(*version);
                versions.highest_of_process = versions.highest_of_process.max(*version);
            }
            _ => {}
        }
    }
    violations
}

/// Checks that the active configuration refers to no service or secret that the node lacks.
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

/// Checks that the active configuration is a complete accepted version, and that the chain has one version
/// for each submission and no gaps.
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
