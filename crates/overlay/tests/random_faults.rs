//! Random faults, two at a time, on fixed seeds; `OVERLAY_SEEDS=first..last` tries others.

mod support;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::content::locality;
use support::scenario::{agree, converge, in_role, settled, witnesses, zone_nodes};
use support::{World, WorldSettings, checks};
use umberpond_model::{Millis, NodeName};
use umberpond_overlay::Role;

const ZONES: usize = 3;
const ROUNDS: usize = 6;

#[derive(Debug, Clone)]
enum Fault {
    Kill(Vec<NodeName>),
    Restart(Vec<NodeName>),
    Freeze(Vec<NodeName>),
    Reset(Vec<NodeName>),
    PlatformDown,
    PlatformCut(usize),
    ZoneCut(usize),
}

fn pick(rng: &mut ChaCha8Rng, names: &[NodeName], count: usize) -> Vec<NodeName> {
    let mut names = names.to_vec();
    let mut picked = Vec::new();
    while picked.len() < count && !names.is_empty() {
        let index = rng.next_u64() as usize % names.len();
        picked.push(names.swap_remove(index));
    }
    picked
}

fn random_fault(world: &World, rng: &mut ChaCha8Rng) -> Fault {
    let all: Vec<NodeName> = world.live().map(|(node, _)| node.name.clone()).collect();
    let zone = rng.next_u64() as usize % ZONES;
    let readers: Vec<NodeName> = (0..ZONES).flat_map(|zone| in_role(world, zone, Role::Reader)).collect();
    match rng.next_u64() % 11 {
        0 => Fault::Kill(pick(rng, &all, 6)),
        1 => Fault::Restart(pick(rng, &all, 20)),
        2 => Fault::Freeze(pick(rng, &all, 5)),
        3 => Fault::Reset(pick(rng, &all, 30)),
        4 => Fault::Kill(readers),
        5 => Fault::Freeze(pick(rng, &readers, 3)),
        6 => Fault::Restart(in_role(world, zone, Role::Relay)),
        7 => Fault::PlatformDown,
        8 => Fault::PlatformCut(zone),
        9 => Fault::ZoneCut(zone),
        _ => Fault::Restart(zone_nodes(world, zone)),
    }
}

fn apply(world: &mut World, fault: &Fault) {
    let runs = |world: &World, name: &NodeName| world.nodes[name].core.is_some();
    match fault {
        Fault::Kill(names) | Fault::Restart(names) => {
            for name in names {
                if runs(world, name) {
                    world.kill(name);
                }
            }
            if matches!(fault, Fault::Restart(_)) {
                for name in names {
                    world.start(name);
                }
            }
        }
        Fault::Freeze(names) => names.iter().for_each(|name| world.freeze(name)),
        Fault::Reset(names) => names.iter().for_each(|name| world.reset_connections(name)),
        Fault::PlatformDown => world.platform.down = true,
        Fault::PlatformCut(zone) => {
            world.platform.cut.insert(locality(*zone));
        }
        Fault::ZoneCut(zone) => world.cut_zone(&locality(*zone)),
    }
}

fn end_faults(world: &mut World) {
    world.heal();
    world.platform.cut.clear();
    world.platform_back();
    let names: Vec<NodeName> = world.nodes.keys().cloned().collect();
    for name in names {
        if world.nodes[&name].core.is_none() {
            world.start(&name);
        } else {
            world.thaw(&name);
        }
    }
}

fn run_schedule(seed: u64) {
    let mut world = settled(WorldSettings::new(seed, ZONES, 24), 2);
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfa17);
    for round in 0..ROUNDS {
        let faults = [random_fault(&world, &mut rng), random_fault(&world, &mut rng)];
        if std::env::var_os("OVERLAY_TRACE").is_some() {
            eprintln!("seed {seed} round {round} at {}: {faults:?}", world.now.0);
        }
        for fault in &faults {
            apply(&mut world, fault);
            world.run_for(Millis(rng.next_u64() % 3_000));
            let witnesses = witnesses(&world);
            world.accept(&witnesses);
        }
        world.run_for(Millis(rng.next_u64() % 12_000));
        end_faults(&mut world);
        let head = world.platform.head();
        converge(&mut world, head, Millis(10_000));
        agree(&mut world, Millis(20_000));
    }
    assert_eq!(checks::never_back(&world.history), [], "seed {seed}");
    assert_eq!(checks::sound(&world.history), [], "seed {seed}");
}

#[test]
fn after_random_faults_everything_is_in_force_and_nothing_went_back() {
    let seeds = match std::env::var("OVERLAY_SEEDS") {
        Ok(range) => {
            let (first, last) = range.split_once("..").unwrap();
            first.parse().unwrap()..last.parse().unwrap()
        }
        Err(_) => 1..4,
    };
    for seed in seeds {
        run_schedule(seed);
    }
}
