//! Corrupted or foreign datagrams: whatever they contain, a node must keep running with the state it has.

mod support;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use support::{Cluster, address, back_end};
use umberpond_membership::{BackEndState, Datagram};

/// Number of cases; set `UMBERPOND_CASES=100000` for a longer run.
const CASES: usize = 3_000;
const SEED: u64 = 11;

/// Changes a few bytes or truncates the datagram.
fn corrupt(random: &mut SmallRng, bytes: &[u8]) -> Vec<u8> {
    let mut corrupted = bytes.to_vec();
    for _change in 0..random.random_range(1..4) {
        let at = random.random_range(0..corrupted.len());
        match random.random_range(0..3) {
            0 => corrupted[at] = random.random(),
            1 => corrupted.insert(at, random.random()),
            _ => corrupted.truncate(at.max(1)),
        }
    }
    corrupted
}

#[test]
fn corrupted_datagrams_cause_neither_panics_nor_response_floods() {
    let cases = std::env::var("UMBERPOND_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(CASES);
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut cluster = Cluster::joined(5, 6);
    cluster.update_node(1, |membership, now| {
        membership.set_back_end(now, Some(back_end("a", BackEndState::Ready)))
    });
    cluster.run_millis(1_000);
    let mut valid = Vec::new();
    cluster.update_node(1, |membership, now| {
        let outgoing = membership.set_back_end(now, Some(back_end("b", BackEndState::Ready)));
        valid.extend(outgoing.iter().map(|outgoing| bitcode::encode(&outgoing.datagram)));
        outgoing
    });
    let mut decoded = 0;
    for case in 0..cases {
        let bytes = corrupt(&mut random, &valid[case % valid.len()]);
        let Ok(datagram) = bitcode::decode::<Datagram>(&bytes) else { continue };
        decoded += 1;
        cluster.update_node(0, |membership, now| {
            let responses = membership.on_datagram(now, address(1), &datagram);
            assert!(responses.len() <= 64, "{} responses to one datagram", responses.len());
            Vec::new()
        });
    }
    assert!(decoded > 0);
    cluster.update_node(0, |membership, now| membership.on_tick(now));
}
