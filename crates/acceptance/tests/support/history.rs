//! The results of operators' calls, the content of the chain, and the invariants that both must satisfy.

use std::collections::BTreeMap;

use umberpond_acceptance::Step;
use umberpond_acceptance::chain::ChainReader;
use umberpond_config::Snapshot;
use umberpond_model::{ContentHash, SubmissionId, Version};

/// The result of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Accepted(Version),
    /// Not accepted, invalid or conflict: the call had no effect and can't have one later.
    Refused,
    Abandoned(Version),
    Unknown,
}

/// One version in the chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Link {
    pub version: Version,
    pub hash: ContentHash,
    pub previous: Option<ContentHash>,
    pub submission: SubmissionId,
    pub abandons: bool,
    /// Whether the steps up to this version result in the accepted snapshot.
    pub leads_to_snapshot: bool,
}

#[derive(Debug, Clone, Default)]
pub struct History {
    /// Calls in the order in which they ended.
    pub calls: Vec<(SubmissionId, Outcome)>,
    pub chain: Vec<Link>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    BrokenChain(Version),
    SnapshotNotReached(Version),
    SubmissionTwice(SubmissionId),
    AcceptedElsewhere(SubmissionId),
    RefusedButAccepted(SubmissionId),
    AbandonedElsewhere(SubmissionId),
}

/// Checks the invariants of a history. All delayed requests must have arrived.
pub fn check(history: &History) -> Result<(), Violation> {
    let chain_states = check_chain(&history.chain)?;
    let mut unknown_before = BTreeMap::new();
    for (submission, outcome) in &history.calls {
        let chain_state = chain_states.get(submission).copied();
        match outcome {
            Outcome::Accepted(version) if chain_state != Some((*version, false)) => {
                return Err(Violation::AcceptedElsewhere(*submission));
            }
            Outcome::Abandoned(version) if chain_state != Some((*version, true)) => {
                return Err(Violation::AbandonedElsewhere(*submission));
            }
            Outcome::Refused if chain_state.is_some() && !unknown_before.contains_key(submission) => {
                return Err(Violation::RefusedButAccepted(*submission));
            }
            Outcome::Unknown => _ = unknown_before.insert(*submission, ()),
            _ => {}
        }
    }
    Ok(())
}

type ChainStates = BTreeMap<SubmissionId, (Version, bool)>;

fn check_chain(chain: &[Link]) -> Result<ChainStates, Violation> {
    let mut chain_states = ChainStates::new();
    let mut previous = None;
    for (link, number) in chain.iter().zip(1..) {
        if link.version != Version(number) || link.previous != previous {
            return Err(Violation::BrokenChain(link.version));
        }
        if !link.leads_to_snapshot {
            return Err(Violation::SnapshotNotReached(link.version));
        }
        if chain_states.insert(link.submission, (link.version, link.abandons)).is_some() {
            return Err(Violation::SubmissionTwice(link.submission));
        }
        previous = Some(link.hash);
    }
    Ok(chain_states)
}

/// Reads the whole chain, oldest version first.
pub async fn read_chain(reader: &ChainReader) -> Vec<Link> {
    let mut links = Vec::new();
    let mut next = reader.read_head().await.expect("the head can be read").map(|seen| seen.head.record);
    while let Some(hash) = next {
        let object = reader.read_record(hash).await.expect("the record can be read");
        let record = object.record.clone();
        links.push((hash, record.clone(), object.step == Step::Abandon));
        next = record.previous;
    }
    links.reverse();
    let head = reader.read_head().await.expect("the head can be read");
    let mut snapshot = Snapshot::default();
    let mut chain = Vec::new();
    for (hash, record, abandons) in links {
        let head = &head.as_ref().expect("there is a head").head;
        let step = reader.read_step(head, record.version).await.expect("the step can be read");
        snapshot = step.delta.apply(&snapshot);
        chain.push(Link {
            version: record.version,
            hash,
            previous: record.previous,
            submission: record.submission,
            abandons,
            leads_to_snapshot: snapshot.content_hash() == record.snapshot,
        });
    }
    if let Some(seen) = head {
        let whole = reader.read_whole(seen.head.record).await.expect("the full configuration can be read");
        assert_eq!(whole.snapshot.content_hash(), snapshot.content_hash());
    }
    chain
}
