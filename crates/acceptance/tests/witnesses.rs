//! The choice of witnesses, as a function and as versions of their own.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use quickcheck::quickcheck;
use support::{member, name, platform_with_mesh, reader};
use umberpond_acceptance::{
    Acceptor, AcceptorContext, AcceptorSettings, MAX_WITNESSES, WitnessProposal, choose_witnesses,
};
use umberpond_model::{Member, NodeName, SubmissionId};

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

#[tokio::test(start_paused = true)]
async fn a_lost_witness_is_replaced_by_a_version_without_another_change() {
    let platform = platform_with_mesh().await;
    let proposer = |candidates: Vec<Member>| {
        let context = AcceptorContext {
            store: Arc::new(platform.client()),
            candidates: Arc::new(move || candidates.clone()),
            unix_millis: Arc::new(|| 2),
            seed: 1,
        };
        Acceptor::new(context, AcceptorSettings::default())
    };
    let all = vec![member("n1", "a"), member("n2", "b"), member("n3", "c")];
    let unchanged = proposer(all.clone()).propose_witnesses(SubmissionId(2)).await;
    assert_eq!(unchanged, Ok(WitnessProposal::Unchanged));
    let replaced = vec![member("n1", "a"), member("n2", "b"), member("n4", "c")];
    let answer = proposer(replaced).propose_witnesses(SubmissionId(3)).await;
    let Ok(WitnessProposal::Accepted(accepted)) = answer else { panic!("not accepted: {answer:?}") };
    assert_eq!(accepted.record.witnesses, [name("n1"), name("n2"), name("n4")]);
    let chain = reader(&platform);
    let head = chain.read_head().await.expect("reads").expect("stands").head;
    assert!(chain.read_step(&head, accepted.version).await.expect("reads").delta.is_empty());
    let whole = chain.read_whole(head.record).await.expect("reads");
    assert_eq!(whole.previous_witnesses, [name("n1"), name("n2"), name("n3")]);
}
