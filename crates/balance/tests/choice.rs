//! Which endpoint wins: load, exclusion, spill, slow start and keys.

mod support;

use std::collections::BTreeMap;

use support::{
    balancer, ended, endpoints, filter, filter_with_slots, locality, node, nodes_met, north, record, seeded,
};
use umberpond_balance::{
    Balancer, BalancerSettings, EndpointReport, LoadReport, NoEndpoint, Observation, Picked, RequestResult,
};
use umberpond_model::{EndpointStatus, Incarnation, Millis, NodeName, Timestamp};

const NOW: Timestamp = Timestamp(100);

fn answered_with_load(outstanding: u32) -> Observation {
    let report = EndpointReport {
        incarnation: Incarnation(1),
        sequence: Some(1),
        status: EndpointStatus::Ready,
        load: Some(LoadReport { outstanding, slots: 10 }),
    };
    Observation { report: Some(report), ..ended(RequestResult::Answered, 1) }
}

fn pick_node(balancer: &Balancer, wanted: usize) -> Picked {
    let others: Vec<NodeName> = (0..20).filter(|number| *number != wanted).map(node).collect();
    balancer.pick(NOW, &mut seeded(1), &others).expect("the wanted endpoint")
}

fn shares(balancer: &Balancer, now: Timestamp, picks: usize) -> BTreeMap<NodeName, usize> {
    let mut rng = seeded(11);
    let mut shares = BTreeMap::new();
    for _ in 0..picks {
        let picked = balancer.pick(now, &mut rng, &[]).expect("an endpoint");
        *shares.entry(picked.node().clone()).or_default() += 1;
    }
    shares
}

#[test]
fn held_work_is_spread_evenly_and_released_on_drop() {
    let balancer = balancer(4, BalancerSettings::default());
    let mut rng = seeded(5);
    let held: Vec<_> = (0..200).map(|_| balancer.pick(NOW, &mut rng, &[]).expect("an endpoint")).collect();
    for endpoint in balancer.endpoints(NOW) {
        assert!((45..=55).contains(&endpoint.outstanding), "{endpoint:?}");
    }
    drop(held);
    assert!(balancer.endpoints(NOW).iter().all(|endpoint| endpoint.outstanding == 0));
}

#[test]
fn a_reported_load_repels_until_it_is_old_and_a_low_one_does_not_attract() {
    let settings = BalancerSettings::default();
    let balancer = balancer(2, settings.clone());
    pick_node(&balancer, 1).finish(NOW, answered_with_load(1));
    pick_node(&balancer, 0).finish(NOW, answered_with_load(9));
    assert_eq!(nodes_met(&balancer, NOW, 50), [node(1)].into());
    // One request of our own now outweighs what is left of the report.
    let much_later = NOW + Millis(settings.report_half_life.0 * 100);
    let _held = pick_node(&balancer, 1);
    assert!(nodes_met(&balancer, much_later, 50).contains(&node(0)));
}

#[test]
fn excluded_nodes_are_never_picked_and_the_refusal_says_why() {
    let balancer = balancer(3, BalancerSettings::default());
    let mut rng = seeded(2);
    let all: Vec<_> = (0..3).map(node).collect();
    assert_eq!(balancer.pick(NOW, &mut rng, &all).expect_err("none left"), NoEndpoint::AllExcluded);
    balancer.update(NOW, Vec::new());
    assert_eq!(balancer.pick(NOW, &mut rng, &[]).expect_err("none at all"), NoEndpoint::NoneReady);
}

#[test]
fn work_stays_in_the_zone_spills_when_it_is_full_and_comes_back() {
    let balancer = Balancer::new(north(), BalancerSettings::default());
    let far = locality("eu-north", "hall-2");
    let records = [record(0, &north()), record(1, &far), record(2, &locality("tas-south", "kingston"))];
    balancer.update(Timestamp(0), filter(&["eu-north", "tas-south"]).allow_all(records));
    assert_eq!(nodes_met(&balancer, NOW, 100), [node(0)].into());

    let mut rng = seeded(4);
    let mut held: Vec<_> = (0..60).map(|_| balancer.pick(NOW, &mut rng, &[]).expect("an endpoint")).collect();
    let of = |number: usize| balancer.endpoints(NOW)[number].outstanding;
    assert!(of(1) > 0, "the zone was full, so work had to spill to the region");
    assert!(of(0) > of(1) && of(1) > of(2), "{} {} {}", of(0), of(1), of(2));

    held.clear();
    shares(&balancer, NOW, 100);
    assert_eq!(nodes_met(&balancer, NOW, 100), [node(0)].into(), "an idle zone keeps its work");
}

#[test]
fn the_configured_slots_count_until_an_endpoint_tells_its_own() {
    let balancer = Balancer::new(north(), BalancerSettings::default());
    let records = || [record(0, &north()), record(1, &locality("eu-north", "hall-2"))];
    for (slots, spills) in [(200, false), (10, true)] {
        let endpoints = filter_with_slots(&["eu-north"], slots).allow_all(records());
        balancer.update(NOW, endpoints);
        let mut rng = seeded(4);
        let _held: Vec<_> =
            (0..60).map(|_| balancer.pick(NOW, &mut rng, &[]).expect("an endpoint")).collect();
        assert_eq!(balancer.endpoints(NOW)[1].outstanding > 0, spills, "60 held by {slots} slots");
    }
}

#[test]
fn a_report_counts_once_although_it_is_told_with_the_head_and_with_the_end() {
    let picks = |tells_early: bool| {
        let balancer = balancer(2, BalancerSettings::default());
        for load in [9, 9, 5] {
            let observation = answered_with_load(load);
            let mut picked = pick_node(&balancer, 0);
            if let Some(report) = observation.report.filter(|_| tells_early) {
                picked.report(NOW, &report);
            }
            picked.finish(NOW, observation);
            pick_node(&balancer, 1).finish(NOW, answered_with_load(4));
        }
        let mut rng = seeded(9);
        let held: Vec<_> = (0..8).map(|_| balancer.pick(NOW, &mut rng, &[]).expect("an endpoint")).collect();
        held.iter().map(|picked| picked.node().clone()).collect::<Vec<_>>()
    };
    assert_eq!(picks(true), picks(false));
}

#[test]
fn a_cold_endpoint_gets_a_growing_share() {
    let balancer = balancer(4, BalancerSettings::default());
    balancer.update(NOW, endpoints(5));
    let share_at = |now| shares(&balancer, now, 1_000).get(&node(4)).copied().unwrap_or(0);
    assert_eq!(share_at(NOW), 0, "idle warm endpoints win against a cold one");
    assert!(share_at(NOW + BalancerSettings::default().slow_start) > 150);
}

fn home(balancer: &Balancer, key: u16) -> NodeName {
    balancer.pick_for_key(NOW, &key.to_le_bytes(), &[]).expect("an endpoint").node().clone()
}

#[test]
fn a_key_meets_the_same_endpoint_on_every_node_whatever_the_load() {
    let first = balancer(9, BalancerSettings::default());
    let second = Balancer::new(locality("eu-north", "hall-2"), BalancerSettings::default());
    second.update(Timestamp(0), endpoints(9));
    let _load = (0..100).map(|_| first.pick(NOW, &mut seeded(6), &[])).collect::<Vec<_>>();
    for key in 0..200 {
        assert_eq!(home(&first, key), home(&second, key));
        let elsewhere = first.pick_for_key(NOW, &key.to_le_bytes(), &[home(&first, key)]);
        assert_ne!(*elsewhere.expect("another").node(), home(&first, key));
    }
}

#[test]
fn a_change_of_membership_moves_only_the_keys_of_the_endpoint_that_left() {
    const KEYS: u16 = 4_000;
    for count in [2, 9, 40] {
        let balancer = balancer(count, BalancerSettings::default());
        let before: Vec<_> = (0..KEYS).map(|key| home(&balancer, key)).collect();
        let mut shares = BTreeMap::<_, usize>::new();
        before.iter().for_each(|node| *shares.entry(node.clone()).or_default() += 1);
        let fair = usize::from(KEYS) / count;
        assert!(shares.len() == count && shares.values().all(|share| (fair / 2..fair * 2).contains(share)));
        balancer.update(NOW, endpoints(count - 1));
        for (key, home_before) in (0..KEYS).zip(&before) {
            assert!(home(&balancer, key) == *home_before || *home_before == node(count - 1));
        }
    }
}

#[test]
fn requests_on_their_way_do_not_silence_reports_but_a_clear_contradiction_does() {
    for (held, hears_reports) in [(3, true), (20, false)] {
        let balancer = balancer(2, BalancerSettings::default());
        let _own: Vec<_> = (0..held).map(|_| pick_node(&balancer, 0)).collect();
        let _even: Vec<_> = (0..held).map(|_| pick_node(&balancer, 1)).collect();
        pick_node(&balancer, 0).finish(NOW, answered_with_load(1));
        pick_node(&balancer, 0).finish(NOW, answered_with_load(100));
        let avoids_it = nodes_met(&balancer, NOW, 50) == [node(1)].into();
        assert_eq!(avoids_it, hears_reports, "{held} held");
    }
}
