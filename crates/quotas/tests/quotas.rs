//! Quota enforcement across all nodes.

mod support;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{Fleet, STEP, number, tenant};

const WINDOW: Duration = Duration::from_secs(5);
/// Permitted excess over the limit in a window: a fraction of the window's requests, plus an absolute number.
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

fn allowed(rate: f64, burst: f64) -> f64 {
    (rate * WINDOW.as_secs_f64() + burst) * (1.0 + EXCESS) + SLACK
}

/// Number of steps in `seconds`.
fn steps(seconds: u64) -> u64 {
    seconds * 1_000 / u64::try_from(STEP.as_millis()).expect("short")
}

/// Sends requests at a given rate to randomly chosen nodes.
struct Load {
    random: ChaCha8Rng,
    due: f64,
}

impl Load {
    fn new(seed: u64) -> Self {
        Self { random: ChaCha8Rng::seed_from_u64(seed), due: 0.0 }
    }

    fn step(&mut self, fleet: &mut Fleet, tenant: &str, rate: f64, entry_nodes: usize) {
        self.due += rate * STEP.as_secs_f64() * 2.0 * self.random.random::<f64>();
        while self.due >= 1.0 {
            self.due -= 1.0;
            let index = self.random.random_range(0..entry_nodes);
            fleet.request(index, number(tenant));
        }
    }
}

#[test]
fn tenant_below_its_limit_is_not_refused_at_any_node() {
    for (rate, entry_nodes) in [(300.0, 83), (300.0, 3), (3.0, 83), (3.0, 1), (30.0, 40)] {
        let mut fleet = Fleet::new(83, 8, &[tenant("shop", rate, rate as u64)], true);
        let mut load = Load::new(1);
        for step in 0..steps(20) {
            if step >= steps(2) {
                load.step(&mut fleet, "shop", rate * 0.62, entry_nodes);
            }
            fleet.step();
        }
        let (granted, refused) = (fleet.granted_of(number("shop")), fleet.refused_of(number("shop")));
        assert!(granted > 0);
        let share = f64::from(refused) / (granted as f64 + f64::from(refused));
        assert!(share < 0.01, "{rate}/s at {entry_nodes} nodes: {refused} refused, {granted} granted");
    }
}

#[test]
fn tenant_above_its_limit_at_all_nodes_gets_its_limit_and_no_more() {
    for rate in [300.0, 20.0] {
        let mut fleet = Fleet::new(83, 8, &[tenant("hot", rate, rate as u64)], true);
        let mut load = Load::new(2);
        for step in 0..steps(20) {
            let times = if step < steps(5) { 0.5 } else { 5.0 };
            load.step(&mut fleet, "hot", rate * times, 83);
            fleet.step();
        }
        let most = fleet.most_within(number("hot"), WINDOW) as f64;
        assert!(most <= allowed(rate, rate), "{most} granted in a window, {} allowed", allowed(rate, rate));
        let granted = fleet.granted_of(number("hot")) as f64;
        assert!(granted > rate * 15.0 * 0.9, "{granted} granted at {rate}/s");
    }
}

#[test]
fn partitions_restarts_and_suspensions_create_no_tokens() {
    for seed in 0..12 {
        let rate = 200.0;
        let mut fleet = Fleet::new(40, 4, &[tenant("hot", rate, rate as u64)], true);
        let mut load = Load::new(seed);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        for step in 0..steps(25) {
            load.step(&mut fleet, "hot", rate * 6.0, 40);
            if step % 100 == 0 {
                match random.random_range(0..6) {
                    0 => (0..40).for_each(|index| fleet.restart(index)),
                    1 => fleet.partitioned = (0..random.random_range(0..30)).collect(),
                    2 => fleet.partitioned = (0..40).filter(|index| index % 2 == 0).collect(),
                    3 => fleet.set_running(random.random_range(0..40), false),
                    4 => (0..40).for_each(|index| fleet.set_running(index, true)),
                    _ => fleet.restart(random.random_range(0..4)),
                }
            }
            fleet.step();
        }
        let most = fleet.most_within(number("hot"), WINDOW) as f64;
        assert!(
            most <= allowed(rate, rate),
            "seed {seed}: {most} granted in a window, {} allowed",
            allowed(rate, rate)
        );
    }
}

#[test]
fn node_without_a_pool_grants_its_own_share() {
    let rate = 200.0;
    let mut fleet = Fleet::new(40, 4, &[tenant("shop", rate, 200)], true);
    fleet.partitioned = vec![39];
    let mut load = Load::new(3);
    for _ in 0..steps(10) {
        load.step(&mut fleet, "shop", 1.0, 40);
        fleet.request(39, number("shop"));
        fleet.step();
    }
    assert!(fleet.granted_of(number("shop")) > 40);
}

#[test]
fn reports_per_node_do_not_grow_with_the_number_of_nodes() {
    let reports = |count: usize| {
        let rate = count as f64 * 20.0;
        let mut fleet = Fleet::new(count, count.div_ceil(10), &[tenant("shop", rate, rate as u64)], true);
        let mut load = Load::new(4);
        for _ in 0..steps(5) {
            load.step(&mut fleet, "shop", rate * 0.62, count);
            fleet.step();
        }
        fleet.reports as f64 / count as f64
    };
    let (small, large) = (reports(30), reports(120));
    assert!(large < small * 1.2, "{small} reports per node with 30 nodes, {large} with 120");
}

/// Shows why tokens are pooled: independent nodes enforce the limit as well, but refuse requests far below
/// it.
#[test]
fn local_shares_refuse_tenants_below_their_limits() {
    let refused_share = |is_pooled: bool| {
        let tenants = [tenant("small", 3.0, 3), tenant("uneven", 60.0, 60)];
        let mut fleet = Fleet::new(83, 8, &tenants, is_pooled);
        let (mut small, mut uneven) = (Load::new(5), Load::new(6));
        for step in 0..steps(20) {
            if step >= steps(2) {
                small.step(&mut fleet, "small", 1.8, 83);
                uneven.step(&mut fleet, "uneven", 37.0, 12);
            }
            fleet.step();
        }
        let share = |name: &str| {
            let (granted, refused) =
                (fleet.granted_of(number(name)) as f64, f64::from(fleet.refused_of(number(name))));
            refused / (granted + refused)
        };
        (share("small"), share("uneven"))
    };
    let (local_small, local_uneven) = refused_share(false);
    let (pooled_small, pooled_uneven) = refused_share(true);
    println!(
        "refused below the limit: local {local_small:.3} {local_uneven:.3}, pooled {pooled_small:.3} {pooled_uneven:.3}"
    );
    assert!(local_small > 0.1 && local_uneven > 0.3);
    assert!(pooled_small < 0.01 && pooled_uneven < 0.01);
}

/// A small tenant's burst is less than one token per pool, and a pool with a lower capacity could never grant
/// one. The pools' minimum capacities must not add up to more than the limit permits.
#[test]
fn many_pools_store_no_more_than_the_limit_of_a_small_tenant() {
    let (count, pools) = (200, 16);
    let mut fleet = Fleet::new(count, pools, &[tenant("small", 1.0, 1)], true);
    for _ in 0..steps(40) {
        fleet.step();
    }
    for _ in 0..steps(5) {
        (0..count).for_each(|index| fleet.request(index, number("small")));
        fleet.step();
    }
    let most = fleet.most_within(number("small"), WINDOW) as f64;
    assert!(most <= allowed(1.0, 1.0), "{most} granted in a window, {} allowed", allowed(1.0, 1.0));
}
