//! What must hold and come back when processes and links fail.

mod support;

use support::scenario::{
    accept_and_converge, agree, converge, in_role, settled, transfers_since, witnesses, zone_nodes,
};
use support::world::node_name;
use support::{World, WorldSettings, checks};
use umberpond_model::{EndpointStatus, Millis, NodeName, Version};
use umberpond_overlay::Role;

fn assert_history(world: &World) {
    assert_eq!(checks::never_back(&world.history), []);
    assert_eq!(checks::sound(&world.history), []);
}

fn kill_all(world: &mut World, nodes: &[NodeName]) {
    for node in nodes {
        world.kill(node);
    }
}

fn start_all(world: &mut World, nodes: &[NodeName]) {
    for node in nodes {
        world.start(node);
    }
}

#[test]
fn when_one_reader_dies_the_next_version_arrives_in_time() {
    let mut world = settled(WorldSettings::new(11, 3, 40), 2);
    let reader = in_role(&world, 0, Role::Reader)[0].clone();
    world.kill(&reader);
    accept_and_converge(&mut world, Millis(10_000));
    world.run_for(Millis(15_000));
    assert_eq!(in_role(&world, 0, Role::Reader).len(), 2);
    agree(&mut world, Millis(5_000));
    assert_history(&world);
}

#[test]
fn when_all_readers_die_at_once_others_take_over() {
    let mut world = settled(WorldSettings::new(12, 3, 40), 2);
    let readers: Vec<NodeName> = (0..3).flat_map(|zone| in_role(&world, zone, Role::Reader)).collect();
    kill_all(&mut world, &readers);
    accept_and_converge(&mut world, Millis(10_000));
    agree(&mut world, Millis(10_000));
    assert_history(&world);
}

#[test]
fn when_a_relay_dies_or_stands_still_its_children_go_to_others() {
    let mut world = settled(WorldSettings::new(13, 3, 60), 2);
    let relays = in_role(&world, 0, Role::Relay);
    world.kill(&relays[0]);
    world.freeze(&relays[1]);
    let version = world.accept(&witnesses(&world));
    let frozen = relays[1].clone();
    let took = world.run_until(Millis(10_000), |world| {
        let others = world.live().filter(|(node, _)| node.name != frozen);
        others.into_iter().all(|(_, core)| core.status().active == Some(version))
    });
    assert!(took.is_some(), "not in force after ten seconds");
    world.thaw(&relays[1]);
    converge(&mut world, version, Millis(10_000));
    assert_history(&world);
}

#[test]
fn a_zone_that_restarts_with_the_platform_down_gets_its_floor_from_the_witnesses() {
    let mut world = settled(WorldSettings::new(14, 3, 30), 4);
    let zone = zone_nodes(&world, 1);
    world.platform.down = true;
    kill_all(&mut world, &zone);
    world.run_for(Millis(500));
    start_all(&mut world, &zone);
    converge(&mut world, Version(4), Millis(10_000));
    let floors = world.live().filter(|(node, _)| zone.contains(&node.name));
    assert!(floors.into_iter().all(|(_, core)| core.status().floor == Some(Version(4))));
    assert_history(&world);
}

#[test]
fn without_any_proof_a_restarted_system_waits_for_the_platform() {
    let mut world = settled(WorldSettings::new(15, 3, 10), 3);
    let all: Vec<NodeName> = world.nodes.keys().cloned().collect();
    world.platform.down = true;
    kill_all(&mut world, &all);
    world.run_for(Millis(500));
    start_all(&mut world, &all);
    let activations = world.history.activations.len();
    world.run_for(Millis(30_000));
    assert_eq!(world.history.activations.len(), activations, "something was put in force without a proof");
    assert!(world.live().all(|(_, core)| !core.status().ready));
    world.platform_back();
    converge(&mut world, Version(3), Millis(10_000));
    assert_history(&world);
}

#[test]
fn when_all_connections_end_at_once_whole_transfers_stay_few() {
    let mut world = settled(WorldSettings::new(16, 3, 60), 3);
    let start = world.now;
    let all: Vec<NodeName> = world.nodes.keys().cloned().collect();
    for node in &all {
        world.reset_connections(node);
    }
    accept_and_converge(&mut world, Millis(10_000));
    world.run_for(Millis(5_000));
    let transfers = transfers_since(&world, start);
    let count: usize = transfers.values().map(Vec::len).sum();
    assert!(count <= 6, "{count} whole transfers though everybody held the version before");
    assert_history(&world);
}

#[test]
fn when_half_of_all_nodes_restart_no_parent_sends_too_many_transfers_at_once() {
    let mut world = settled(WorldSettings::new(17, 3, 60), 3);
    let start = world.now;
    let half: Vec<NodeName> = world.nodes.keys().step_by(2).cloned().collect();
    kill_all(&mut world, &half);
    start_all(&mut world, &half);
    accept_and_converge(&mut world, Millis(10_000));
    // A transfer takes at least two milliseconds here, there and back, so four at once are forty in 20 ms.
    let transfers = transfers_since(&world, start);
    assert_eq!(checks::transfers_bounded(&transfers, Millis(2), 4), []);
    assert_history(&world);
}

#[test]
fn nodes_that_the_machine_list_does_not_know_are_served_and_dead_ones_do_no_harm() {
    let mut world = World::new(WorldSettings::new(18, 3, 20));
    let late: Vec<NodeName> = (0..3).flat_map(|zone| (10..20).map(move |n| node_name(zone, n))).collect();
    let early: Vec<NodeName> = world.nodes.keys().filter(|name| !late.contains(name)).cloned().collect();
    start_all(&mut world, &early);
    world.run_for(Millis(20_000));
    accept_and_converge(&mut world, Millis(5_000));
    // The list still names all sixty machines, of which thirty don't run.
    start_all(&mut world, &late);
    world.platform.machines = std::sync::Arc::new(Vec::new());
    kill_all(&mut world, &early[4..10]);
    accept_and_converge(&mut world, Millis(15_000));
    agree(&mut world, Millis(15_000));
    assert_history(&world);
}

#[test]
fn a_zone_cut_from_the_platform_converges_through_the_other_readers() {
    let mut world = settled(WorldSettings::new(19, 3, 20), 2);
    world.platform.cut.insert(support::content::locality(2));
    accept_and_converge(&mut world, Millis(3_000));
    assert_history(&world);
}

#[test]
fn endpoint_records_that_changed_while_a_zone_was_cut_off_meet_afterwards() {
    let mut world = settled(WorldSettings::new(20, 3, 20), 2);
    agree(&mut world, Millis(5_000));
    let cut = support::content::locality(2);
    world.cut_zone(&cut);
    world.run_for(Millis(10_000));
    world.set_status(&node_name(2, 9), EndpointStatus::Draining);
    world.set_status(&node_name(0, 9), EndpointStatus::Draining);
    world.kill(&node_name(1, 9));
    world.run_for(Millis(60_000));
    world.heal();
    agree(&mut world, Millis(15_000));
    accept_and_converge(&mut world, Millis(5_000));
    assert_history(&world);
}

#[test]
fn a_back_end_that_drains_while_its_node_changes_parents_never_comes_back() {
    let mut world = settled(WorldSettings::new(21, 3, 40), 1);
    agree(&mut world, Millis(5_000));
    let leaves = in_role(&world, 0, Role::Leaf);
    for node in leaves.iter().take(8) {
        world.set_status(node, EndpointStatus::Draining);
        world.reset_connections(node);
    }
    agree(&mut world, Millis(4_000));
    for _ in 0..40 {
        world.run_for(Millis(250));
        assert_eq!(support::scenario::mistaken(&world), []);
    }
}

#[test]
fn a_lost_node_is_suspected_and_one_that_lives_clears_itself() {
    let mut world = settled(WorldSettings::new(22, 2, 20), 1);
    agree(&mut world, Millis(5_000));
    let leaf = in_role(&world, 0, Role::Leaf)[0].clone();
    world.freeze(&leaf);
    let took = world.run_until(Millis(20_000), |world| !support::scenario::mistaken(world).is_empty());
    assert!(took.is_some(), "a node that stands still was never suspected");
    world.thaw(&leaf);
    agree(&mut world, Millis(10_000));
}
