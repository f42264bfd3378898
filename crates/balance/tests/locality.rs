//! Whatever happens, no pick ever lies outside the allowed localities.

mod support;

use quickcheck::{Arbitrary, Gen, quickcheck};
use support::{ended, filter, locality, node, north, record, seeded};
use umberpond_balance::{Balancer, BalancerSettings, RequestResult, Strategy};
use umberpond_config::Service;
use umberpond_model::{EndpointStatus, Incarnation, Locality, LocalityRule, Timestamp};

const REGIONS: [&str; 3] = ["eu-north", "tas-south", "us-east"];
const NODES: usize = 8;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// All records arrive again; a bit of `ready` per node, and a region per node by rotation.
    Update {
        ready: u8,
        rotation: usize,
        incarnation: u64,
    },
    Pick {
        fails: bool,
        excluded: usize,
        holds: bool,
    },
    PickForKey(u8),
    Wait(u16),
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        match u8::arbitrary(generator) % 6 {
            0 => Self::Update {
                ready: u8::arbitrary(generator),
                rotation: usize::arbitrary(generator) % REGIONS.len(),
                incarnation: u64::arbitrary(generator) % 3,
            },
            1 => Self::PickForKey(u8::arbitrary(generator)),
            2 => Self::Wait(u16::arbitrary(generator)),
            _ => Self::Pick {
                fails: bool::arbitrary(generator),
                excluded: usize::arbitrary(generator) % NODES,
                holds: bool::arbitrary(generator),
            },
        }
    }
}

fn places(rotation: usize) -> impl Iterator<Item = (usize, Locality)> {
    (0..NODES).map(move |number| (number, locality(REGIONS[(number + rotation) % REGIONS.len()], "hall-1")))
}

/// Runs `steps` with `allowed` regions; returns the localities picked.
fn run(steps: &[Step], allowed: &[&str], strategy: Strategy) -> Vec<Locality> {
    let balancer = Balancer::new(north(), BalancerSettings { strategy, ..Default::default() });
    let mut rng = seeded(3);
    let mut now = Timestamp(0);
    let (mut picked, mut held) = (Vec::new(), Vec::new());
    for step in steps {
        match *step {
            Step::Update { ready, rotation, incarnation } => {
                let records = places(rotation).map(|(number, place)| {
                    let mut record = record(number, &place);
                    record.incarnation = Incarnation(incarnation);
                    let is_ready = ready >> number & 1 == 1;
                    record.status = if is_ready { EndpointStatus::Ready } else { EndpointStatus::Draining };
                    record
                });
                balancer.update(now, filter(allowed).allow_all(records));
            }
            Step::Pick { fails, excluded, holds } => {
                let Ok(guard) = balancer.pick(now, &mut rng, &[node(excluded)]) else { continue };
                assert_ne!(*guard.node(), node(excluded));
                picked.push(guard.locality().clone());
                if holds {
                    held.push(guard);
                } else {
                    let result = if fails { RequestResult::Failed } else { RequestResult::Answered };
                    guard.finish(now, ended(result, 1));
                }
            }
            Step::PickForKey(key) => {
                let guard = balancer.pick_for_key(now, &[key], &[]);
                picked.extend(guard.map(|guard| guard.locality().clone()));
            }
            Step::Wait(millis) => now.0 += u64::from(millis),
        }
    }
    picked
}

fn all_lie_in(picked: &[Locality], allowed: &[&str]) -> bool {
    picked.iter().all(|locality| allowed.contains(&locality.region.as_str()))
}

quickcheck! {
    fn no_pick_leaves_the_allowed_regions(steps: Vec<Step>, mask: u8, strategy: u8) -> bool {
        let is_allowed = |index: &usize| mask >> index & 1 == 1;
        let allowed: Vec<_> = (0..REGIONS.len()).filter(is_allowed).map(|index| REGIONS[index]).collect();
        let strategies = [Strategy::PowerOfTwoChoices, Strategy::RoundRobin, Strategy::Random];
        let picked = run(&steps, &allowed, strategies[usize::from(strategy) % strategies.len()]);
        all_lie_in(&picked, &allowed)
    }
}

#[test]
fn the_check_fails_on_a_disallowed_pick() {
    assert!(!all_lie_in(&[north(), locality("tas-south", "kingston")], &["eu-north"]));
}

#[test]
fn a_narrowed_filter_drops_a_node_that_has_moved() {
    // The node restarted in a region that is no longer allowed; a stale record of its earlier process comes last.
    let balancer = Balancer::new(north(), BalancerSettings::default());
    let mut moved = record(0, &locality("tas-south", "kingston"));
    moved.incarnation = Incarnation(2);
    balancer.update(Timestamp(0), filter(&["eu-north", "tas-south"]).allow_all([moved]));
    balancer.update(Timestamp(1), filter(&["eu-north"]).allow_all([record(0, &north())]));
    assert!(balancer.pick(Timestamp(2), &mut seeded(1), &[]).is_err());
}

#[test]
fn the_filter_checks_service_region_and_zone() {
    let rule = LocalityRule {
        region: "tas-south".parse().expect("region"),
        zone: Some("kingston".parse().expect("zone")),
    };
    let service = Service {
        name: "solver".parse().expect("service"),
        allowed: vec![rule],
        slots: 1,
        connections: 1,
        seal_key: None,
        health_path: None,
    };
    let filter = umberpond_balance::LocalityFilter::of(&service);
    let inside = record(0, &locality("tas-south", "kingston"));
    let mut of_another_service = inside.clone();
    of_another_service.service = Some("billing".parse().expect("service"));
    assert!(filter.allow(inside).is_some());
    assert!(filter.allow(of_another_service).is_none());
    assert!(filter.allow(record(0, &locality("tas-south", "hobart-a"))).is_none());
    assert!(filter.allow(record(0, &locality("eu-north", "kingston"))).is_none());
}
