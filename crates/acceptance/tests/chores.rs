//! When chores run: the times, the leases, and the conditions of a proposal.

mod support;

use std::collections::BTreeSet;

use support::name;
use umberpond_acceptance::{Chore, ChoreInput, ChoreOutput, ChoreSettings, Chores};
use umberpond_model::{ContentHash, NodeName, SubmissionId, Timestamp, Version, VersionRecord};

const RETRY: u64 = 30_000;
const MISSING_FOR: u64 = 30_000;
const HOUR: u64 = 3_600_000;

fn head(version: u64, since: u64) -> ChoreInput {
    let hash = ContentHash::of(b"any");
    ChoreInput::Head(Box::new(VersionRecord {
        version: Version(version),
        previous: None,
        submission: SubmissionId(1),
        manifest: hash,
        delta: hash,
        snapshot: hash,
        witnesses: ["n1", "n2", "n3"].map(name::<NodeName>).to_vec(),
        witnesses_since: Version(since),
        previous_witnesses: Vec::new(),
        accepted_at_unix_millis: 0,
    }))
}

fn machines(nodes: &[&str]) -> ChoreInput {
    ChoreInput::Machines(nodes.iter().map(|node| name(node)).collect::<BTreeSet<NodeName>>())
}

fn ask(chore: Chore) -> Vec<ChoreOutput> {
    let settings = ChoreSettings::default();
    let duration = match chore {
        Chore::Collect => settings.collect_every,
        Chore::ProposeWitnesses => settings.proposal_lease,
    };
    vec![ChoreOutput::AcquireLease { chore, duration }]
}

/// A reader that knows version 5, with all witnesses listed, and whose collection runs.
fn reader() -> Chores {
    let mut chores = Chores::new(ChoreSettings::default(), Timestamp(0));
    let now = Timestamp(0);
    assert_eq!(chores.on(now, machines(&["n1", "n2", "n3", "n4"])), []);
    assert_eq!(chores.on(now, head(5, 5)), []);
    assert_eq!(chores.on(now, ChoreInput::Reader(true)), ask(Chore::Collect));
    let granted = ChoreInput::Lease { chore: Chore::Collect, granted: true };
    assert_eq!(chores.on(now, granted), [ChoreOutput::Run(Chore::Collect)]);
    chores
}

fn tick(chores: &mut Chores, at: u64) -> Vec<ChoreOutput> {
    chores.on(Timestamp(at), ChoreInput::Tick)
}

#[test]
fn a_collection_runs_hourly_and_sooner_after_a_failure_or_a_refused_lease() {
    let mut chores = reader();
    let ended = |succeeded| ChoreInput::Ended { chore: Chore::Collect, succeeded };
    let lease = |granted| ChoreInput::Lease { chore: Chore::Collect, granted };
    assert_eq!(tick(&mut chores, 2 * HOUR), [], "one at a time");
    assert_eq!(chores.on(Timestamp(0), ended(true)), []);
    assert_eq!(tick(&mut chores, HOUR - 1), []);
    assert_eq!(tick(&mut chores, HOUR), ask(Chore::Collect));
    assert_eq!(tick(&mut chores, HOUR), [], "asked once");
    assert_eq!(chores.on(Timestamp(HOUR), lease(false)), []);
    assert_eq!(tick(&mut chores, HOUR + RETRY - 1), []);
    assert_eq!(tick(&mut chores, HOUR + RETRY), ask(Chore::Collect));
    let again = HOUR + RETRY;
    assert_eq!(chores.on(Timestamp(again), lease(true)), [ChoreOutput::Run(Chore::Collect)]);
    assert_eq!(chores.on(Timestamp(again), ended(false)), []);
    assert_eq!(tick(&mut chores, again + RETRY), ask(Chore::Collect));
    // A lease that comes after the role is gone starts nothing.
    assert_eq!(chores.on(Timestamp(again + RETRY), ChoreInput::Reader(false)), []);
    assert_eq!(chores.on(Timestamp(again + RETRY), lease(true)), []);
    assert_eq!(tick(&mut chores, 9 * HOUR), []);
}

#[test]
fn a_missing_witness_is_replaced_once_it_was_neither_listed_nor_seen_and_the_last_change_is_committed() {
    let mut chores = reader();
    chores.on(Timestamp(0), ChoreInput::Committed(Version(5)));
    assert_eq!(tick(&mut chores, 10 * MISSING_FOR), [], "all are listed");
    let gone = 10 * MISSING_FOR;
    chores.on(Timestamp(gone), machines(&[]));
    assert_eq!(tick(&mut chores, gone + MISSING_FOR), [], "the list is lost");
    let gone = gone + MISSING_FOR;
    chores.on(Timestamp(gone), machines(&["n1", "n2", "n4"]));
    chores.on(Timestamp(gone), ChoreInput::Seen(name("n3")));
    assert_eq!(tick(&mut chores, gone + MISSING_FOR - 1), []);
    assert_eq!(chores.on(Timestamp(gone + MISSING_FOR - 1), ChoreInput::Seen(name("n3"))), []);
    assert_eq!(tick(&mut chores, gone + MISSING_FOR), [], "it was seen since");
    let due = gone + 2 * MISSING_FOR - 1;
    assert_eq!(tick(&mut chores, due), ask(Chore::ProposeWitnesses));
    let lease = ChoreInput::Lease { chore: Chore::ProposeWitnesses, granted: true };
    assert_eq!(chores.on(Timestamp(due), lease), [ChoreOutput::Run(Chore::ProposeWitnesses)]);
    let ended = ChoreInput::Ended { chore: Chore::ProposeWitnesses, succeeded: true };
    assert_eq!(chores.on(Timestamp(due), ended), []);
    // Version 6 changed the set and isn't committed; its members are still missing.
    chores.on(Timestamp(due), head(6, 6));
    assert_eq!(tick(&mut chores, due + 10 * MISSING_FOR), []);
    let committed = ChoreInput::Committed(Version(6));
    assert_eq!(chores.on(Timestamp(due + 10 * MISSING_FOR), committed), ask(Chore::ProposeWitnesses));
    // It comes back before the lease does.
    let now = Timestamp(due + 10 * MISSING_FOR);
    chores.on(now, ChoreInput::Seen(name("n3")));
    let lease = ChoreInput::Lease { chore: Chore::ProposeWitnesses, granted: true };
    assert_eq!(chores.on(now, lease), []);
    // A new reader waits the whole time, too.
    let later = due + 20 * MISSING_FOR;
    assert_eq!(chores.on(Timestamp(later), ChoreInput::Reader(false)), []);
    assert_eq!(chores.on(Timestamp(later), ChoreInput::Reader(true)), []);
    assert_eq!(tick(&mut chores, later + MISSING_FOR - 1), []);
    assert_eq!(tick(&mut chores, later + MISSING_FOR), ask(Chore::ProposeWitnesses));
}
