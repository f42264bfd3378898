//! Worlds that have settled, and what is asked of them again and again.

use std::collections::BTreeMap;

use umberpond_model::{EndpointStatus, Millis, NodeName, Timestamp, Version};
use umberpond_overlay::Role;

use super::content::locality;
use super::world::{Machinery, World, WorldSettings, node_name};

/// Time after which roles have settled.
pub const SETTLE: Millis = Millis(20_000);

/// One witness a zone, none of them a seed.
pub fn witnesses(world: &World) -> Vec<NodeName> {
    (0..world.settings.zones).map(|zone| node_name(zone, 3)).collect()
}

/// A world with roles settled and `versions` versions in force everywhere.
pub fn settled(settings: WorldSettings, versions: usize) -> World {
    let mut world = World::new(settings);
    world.start_all();
    world.run_for(SETTLE);
    for _ in 0..versions {
        accept_and_converge(&mut world, Millis(5_000));
    }
    world
}

/// Accepts a version and tells how long it took until it was in force on every live node.
pub fn accept_and_converge(world: &mut World, limit: Millis) -> Millis {
    let witnesses = witnesses(world);
    let version = world.accept(&witnesses);
    converge(world, version, limit)
}

pub fn converge(world: &mut World, version: Version, limit: Millis) -> Millis {
    let took = world.run_until(limit, |world| all_run(world, version));
    if took.is_none() {
        world.trace_state();
    }
    let lagging = lagging(world, version);
    took.unwrap_or_else(|| panic!("version {version} isn't in force after {limit:?} on {lagging:?}"))
}

pub fn all_run(world: &World, version: Version) -> bool {
    world.live().all(|(_, core)| core.status().active >= Some(version))
}

fn lagging(world: &World, version: Version) -> Vec<(NodeName, Role, Option<Version>)> {
    let lags = |core: &umberpond_overlay::OverlayNode| core.status().active < Some(version);
    world
        .live()
        .filter(|(_, core)| lags(core))
        .map(|(node, core)| (node.name.clone(), core.status().role, core.status().held))
        .collect()
}

pub fn in_role(world: &World, zone: usize, role: Role) -> Vec<NodeName> {
    let zone = locality(zone);
    world
        .live()
        .filter(|(node, core)| node.locality == zone && core.status().role == role)
        .map(|(node, _)| node.name.clone())
        .collect()
}

pub fn zone_nodes(world: &World, zone: usize) -> Vec<NodeName> {
    let zone = locality(zone);
    world.nodes.values().filter(|node| node.locality == zone).map(|node| node.name.clone()).collect()
}

fn calls(world: &World, caller: &Machinery, target: &Machinery) -> bool {
    let services = world.settings.services;
    let after = (caller.service + 1) % services;
    let before = (caller.service + services - 1) % services;
    target.service == after || target.service == before
}

/// Callers that believe something else of a back end than what holds: wrong status, or ready though its node is dead.
pub fn mistaken(world: &World) -> Vec<(NodeName, NodeName)> {
    let mut mistaken = Vec::new();
    for (caller, _) in world.live() {
        for target in world.nodes.values().filter(|target| calls(world, caller, target)) {
            let known = caller.known.get(&target.name);
            let believed_ready = known.is_some_and(|record| record.takes_new_work());
            let is_ready = target.core.is_some() && target.record.status == EndpointStatus::Ready;
            if believed_ready != is_ready {
                mistaken.push((caller.name.clone(), target.name.clone()));
            }
        }
    }
    mistaken
}

pub fn agree(world: &mut World, limit: Millis) -> Millis {
    let took = world.run_until(limit, |world| mistaken(world).is_empty());
    let wrong = mistaken(world);
    if took.is_none() {
        world.trace_state();
        world.trace_records(&wrong);
    }
    took.unwrap_or_else(|| panic!("after {limit:?} {} callers are wrong: {:?}", wrong.len(), wrong.first()))
}

/// Whole transfers sent by each node since `start`.
pub fn transfers_since(world: &World, start: Timestamp) -> BTreeMap<NodeName, Vec<Timestamp>> {
    let since = |node: &Machinery| node.wholes_sent.iter().copied().filter(|at| *at >= start).collect();
    world.nodes.values().map(|node| (node.name.clone(), since(node))).collect()
}
