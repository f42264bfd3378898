//! The choice of witnesses, as a function and as versions of their own.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use quickcheck::quickcheck;
use support::{context, member, name, platform_with_mesh, put, read_head, reader, service};
use umberpond_acceptance::chain::WholeConfiguration;
use umberpond_acceptance::{
    Accepted, Acceptor, AcceptorContext, AcceptorSettings, MAX_WITNESSES, ReplacementRefusal, Step,
    SubmitError, WitnessProposal, WitnessReplacement, choose_witnesses,
};
use umberpond_model::{Member, NodeName, SubmissionId, Version};
use umberpond_platform::memory::MemoryPlatform;

/// At most 40 nodes in at most 20 zones.
fn members(zones: &[u8]) -> Vec<Member> {
    let numbered = zones.iter().take(40).enumerate();
    numbered.map(|(index, zone)| member(&format!("n{index}"), &format!("z{}", zone % 20))).collect()
}

fn zone_of(candidates: &[Member], node: &NodeName) -> String {
    let member = candidates.iter().find(|member| member.node == *node).expect("a candidate");
    member.locality.to_string()
}

quickcheck! {
    fn the_choice_keeps_its_rules(before: Vec<u8>, lost: Vec<bool>) -> bool {
        let before = members(&before);
        let previous = choose_witnesses(&before, &[]);
        let is_lost = |index: usize| lost.get(index).copied().unwrap_or_default();
        let now: Vec<_> = before.iter().enumerate().filter(|(index, _)| !is_lost(*index)).collect();
        let now: Vec<_> = now.into_iter().map(|(_, member)| member.clone()).collect();
        let chosen = choose_witnesses(&now, &previous);
        if now.is_empty() {
            return chosen == previous;
        }
        let zones: BTreeSet<_> = now.iter().map(|member| &member.locality).collect();
        let chosen_zones: BTreeSet<_> = chosen.iter().map(|node| zone_of(&now, node)).collect();
        let live_before = previous.iter().filter(|node| now.iter().any(|member| member.node == **node));
        let kept = live_before.clone().filter(|node| chosen.contains(node)).count();
        let sound_count = chosen.len() % 2 == 1 && chosen.len() <= MAX_WITNESSES;
        let enough = now.len() < 3 || chosen.len() >= 3;
        let spread = zones.len() < 3 || chosen_zones.len() == chosen.len();
        // Where no zone was lost, every live witness stays.
        let zones_before: BTreeSet<_> = before.iter().map(|member| &member.locality).collect();
        let keeps = zones.len() != zones_before.len() || now.len() < 3 || kept == live_before.count();
        sound_count && enough && spread && keeps && choose_witnesses(&now, &chosen).len() == chosen.len()
    }
}

#[test]
fn the_planned_size_has_one_witness_per_zone() {
    let zones: Vec<u8> = (0..30).map(|index| index % 15).collect();
    let candidates = members(&zones);
    let chosen = choose_witnesses(&candidates, &[]);
    let zones: BTreeSet<_> = chosen.iter().map(|node| zone_of(&candidates, node)).collect();
    assert_eq!((chosen.len(), zones.len()), (15, 15));
}

/// Where the candidates and the commit index are what the test says at the moment.
struct Cluster {
    platform: MemoryPlatform,
    candidates: Arc<Mutex<Vec<Member>>>,
    commit_index: Arc<AtomicU64>,
}

impl Cluster {
    /// The mesh is version 1, with witnesses n1, n2, n3.
    async fn new() -> Self {
        let platform = platform_with_mesh().await;
        let cluster = Self { platform, candidates: Arc::default(), commit_index: Arc::default() };
        cluster.has(["n1", "n2", "n3"]);
        cluster
    }

    /// Only these nodes are left, one in each zone.
    fn has(&self, nodes: [&str; 3]) {
        let zones = nodes.iter().zip(["a", "b", "c"]);
        *self.candidates.lock() = zones.map(|(node, zone)| member(node, zone)).collect();
    }

    fn commit(&self, version: u64) {
        self.commit_index.store(version, Ordering::Relaxed);
    }

    fn acceptor(&self) -> Acceptor {
        let candidates = Arc::clone(&self.candidates);
        let commit_index = Arc::clone(&self.commit_index);
        let context = AcceptorContext {
            candidates: Arc::new(move || candidates.lock().clone()),
            commit_index: Arc::new(move || Version(commit_index.load(Ordering::Relaxed))),
            ..context(self.platform.client(), 1)
        };
        Acceptor::new(context, AcceptorSettings::default())
    }

    async fn propose(&self, id: u128) -> WitnessProposal {
        self.acceptor().propose_witnesses(SubmissionId(id)).await.expect("the platform answers")
    }

    /// An ordinary submission.
    async fn put(&self, id: u32) {
        put(&self.acceptor(), id.into(), "billing", service("billing", id)).await;
    }

    /// The head, read by a node that knows nothing of the chain before.
    async fn whole(&self) -> WholeConfiguration {
        let head = read_head(&self.platform).await;
        reader(&self.platform).read_whole(head.record).await.expect("reads")
    }

    async fn witnesses(&self) -> Vec<NodeName> {
        self.whole().await.record.witnesses
    }
}

fn nodes(names: [&str; 3]) -> Vec<NodeName> {
    names.into_iter().map(name).collect()
}

#[tokio::test(start_paused = true)]
async fn a_lost_witness_is_replaced_by_a_version_without_another_change() {
    let cluster = Cluster::new().await;
    cluster.commit(1);
    assert_eq!(cluster.propose(2).await, WitnessProposal::Unchanged);
    cluster.has(["n1", "n2", "n4"]);
    let answer = cluster.propose(3).await;
    let WitnessProposal::Accepted(accepted) = answer else { panic!("not accepted: {answer:?}") };
    assert_eq!(accepted.record.witnesses, nodes(["n1", "n2", "n4"]));
    let chain = reader(&cluster.platform);
    let head = read_head(&cluster.platform).await;
    assert!(chain.read_step(&head, accepted.version).await.expect("reads").delta.is_empty());
    assert_eq!(cluster.whole().await.previous_witnesses, nodes(["n1", "n2", "n3"]));
}

#[tokio::test(start_paused = true)]
async fn the_set_changes_only_once_its_last_change_is_committed() {
    let cluster = Cluster::new().await;
    cluster.has(["n1", "n2", "n4"]);
    cluster.put(2).await;
    assert_eq!(cluster.witnesses().await, nodes(["n1", "n2", "n3"]), "version 1 is not committed");
    cluster.commit(1);
    cluster.put(3).await;
    assert_eq!(cluster.witnesses().await, nodes(["n1", "n2", "n4"]));
    cluster.has(["n1", "n5", "n4"]);
    cluster.commit(2);
    cluster.put(4).await;
    assert_eq!(cluster.witnesses().await, nodes(["n1", "n2", "n4"]), "version 3 is not committed");
    assert_eq!(cluster.propose(5).await, WitnessProposal::LastChangeNotCommitted(Version(3)));
    assert_eq!(cluster.whole().await.record.version, Version(4), "nothing was proposed");
    cluster.commit(3);
    assert!(matches!(cluster.propose(5).await, WitnessProposal::Accepted(_)));
    assert_eq!(cluster.witnesses().await, nodes(["n1", "n4", "n5"]));
}

#[tokio::test(start_paused = true)]
async fn a_reader_of_the_whole_gets_the_last_set_that_differed_however_long_ago() {
    let cluster = Cluster::new().await;
    cluster.commit(1);
    assert_eq!(cluster.whole().await.previous_witnesses, Vec::<NodeName>::new());
    cluster.has(["n1", "n2", "n4"]);
    for id in 2..150 {
        cluster.put(id).await;
        assert_eq!(cluster.whole().await.previous_witnesses, nodes(["n1", "n2", "n3"]), "version {id}");
    }
    let record = cluster.whole().await.record;
    assert_eq!((record.version, record.witnesses_since), (Version(149), Version(2)));
}

/// A replacement of these witnesses, forced for the set that `forced_for` named.
fn replacement(lost: &[&str], forced_for: Option<u64>) -> WitnessReplacement {
    let lost = lost.iter().map(|node| name(node)).collect();
    WitnessReplacement { lost, forced_for: forced_for.map(Version) }
}

impl Cluster {
    async fn replace(
        &self,
        id: u128,
        lost: &[&str],
        forced_for: Option<u64>,
    ) -> Result<Accepted, ReplacementRefusal> {
        let replacement = replacement(lost, forced_for);
        match self.acceptor().replace_witnesses(SubmissionId(id), replacement).await {
            Err(SubmitError::Replacement(refusal)) => Err(refusal),
            other => Ok(other.expect("the platform answers")),
        }
    }

    /// Version 1 has witnesses n1, n2, n3; version 2 changes them to n1, n4, n5.
    async fn with_two_sets() -> Self {
        let cluster = Self::new().await;
        cluster.commit(1);
        cluster.has(["n1", "n4", "n5"]);
        cluster.put(2).await;
        cluster
    }
}

#[tokio::test(start_paused = true)]
async fn witnesses_are_replaced_only_if_forced_for_the_set_seen_and_a_majority_is_lost() {
    let cluster = Cluster::new().await;
    cluster.commit(1);
    assert_eq!(cluster.replace(2, &["n1"], Some(1)).await, Err(ReplacementRefusal::MajorityRemains));
    let stranger = ReplacementRefusal::NotWitnesses { nodes: vec![name("n9")] };
    assert_eq!(cluster.replace(2, &["n1", "n2", "n9"], Some(1)).await, Err(stranger));
    cluster.has(["n4", "n2", "n3"]);
    for forced_for in [None, Some(7)] {
        let refused = cluster.replace(2, &["n1", "n2"], forced_for).await;
        let Err(ReplacementRefusal::NotForced { plan }) = refused else { panic!("{refused:?}") };
        assert_eq!((plan.witnesses_since, plan.still_listed), (Version(1), vec![name("n2")]));
    }
    assert_eq!(cluster.whole().await.record.version, Version(1));
    let accepted = cluster.replace(2, &["n1", "n2"], Some(1)).await.expect("is forced");
    assert!(!accepted.record.witnesses.iter().any(|node| ["n1", "n2"].contains(&node.as_str())));
    assert_eq!(accepted.record.previous_witnesses, []);
    assert_eq!(accepted.record.witnesses_since, Version(2));
    assert_eq!(cluster.replace(2, &["n1", "n2"], Some(1)).await, Ok(accepted), "the same id again");
    let chain = reader(&cluster.platform);
    let head = read_head(&cluster.platform).await;
    let step = chain.read_record(head.record).await.expect("reads").step.clone();
    assert_eq!(step, Step::ReplaceWitnesses { lost: vec![name("n1"), name("n2")] });
    cluster.has(["n6", "n7", "n8"]);
    assert_eq!(cluster.propose(3).await, WitnessProposal::LastChangeNotCommitted(Version(2)));
}

/// While a change of the set isn't committed, both sets are in play. Each that keeps its majority keeps its say.
#[tokio::test(start_paused = true)]
async fn a_replacement_asks_each_set_that_can_still_answer() {
    let cluster = Cluster::with_two_sets().await;
    let only_present = cluster.replace(3, &["n4", "n5"], Some(2)).await.expect("is forced").record;
    assert_eq!(only_present.previous_witnesses, nodes(["n1", "n2", "n3"]));
    assert!(!only_present.witnesses.iter().any(|node| ["n4", "n5"].contains(&node.as_str())));

    let cluster = Cluster::with_two_sets().await;
    cluster.has(["n6", "n7", "n8"]);
    let only_previous = cluster.replace(3, &["n2", "n3"], Some(2)).await.expect("is forced").record;
    assert_eq!(only_previous.witnesses, nodes(["n1", "n4", "n5"]), "the present set stays");
    assert_eq!(only_previous.previous_witnesses, []);

    let cluster = Cluster::with_two_sets().await;
    cluster.has(["n6", "n7", "n8"]);
    let both = cluster.replace(3, &["n1", "n2", "n4"], Some(2)).await.expect("is forced").record;
    assert_eq!((both.witnesses, both.previous_witnesses), (nodes(["n6", "n7", "n8"]), Vec::new()));

    // Once the change is committed, the set before it has no say and is no one's business.
    let cluster = Cluster::with_two_sets().await;
    cluster.commit(2);
    let stranger = ReplacementRefusal::NotWitnesses { nodes: vec![name("n2"), name("n3")] };
    assert_eq!(cluster.replace(3, &["n2", "n3"], Some(2)).await, Err(stranger));
}
