//! Checker of what operators were told.

use std::collections::BTreeMap;

use umberpond_model::{SubmissionId, Version};

use crate::checkers::{Breach, Invariant, Violation};
use crate::history::{Event, History, SubmissionClaim};

/// Checks each operator's last word against the whole chain, as it is at the end of the history. "Unknown" is never
/// wrong.
#[must_use]
pub fn submission_told_true(history: &History) -> Vec<Violation> {
    let chain: BTreeMap<SubmissionId, Version> = history
        .events()
        .filter_map(|recorded| match &recorded.event {
            Event::Accepted { version, submission } => Some((*submission, *version)),
            _ => None,
        })
        .collect();
    let mut violations = Vec::new();
    for recorded in history.events() {
        let Event::SubmissionTold { submission, claim } = &recorded.event else { continue };
        let in_chain = chain.get(submission).copied();
        let is_true = match claim {
            SubmissionClaim::Accepted(version) => in_chain == Some(*version),
            SubmissionClaim::NotAccepted => in_chain.is_none(),
            SubmissionClaim::Unknown => true,
        };
        if !is_true {
            let breach = Breach::ToldWrong { submission: *submission, claim: *claim };
            violations.push(Violation { invariant: Invariant::SubmissionToldTrue, at: recorded.at, breach });
        }
    }
    violations
}
