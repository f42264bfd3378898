//! Live readers follow an operator's replacement of a witness set whose majority is lost for good.

mod support;

use support::scenario::{all_run, converge, settled, witnesses};
use support::world::node_name;
use support::{WorldSettings, checks};
use umberpond_model::{Millis, NodeName};

#[test]
fn after_a_replacement_of_lost_witnesses_the_live_readers_commit_again() {
    let mut world = settled(WorldSettings::new(31, 3, 20), 3);
    let lost = witnesses(&world);
    for node in &lost[..2] {
        world.kill(node);
    }
    let stuck = world.accept(&lost);
    world.run_for(Millis(10_000));
    assert!(!all_run(&world, stuck), "a version came into force without its witnesses");
    let replacements: Vec<NodeName> = (0..3).map(|zone| node_name(zone, 7)).collect();
    let replaced = world.replace_witnesses(&replacements);
    converge(&mut world, replaced, Millis(10_000));
    assert_eq!(checks::never_back(&world.history), []);
}
