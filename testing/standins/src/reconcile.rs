//! Compares what callers were told with what back ends truly ran.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use umberpond_model::{LocalityRule, ServiceName};

use crate::backend::Ledger;
use crate::caller::{Answer, Outcome};

/// Localities in which each service may be served; a service that is absent may be served nowhere.
pub type AllowedLocalities = BTreeMap<ServiceName, Vec<LocalityRule>>;

/// What is wrong with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FindingKind {
    /// A call that may not be repeated ran more than once.
    RanTwice,
    /// The caller was told that it did not run, but it ran.
    RejectedButRan,
    /// The caller got an answer that no back end's ledger accounts for.
    AnsweredButNotRun,
    /// An answer broke off.
    Truncated,
    /// An answer ended cleanly, but was not the whole answer to the call.
    WrongAnswer,
    /// It ran in a locality that its service does not allow.
    DisallowedLocality,
}

impl fmt::Display for FindingKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::RanTwice => "ran twice",
            Self::RejectedButRan => "said rejected but ran",
            Self::AnsweredButNotRun => "answered but not in a ledger",
            Self::Truncated => "truncated answer",
            Self::WrongAnswer => "wrong answer",
            Self::DisallowedLocality => "served in a disallowed locality",
        })
    }
}

/// One call that broke an invariant.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Finding {
    /// What is wrong.
    pub kind: FindingKind,
    /// Path of the call, which holds its key.
    pub path: String,
}

/// The counts of a comparison, and the calls behind them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reconciliation {
    /// Calls that callers made.
    pub calls: u64,
    /// Calls with their whole own answer.
    pub answered: u64,
    /// Calls said not to have run.
    pub rejected: u64,
    /// Calls of which nobody could say whether they ran.
    pub unknown: u64,
    /// Answers that broke off.
    pub truncated: u64,
    /// Answers that ended cleanly and were not the whole answer to their call.
    pub wrong_answers: u64,
    /// Calls that may not be repeated and ran more than once.
    pub ran_twice: u64,
    /// Calls said not to have run that ran.
    pub rejected_but_ran: u64,
    /// Answered calls that no ledger has.
    pub answered_but_not_run: u64,
    /// Runs in a locality that the service does not allow.
    pub disallowed_locality: u64,
    /// Every call behind a count that must be zero.
    pub findings: Vec<Finding>,
}

impl Reconciliation {
    /// Counts `finding` and keeps it.
    fn add(&mut self, kind: FindingKind, path: &str) {
        let count = match kind {
            FindingKind::RanTwice => &mut self.ran_twice,
            FindingKind::RejectedButRan => &mut self.rejected_but_ran,
            FindingKind::AnsweredButNotRun => &mut self.answered_but_not_run,
            FindingKind::Truncated => &mut self.truncated,
            FindingKind::WrongAnswer => &mut self.wrong_answers,
            FindingKind::DisallowedLocality => &mut self.disallowed_locality,
        };
        *count += 1;
        self.findings.push(Finding { kind, path: path.to_owned() });
    }
}

/// Compares `answers` with `ledgers`. Calls are matched by path, which holds the caller's own key. A run counts from
/// its beginning, finished or not.
#[must_use]
pub fn reconcile(answers: &[Answer], ledgers: &[Ledger], allowed: &AllowedLocalities) -> Reconciliation {
    let mut result = Reconciliation::default();
    let runs = runs_by_path(ledgers);
    for answer in answers {
        let ran = runs.get(answer.path.as_str()).copied().unwrap_or(0);
        judge(answer, ran, &mut result);
    }
    for ledger in ledgers {
        let rules = allowed.get(&ledger.service);
        let is_allowed = rules.is_some_and(|rules| rules.iter().any(|rule| rule.allows(&ledger.locality)));
        if !is_allowed {
            ledger.entries.iter().for_each(|entry| result.add(FindingKind::DisallowedLocality, &entry.path));
        }
    }
    result
}

fn runs_by_path(ledgers: &[Ledger]) -> BTreeMap<&str, u64> {
    let mut runs = BTreeMap::new();
    for entry in ledgers.iter().flat_map(|ledger| &ledger.entries) {
        *runs.entry(entry.path.as_str()).or_default() += 1;
    }
    runs
}

fn judge(answer: &Answer, ran: u64, result: &mut Reconciliation) {
    result.calls += 1;
    match answer.outcome {
        Outcome::Answered => result.answered += 1,
        Outcome::Rejected => result.rejected += 1,
        Outcome::Unknown => result.unknown += 1,
        Outcome::Truncated => result.add(FindingKind::Truncated, &answer.path),
        Outcome::WrongAnswer => result.add(FindingKind::WrongAnswer, &answer.path),
    }
    if !answer.idempotent && ran > 1 {
        result.add(FindingKind::RanTwice, &answer.path);
    }
    if answer.outcome == Outcome::Rejected && ran > 0 {
        result.add(FindingKind::RejectedButRan, &answer.path);
    }
    if answer.outcome == Outcome::Answered && ran == 0 {
        result.add(FindingKind::AnsweredButNotRun, &answer.path);
    }
}
