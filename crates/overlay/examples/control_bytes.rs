//! Bytes that each role sends, by `bitcode` sizes of the messages: idle, and at a rate of changes.
//!
//! `cargo run --release -p umberpond-overlay --example control_bytes -- ZONES NODES_PER_ZONE SERVICES SECONDS
//! CHANGES_PER_SECOND CONFIG_SHARE_PERCENT`

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;

use support::scenario::witnesses;
use support::{World, WorldSettings};
use umberpond_model::{EndpointStatus, Millis, NodeName, Timestamp};
use umberpond_overlay::Role;

/// Window of the greatest rate, in seconds.
const WINDOW: u64 = 10;

fn main() {
    let arguments: Vec<u64> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let [zones, nodes, services, seconds, rate, config_share] = arguments[..] else {
        eprintln!("six numbers are needed, see the head of this example");
        std::process::exit(2);
    };
    let mut settings = WorldSettings::new(1, zones as usize, nodes as usize);
    settings.services = services as usize;
    settings.trace = false;
    let mut world = World::new(settings);
    world.start_all();
    world.run_for(Millis(40_000));
    let first = witnesses(&world);
    world.accept(&first);
    world.run_for(Millis(20_000));
    let idle_from = world.now;
    world.run_for(Millis(30_000));
    print_rates(&world, "idle", idle_from, 30);
    let busy_from = world.now;
    let (steps, accepted) = drive(&mut world, seconds, rate, config_share);
    print_rates(&world, "busy", busy_from, seconds);
    world.run_for(Millis(5_000));
    print_convergence(&world, &accepted);
    println!(
        "{} nodes, {} virtual seconds, {} events, {steps} changes",
        zones * nodes,
        world.now.0 / 1_000,
        world.events
    );
}

/// Changes the configuration or a back end's state, evenly spread over time.
fn drive(
    world: &mut World,
    seconds: u64,
    rate: u64,
    config_share: u64,
) -> (u64, Vec<umberpond_model::Version>) {
    let names: Vec<NodeName> = world.nodes.keys().cloned().collect();
    let mut accepted = Vec::new();
    let steps = seconds * rate;
    for step in 0..steps {
        if step * config_share / 100 != (step + 1) * config_share / 100 {
            let witnesses = witnesses(world);
            accepted.push(world.accept(&witnesses));
        } else {
            let name = &names[(step as usize * 7919) % names.len()];
            let is_ready = world.nodes[name].record.status == EndpointStatus::Ready;
            // A status only moves forward within an incarnation, so each node drains at most once.
            if is_ready {
                world.set_status(name, EndpointStatus::Draining);
            }
        }
        world.run_for(Millis(1_000 / rate));
    }
    (steps, accepted)
}

fn print_rates(world: &World, phase: &str, from: Timestamp, seconds: u64) {
    let mut by_role: BTreeMap<Role, Vec<(u64, u64)>> = BTreeMap::new();
    for (node, core) in world.live() {
        let per_second = world.history.bytes.get(&node.name);
        let first = from.0 / 1_000;
        let total: u64 =
            per_second.map_or(0, |bytes| bytes.range(first..first + seconds).map(|(_, b)| b).sum());
        let peak = world.history.peak_bytes(&node.name, from, WINDOW);
        by_role.entry(core.status().role).or_default().push((total / seconds, peak / WINDOW));
    }
    let all: Vec<u64> = by_role.values().flatten().map(|(mean, _)| *mean).collect();
    println!("{phase}: mean over all nodes {} bytes/s sent", all.iter().sum::<u64>() / all.len() as u64);
    for (role, rates) in by_role {
        let mean = rates.iter().map(|(mean, _)| mean).sum::<u64>() / rates.len() as u64;
        let max = rates.iter().map(|(_, peak)| peak).max().unwrap_or(&0);
        println!(
            "  {role:?}: {} nodes, mean {mean} bytes/s, greatest over {WINDOW} s {max} bytes/s",
            rates.len()
        );
    }
}

fn print_convergence(world: &World, accepted: &[umberpond_model::Version]) {
    let mut times: Vec<u64> = Vec::new();
    for version in accepted {
        let Some(start) = world.history.accepted.get(version) else { continue };
        let mut reached: BTreeMap<&NodeName, Timestamp> = BTreeMap::new();
        for activation in world.history.activations.iter().filter(|activation| activation.version >= *version)
        {
            reached.entry(&activation.node).or_insert(activation.time);
        }
        times.extend(reached.values().map(|time| time.since(*start).0));
    }
    times.sort_unstable();
    if times.is_empty() {
        return;
    }
    let at = |share: usize| times[(times.len() - 1) * share / 100];
    println!("in force after: p50 {} ms, p99 {} ms, greatest {} ms", at(50), at(99), at(100));
}
