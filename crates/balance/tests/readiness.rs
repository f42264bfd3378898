//! Draining learnt in-band, ejection, its cap, and probing back.

mod support;

use support::{balancer, ended, endpoints, filter, node, nodes_met, north, record, seeded};
use umberpond_balance::{Balancer, BalancerSettings, EndpointReport, Observation, Picked, RequestResult};
use umberpond_model::{EndpointStatus, Incarnation, Millis, NodeName, Timestamp};

const NOW: Timestamp = Timestamp(1_000);

fn pick_node(balancer: &Balancer, now: Timestamp, wanted: usize) -> Option<Picked> {
    let others: Vec<NodeName> = (0..10).filter(|number| *number != wanted).map(node).collect();
    balancer.pick(now, &mut seeded(1), &others).ok()
}

fn says(status: EndpointStatus, sequence: Option<u64>) -> Observation {
    let report = EndpointReport { incarnation: Incarnation(1), sequence, status, load: None };
    Observation { report: Some(report), ..ended(RequestResult::Rejected, 1) }
}

fn update(balancer: &Balancer, incarnation: u64, sequence: u64) {
    let mut changed = record(0, &north());
    changed.incarnation = Incarnation(incarnation);
    changed.sequence = sequence;
    balancer.update(NOW, filter(&["eu-north"]).allow_all([changed, record(1, &north())]));
}

fn is_pickable(balancer: &Balancer, now: Timestamp, number: usize) -> bool {
    pick_node(balancer, now, number).is_some()
}

fn fail(balancer: &Balancer, now: Timestamp, number: usize, times: u32) {
    for _ in 0..times {
        let picked = pick_node(balancer, now, number).expect("not yet ejected");
        picked.finish(now, ended(RequestResult::Failed, 1));
    }
}

#[test]
fn an_endpoint_that_says_draining_stays_out_until_a_later_record_says_ready() {
    let balancer = balancer(2, BalancerSettings::default());
    let picked = pick_node(&balancer, NOW, 0).expect("ready at first");
    picked.finish(NOW, says(EndpointStatus::Draining, Some(5)));
    assert!(!is_pickable(&balancer, NOW, 0));
    update(&balancer, 1, 4); // an update that crossed the drain
    assert!(!is_pickable(&balancer, NOW, 0));
    update(&balancer, 1, 6);
    assert!(is_pickable(&balancer, NOW, 0));
}

#[test]
fn draining_without_a_sequence_is_lifted_only_by_a_restart() {
    let balancer = balancer(2, BalancerSettings::default());
    let picked = pick_node(&balancer, NOW, 0).expect("ready at first");
    picked.finish(NOW, says(EndpointStatus::Draining, None));
    update(&balancer, 1, 60);
    assert!(!is_pickable(&balancer, NOW, 0));
    update(&balancer, 2, 0);
    assert!(is_pickable(&balancer, NOW, 0));
    update(&balancer, 1, 99); // the record of the process before comes late
    assert!(is_pickable(&balancer, NOW, 0));
}

#[test]
fn a_word_older_than_the_record_changes_nothing() {
    let balancer = balancer(2, BalancerSettings::default());
    update(&balancer, 1, 9);
    let picked = pick_node(&balancer, NOW, 0).expect("ready");
    picked.finish(NOW, says(EndpointStatus::Draining, Some(8)));
    assert!(is_pickable(&balancer, NOW, 0));
}

#[test]
fn failures_in_a_row_eject_for_twice_as_long_each_time_and_one_probe_brings_back() {
    let settings = BalancerSettings::default();
    let balancer = balancer(4, settings.clone());
    fail(&balancer, NOW, 0, settings.ejection_failures);
    assert!(!is_pickable(&balancer, NOW, 0));

    let mut now = NOW;
    for doublings in 0..4 {
        let length = Millis(settings.ejection_base.0 << doublings);
        assert!(!is_pickable(&balancer, now + Millis(length.0 - 1), 0));
        now = now + length;
        let probe = pick_node(&balancer, now, 0).expect("the ejection is over");
        assert!(!is_pickable(&balancer, now, 0), "one probe at a time");
        probe.finish(now, ended(RequestResult::Failed, 1));
    }
    now = now + Millis(settings.ejection_base.0 << 4);
    let probe = pick_node(&balancer, now, 0).expect("the ejection is over");
    probe.finish(now, ended(RequestResult::Answered, 1));
    let _first = pick_node(&balancer, now, 0).expect("healthy again");
    assert!(is_pickable(&balancer, now, 0));
}

#[test]
fn refusals_and_cancellations_never_eject() {
    let balancer = balancer(3, BalancerSettings::default());
    for result in [RequestResult::Rejected, RequestResult::Cancelled] {
        for _ in 0..20 {
            pick_node(&balancer, NOW, 0).expect("ready").finish(NOW, ended(result, 1));
        }
    }
    assert!(is_pickable(&balancer, NOW, 0));
}

#[test]
fn ejections_are_capped_and_never_take_the_last_endpoint() {
    for count in 1..=9 {
        let settings = BalancerSettings::default();
        let balancer = balancer(count, settings.clone());
        let mut rng = seeded(8);
        for _ in 0..1_000 {
            let picked = balancer.pick(NOW, &mut rng, &[]).expect("one is always left");
            picked.finish(NOW, ended(RequestResult::Failed, 1));
        }
        let ejected = balancer.endpoints(NOW).iter().filter(|endpoint| !endpoint.pickable).count();
        assert_eq!(ejected, [0, 0, 1, 1, 1, 1, 2, 2, 2, 3][count]);
    }
}

#[test]
fn an_ejection_ends_when_the_healthy_ones_leave() {
    let settings = BalancerSettings::default();
    let balancer = balancer(3, settings.clone());
    fail(&balancer, NOW, 0, settings.ejection_failures);
    balancer.update(NOW, endpoints(1));
    assert!(is_pickable(&balancer, NOW, 0));
}

#[test]
fn an_endpoint_far_slower_than_the_others_is_ejected() {
    let balancer = balancer(4, BalancerSettings::default());
    for round in 0..30 {
        let now = NOW + Millis(round * 100);
        for number in 0..4 {
            let latency = if number == 3 { 200 } else { 20 };
            let picked = pick_node(&balancer, now, number);
            picked.into_iter().for_each(|picked| picked.finish(now, ended(RequestResult::Answered, latency)));
        }
    }
    assert_eq!(nodes_met(&balancer, NOW + Millis(1_500), 200), (0..3).map(node).collect());
}
