//! Shares of a back end's slots between tenants when there is too little room.
//!
//! The load: 84 tenants with Zipf demand before back ends of nine slots; one of them sends six times its usual, or its requests take ten times
//! as long, and together they ask for 1.5 times what the slots bear. Untold tenants, the queue serves all in proportion to what they send: of
//! the requests of the 74 smallest, 7,033 of 10,508 are answered in time. Each should get its max-min fair part.

#[path = "support/mod.rs"]
mod support;

use support::{Gates, Outcome, Replay, TenantLoad, max_min_fair};

const TENANTS: usize = 84;
const ZIPF_EXPONENT: f64 = 1.2;
const SLOTS: u32 = 9;
const SERVICE: f64 = 0.05;
const SECONDS: f64 = 60.0;
/// Part of the goodput by which two replays of one load with other seeds differ.
const GOODPUT_DOUBT: f64 = 0.005;

/// Requests a second of each tenant, `total` slots' worth together.
#[allow(clippy::cast_precision_loss)]
fn zipf(total: f64) -> Vec<TenantLoad> {
    let weight = |tenant: usize| ((tenant + 1) as f64).powf(-ZIPF_EXPONENT);
    let all: f64 = (0..TENANTS).map(weight).sum();
    let rate = |tenant| total / SERVICE * weight(tenant) / all;
    (0..TENANTS)
        .map(|tenant| TenantLoad { rate: rate(tenant), service: SERVICE, between: (0.0, SECONDS) })
        .collect()
}

/// Scales all loads so that together they are `load` times what the slots bear.
fn scaled(mut tenants: Vec<TenantLoad>, slots: f64, load: f64) -> Vec<TenantLoad> {
    let offered: f64 = tenants.iter().map(|tenant| tenant.rate * tenant.service).sum();
    for tenant in &mut tenants {
        tenant.rate *= slots * load / offered;
    }
    tenants
}

fn replay(tenants: Vec<TenantLoad>, back_ends: usize, gates: Gates) -> Replay {
    Replay {
        tenants,
        back_ends,
        slots: SLOTS,
        seconds: SECONDS,
        objective: 0.5,
        deadline: 2.0,
        seed: 7,
        gates,
        restart: None,
        counted_from: 0.0,
    }
}

/// The third tenant sends six times its usual; together 1.5 times what the slots bear.
fn surge(back_ends: usize) -> Vec<TenantLoad> {
    #[allow(clippy::cast_precision_loss)]
    let slots = back_ends as f64 * f64::from(SLOTS);
    let mut tenants = zipf(slots);
    tenants[2].rate *= 6.0;
    scaled(tenants, slots, 1.5)
}

/// How much of its max-min fair part each tenant was served, at least one request's worth of doubt apart.
fn fair_parts(outcome: &Outcome) -> Vec<f64> {
    let demands: Vec<f64> = outcome.tenants.iter().map(|tenant| tenant.offered_seconds).collect();
    let fair = max_min_fair(&demands, outcome.served_seconds());
    outcome.tenants.iter().zip(fair).map(|(tenant, fair)| tenant.served_seconds / fair).collect()
}

fn least(parts: &[f64]) -> f64 {
    parts.iter().copied().fold(f64::INFINITY, f64::min)
}

fn most(parts: &[f64]) -> f64 {
    parts.iter().copied().fold(0.0, f64::max)
}

fn show(name: &str, outcome: &Outcome) {
    let parts = fair_parts(outcome);
    let small = &outcome.tenants[10..];
    let offered: u32 = small.iter().map(|tenant| tenant.offered).sum();
    let in_time: u32 = small.iter().map(|tenant| tenant.in_time).sum();
    let in_vain: u32 = outcome.tenants.iter().map(|tenant| tenant.in_vain).sum();
    let served: u32 = outcome.tenants.iter().map(|tenant| tenant.served).sum();
    println!(
        "{name}: parts {:.3}..{:.3}, small {in_time} of {offered} in time, all {}, {:.1} s; late {}, in vain {in_vain}, state {}",
        least(&parts),
        most(&parts),
        outcome.in_time(),
        outcome.in_time_seconds(),
        served - outcome.in_time(),
        outcome.most_tenants,
    );
}

fn assert_fair(outcome: &Outcome) {
    assert!(least(&fair_parts(outcome)) >= 0.9, "max-min fair within a tenth");
    assert!(most(&fair_parts(outcome)) <= 1.1, "max-min fair within a tenth");
}

/// Slot time spent on answers in time is what goodput loses nothing of: shares move it between tenants whose requests differ in length.
fn assert_as_good(before: &Outcome, after: &Outcome) {
    let kept = after.in_time_seconds() / before.in_time_seconds();
    assert!(kept >= 1.0 - GOODPUT_DOUBT, "goodput falls to {kept:.4}");
}

#[test]
fn one_tenant_that_sends_six_times_its_usual_costs_the_small_ones_nothing() {
    let before = replay(surge(3), 3, Gates::Untold).run();
    let after = replay(surge(3), 3, Gates::Told).run();
    show("before", &before);
    show("after", &after);
    assert_fair(&after);
    assert_as_good(&before, &after);
}

#[test]
fn one_tenant_whose_requests_take_ten_times_as_long_costs_the_small_ones_nothing() {
    let mut tenants = zipf(27.0);
    tenants[2].service *= 10.0;
    let tenants = scaled(tenants, 27.0, 1.5);
    let play = |gates| Replay { objective: 1.5, deadline: 4.0, ..replay(tenants.clone(), 3, gates) }.run();
    let (before, after) = (play(Gates::Untold), play(Gates::Told));
    show("long, before", &before);
    show("long, after", &after);
    assert_fair(&after);
    assert_as_good(&before, &after);
}

#[test]
fn equal_tenants_lose_no_goodput_to_each_other() {
    let equal = vec![TenantLoad { rate: 1.0, service: SERVICE, between: (0.0, SECONDS) }; 10];
    let tenants = scaled(equal, f64::from(SLOTS), 1.5);
    let (before, after) =
        (replay(tenants.clone(), 1, Gates::Untold).run(), replay(tenants, 1, Gates::Told).run());
    show("equal, before", &before);
    show("equal, after", &after);
    assert_fair(&after);
    assert_as_good(&before, &after);
}

#[test]
fn a_tenant_that_is_alone_is_served_as_if_it_were_none() {
    let alone = scaled(vec![TenantLoad { rate: 1.0, service: SERVICE, between: (0.0, SECONDS) }], 9.0, 1.5);
    let (before, after) =
        (replay(alone.clone(), 1, Gates::Untold).run(), replay(alone, 1, Gates::Told).run());
    assert_eq!(before.tenants, after.tenants);
}

#[test]
fn tenants_that_find_room_are_served_as_if_they_were_none() {
    let tenants = scaled(zipf(9.0), 9.0, 0.5);
    let (before, after) =
        (replay(tenants.clone(), 1, Gates::Untold).run(), replay(tenants, 1, Gates::Told).run());
    show("half load, before", &before);
    show("half load, after", &after);
    assert_eq!(before.in_time(), after.in_time());
}

#[test]
fn requests_of_no_tenant_leave_no_state() {
    assert_eq!(replay(surge(1), 1, Gates::Untold).run().most_tenants, 0);
}

/// Each back end sees only its part of what a tenant sends, and shares only that.
#[test]
fn shares_hold_over_many_back_ends_that_know_nothing_of_each_other() {
    for (back_ends, seconds) in [(3, 60.0), (36, 20.0), (300, 6.0)] {
        let outcome = Replay { seconds, ..replay(surge(back_ends), back_ends, Gates::Told) }.run();
        show(&format!("{back_ends} back ends"), &outcome);
        assert_fair(&outcome);
    }
}

/// A process that starts knows nothing of what tenants took before. Nobody is starved afterwards.
#[test]
fn nobody_is_starved_after_a_restart() {
    let before = Replay { restart: Some(20.0), counted_from: 20.0, ..replay(surge(1), 1, Gates::Told) };
    let outcome = before.run();
    show("after a restart", &outcome);
    let rate = |served: u32, offered: u32| f64::from(served) / f64::from(offered);
    let served = outcome.tenants.iter().map(|tenant| tenant.served).sum();
    let all = rate(served, outcome.tenants.iter().map(|tenant| tenant.offered).sum());
    for tenant in outcome.tenants.iter().filter(|tenant| tenant.offered > 0) {
        assert!(rate(tenant.served, tenant.offered) >= all / 4.0, "{tenant:?}");
    }
}

/// The way weighed against shares slots about as well. No expected wait follows from its order, so it keeps requests that come too late.
#[test]
fn shuffle_sharding_keeps_requests_that_come_too_late() {
    let sharded = replay(surge(3), 3, Gates::Sharded).run();
    let shared = replay(surge(3), 3, Gates::Told).run();
    show("sharded", &sharded);
    show("shared", &shared);
    assert_fair(&sharded);
    assert!(sharded.in_time_seconds() < shared.in_time_seconds());
}
