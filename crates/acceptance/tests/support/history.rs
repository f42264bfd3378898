//! What operators were told and what the chain holds, and the rules that both must keep.

use std::collections::BTreeMap;

use umberpond_acceptance::Step;
use umberpond_acceptance::chain::ChainReader;
use umberpond_config::Snapshot;
use umberpond_model::{ContentHash, SubmissionId, Version};

/// What one call told its operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Accepted(Version),
    /// Not accepted, invalid, conflict: nothing happened and nothing will.
    Refused,
    Abandoned(Version),
    Unknown,
}

/// One version as the chain holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Link {
    pub version: Version,
    pub hash: ContentHash,
    pub previous: Option<ContentHash>,
    pub submission: SubmissionId,
    pub abandons: bool,
    /// Whether the steps up to here lead to the accepted snapshot.
    pub leads_to_snapshot: bool,
}

#[derive(Debug, Clone, Default)]
pub struct History {
    /// Calls in the order in which they ended.
    pub calls: Vec<(SubmissionId, Answer)>,
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

/// Checks a history whose delayed requests have all arrived.
pub fn check(history: &History) -> Result<(), Violation> {
    let fates = check_chain(&history.chain)?;
    let mut unknown_before = BTreeMap::new();
    for (submission, answer) in &history.calls {
        let fate = fates.get(submission).copied();
        match answer {
            Answer::Accepted(version) if fate != Some((*version, false)) => {
                return Err(Violation::AcceptedElsewhere(*submission));
            }
            Answer::Abandoned(version) if fate != Some((*version, true)) => {
                return Err(Violation::AbandonedElsewhere(*submission));
            }
            Answer::Refused if fate.is_some() && !unknown_before.contains_key(submission) => {
                return Err(Violation::RefusedButAccepted(*submission));
            }
            Answer::Unknown => _ = unknown_before.insert(*submission, ()),
            _ => {}
        }
    }
    Ok(())
}

type Fates = BTreeMap<SubmissionId, (Version, bool)>;

fn check_chain(chain: &[Link]) -> Result<Fates, Violation> {
    let mut fates = Fates::new();
    let mut previous = None;
    for (link, number) in chain.iter().zip(1..) {
        if link.version != Version(number) || link.previous != previous {
            return Err(Violation::BrokenChain(link.version));
        }
        if !link.leads_to_snapshot {
            return Err(Violation::SnapshotNotReached(link.version));
        }
        if fates.insert(link.submission, (link.version, link.abandons)).is_some() {
            return Err(Violation::SubmissionTwice(link.submission));
        }
        previous = Some(link.hash);
    }
    Ok(fates)
}

/// Reads the whole chain, oldest version first.
pub async fn read_chain(reader: &ChainReader) -> Vec<Link> {
    let mut links = Vec::new();
    let mut next = reader.read_head().await.expect("the head reads").map(|seen| seen.head.record);
    while let Some(hash) = next {
        let object = reader.read_record(hash).await.expect("the record reads");
        let record = object.record.clone();
        links.push((hash, record.clone(), object.step == Step::Abandon));
        next = record.previous;
    }
    links.reverse();
    let head = reader.read_head().await.expect("the head reads");
    let mut snapshot = Snapshot::default();
    let mut chain = Vec::new();
    for (hash, record, abandons) in links {
        let head = &head.as_ref().expect("there is a head").head;
        let step = reader.read_step(head, record.version).await.expect("the step reads");
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
        let whole = reader.read_whole(seen.head.record).await.expect("the whole reads");
        assert_eq!(whole.snapshot.content_hash(), snapshot.content_hash());
    }
    chain
}
