//! An operator's replacement of a witness set that has lost its majority for good.
//!
//! Commit by witnesses waits for a majority of the old set, and nothing but the operator can tell a process that has
//! ended from one that is cut off. So the operator says which witnesses have ended, and the version that records
//! it is committed without them. See `docs/design/0024-lost-witness-majority.md` for the risk.

use std::collections::BTreeSet;

use thiserror::Error;
use umberpond_model::{Member, NodeName, Version};

use crate::choose_witnesses;
use crate::witness_history::WitnessHistory;

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WitnessReplacement {
    /// Witnesses of which no process runs any more or can go on, and none is started before the new version is
    /// accepted. A process that is started under such a name after that is no danger.
    pub lost: BTreeSet<NodeName>,
    /// [`ReplacementPlan::witnesses_since`] of the plan that the operator has seen and takes the risk of. Without
    /// it nothing is changed, and the refusal carries the plan.
    pub forced_for: Option<Version>,
}

/// What a replacement would do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplacementPlan {
    /// The version that changed the present set last. Names the plan when it is forced.
    pub witnesses_since: Version,
    /// Lost witnesses that the machine list still names: either the list lags, or they are not lost.
    pub still_listed: Vec<NodeName>,
    /// The witnesses from the new version on.
    pub witnesses: Vec<NodeName>,
    /// The set of which a majority must hold the new version too; empty if no other set is needed.
    pub previous_witnesses: Vec<NodeName>,
}

/// Why the witnesses were not replaced. Nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReplacementRefusal {
    /// There is no version yet, and so there are no witnesses.
    #[error("there is no version yet")]
    NoVersion,
    /// These nodes are not witnesses on which a version waits.
    #[error("not among the witnesses on which a version waits: {nodes:?}")]
    NotWitnesses {
        /// The nodes.
        nodes: Vec<NodeName>,
    },
    /// Each set keeps a majority without the lost nodes; an ordinary change of witnesses is enough.
    #[error("a majority remains without the lost witnesses")]
    MajorityRemains,
    /// No machine is known that could take the place.
    #[error("no machine is known that could become a witness")]
    NoCandidates,
    /// The replacement was not forced, or for a set that has changed since.
    #[error("the replacement must be forced for the set that version {} named", plan.witnesses_since)]
    NotForced {
        /// What it would do.
        plan: Box<ReplacementPlan>,
    },
}

/// Works the replacement out, on top of the version of which `history` speaks.
///
/// Two sets are in play: the present one, and the one before it until its change is committed. Each must either
/// have lost its majority, so that it can answer nobody, or go on having a say in the commit.
pub(crate) fn plan(
    history: &WitnessHistory,
    commit_index: Version,
    candidates: &[Member],
    replacement: &WitnessReplacement,
) -> Result<ReplacementPlan, ReplacementRefusal> {
    let previous_in_play: &[NodeName] =
        if history.may_change(commit_index) { &[] } else { &history.previous };
    check_names(history, previous_in_play, &replacement.lost)?;
    let lost = &replacement.lost;
    let present_lost = has_lost_majority(&history.current, lost);
    let previous_lost = has_lost_majority(previous_in_play, lost);
    let (witnesses, previous_witnesses) = match (present_lost, previous_lost) {
        (false, false) => return Err(ReplacementRefusal::MajorityRemains),
        // The present set stays as it is, so that its majorities go on meeting each other.
        (false, true) => (history.current.clone(), Vec::new()),
        (true, true) => (choose_others(history, candidates, lost)?, Vec::new()),
        (true, false) => (choose_others(history, candidates, lost)?, previous_in_play.to_vec()),
    };
    let still_listed = candidates.iter().map(|member| &member.node).filter(|node| lost.contains(*node));
    let plan = ReplacementPlan {
        witnesses_since: history.since,
        still_listed: still_listed.cloned().collect(),
        witnesses,
        previous_witnesses,
    };
    if replacement.forced_for != Some(history.since) {
        return Err(ReplacementRefusal::NotForced { plan: Box::new(plan) });
    }
    Ok(plan)
}

fn check_names(
    history: &WitnessHistory,
    previous: &[NodeName],
    lost: &BTreeSet<NodeName>,
) -> Result<(), ReplacementRefusal> {
    if history.current.is_empty() {
        return Err(ReplacementRefusal::NoVersion);
    }
    let is_witness = |node: &NodeName| history.current.contains(node) || previous.contains(node);
    let nodes: Vec<NodeName> = lost.iter().filter(|node| !is_witness(node)).cloned().collect();
    if nodes.is_empty() { Ok(()) } else { Err(ReplacementRefusal::NotWitnesses { nodes }) }
}

/// Whether those that are not lost are no majority of `set`. An empty set has none to lose.
fn has_lost_majority(set: &[NodeName], lost: &BTreeSet<NodeName>) -> bool {
    let remaining = set.iter().filter(|node| !lost.contains(*node)).count();
    !set.is_empty() && remaining * 2 <= set.len()
}

fn choose_others(
    history: &WitnessHistory,
    candidates: &[Member],
    lost: &BTreeSet<NodeName>,
) -> Result<Vec<NodeName>, ReplacementRefusal> {
    let others: Vec<Member> =
        candidates.iter().filter(|member| !lost.contains(&member.node)).cloned().collect();
    if others.is_empty() {
        return Err(ReplacementRefusal::NoCandidates);
    }
    Ok(choose_witnesses(&others, &history.current))
}
