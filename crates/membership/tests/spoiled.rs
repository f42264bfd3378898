//! Datagrams that another writer has made, or that were spoiled on their way: whatever they hold, a node goes on with what it knows.

mod support;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use support::{World, address, back_end};
use umberpond_membership::{BackEndState, Datagram};

/// Cases; more by hand with `UMBERPOND_CASES=100000`.
const CASES: usize = 3_000;
const SEED: u64 = 11;

/// Changes some bytes, or cuts the end off.
fn spoil(random: &mut SmallRng, bytes: &[u8]) -> Vec<u8> {
    let mut spoiled = bytes.to_vec();
    for _change in 0..random.random_range(1..4) {
        let at = random.random_range(0..spoiled.len());
        match random.random_range(0..3) {
            0 => spoiled[at] = random.random(),
            1 => spoiled.insert(at, random.random()),
            _ => spoiled.truncate(at.max(1)),
        }
    }
    spoiled
}

#[test]
fn spoiled_datagrams_end_no_node_and_bring_no_loop() {
    let cases = std::env::var("UMBERPOND_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(CASES);
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut world = World::joined(5, 6);
    world.tell(1, |membership, now| membership.set_back_end(now, Some(back_end("a", BackEndState::Ready))));
    world.run_millis(1_000);
    let mut sound = Vec::new();
    world.tell(1, |membership, now| {
        let outgoing = membership.set_back_end(now, Some(back_end("b", BackEndState::Ready)));
        sound.extend(outgoing.iter().map(|outgoing| bitcode::encode(&outgoing.datagram)));
        outgoing
    });
    let mut taken = 0;
    for case in 0..cases {
        let bytes = spoil(&mut random, &sound[case % sound.len()]);
        let Ok(datagram) = bitcode::decode::<Datagram>(&bytes) else { continue };
        taken += 1;
        world.tell(0, |membership, now| {
            let answers = membership.on_datagram(now, address(1), &datagram);
            assert!(answers.len() <= 64, "{} answers to one datagram", answers.len());
            Vec::new()
        });
    }
    assert!(taken > 0);
    world.tell(0, |membership, now| membership.on_tick(now));
}
