//! Checker of the submission results that operators receive.

use std::collections::BTreeMap;

use umberpond_model::{SubmissionId, Version};

use crate::checkers::{Breach, Invariant, Violation};
use crate::history::{Event, History, SubmissionClaim};

/// Checks the final result that each operator received against the chain at the end of the history. The
/// result "unknown" is always accepted.
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
        let is_correct = match claim {
            SubmissionClaim::Accepted(version) => in_chain == Some(*version),
            SubmissionClaim::NotAccepted => in_chain.is_none(),
            SubmissionClaim::Unknown => true,
        };
        if !is_correct {
            let breach = Breach::ToldWrong { submission: *submission, claim: *claim };
            violations.push(Violation { invariant: Invariant::SubmissionToldTrue, at: recorded.at, breach });
        }
    }
    violations
}
