//! Quotas over all nodes together.

mod support;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{Fleet, STEP, number, tenant};

const WINDOW: Duration = Duration::from_secs(5);
/// By how much of the window's requests, and by how many besides, the limit may be missed.
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

fn allowed(rate: f64, burst: f64) -> f64 {
    (rate * WINDOW.as_secs_f64() + burst) * (1.0 + EXCESS) + SLACK
}

/// Steps in `seconds`.
fn steps(seconds: u64) -> u64 {
    seconds * 1_000 / u64::try_from(STEP.as_millis()).expect("short")
}

/// Sends so many requests a second at nodes drawn at random.
struct Load {
    random: ChaCha8Rng,
    due: f64,
}

impl Load {
    fn new(seed: u64) -> Self {
        Self { random: ChaCha8Rng::seed_from_u64(seed), due: 0.0 }
    }

    fn step(&mut self, fleet: &mut Fleet, tenant: &str, rate: f64, entrances: usize) {
        self.due += rate * STEP.as_secs_f64() * 2.0 * self.random.random::<f64>();
        while self.due >= 1.0 {
            self.due -= 1.0;
            let index = self.random.random_range(0..entrances);
            fleet.request(index, number(tenant));
        }
    }
}

#[test]
fn a_tenant_below_its_limit_is_refused_nothing_wherever_its_requests_enter() {
    for (rate, entrances) in [(300.0, 83), (300.0, 3), (3.0, 83), (3.0, 1), (30.0, 40)] {
        let mut fleet = Fleet::new(83, 8, &[tenant("shop", rate, rate as u64)], true);
        let mut load = Load::new(1);
        for step in 0..steps(20) {
            if step >= steps(2) {
                load.step(&mut fleet, "shop", rate * 0.62, entrances);
            }
            fleet.step();
        }
        let (granted, refused) = (fleet.granted_of(number("shop")), fleet.refused_of(number("shop")));
        assert!(granted > 0);
        let share = f64::from(refused) / (granted as f64 + f64::from(refused));
        assert!(share < 0.01, "{rate}/s at {entrances} nodes: {refused} refused, {granted} let through");
    }
}

#[test]
fn a_hot_tenant_that_enters_everywhere_at_once_gets_its_limit_and_no_more() {
    for rate in [300.0, 20.0] {
        let mut fleet = Fleet::new(83, 8, &[tenant("hot", rate, rate as u64)], true);
        let mut load = Load::new(2);
        for step in 0..steps(20) {
            let times = if step < steps(5) { 0.5 } else { 5.0 };
            load.step(&mut fleet, "hot", rate * times, 83);
            fleet.step();
        }
        let most = fleet.most_within(number("hot"), WINDOW) as f64;
        assert!(most <= allowed(rate, rate), "{most} in a window, {} allowed", allowed(rate, rate));
        let gets = fleet.granted_of(number("hot")) as f64;
        assert!(gets > rate * 15.0 * 0.9, "{gets} let through at {rate}/s");
    }
}

#[test]
fn neither_cuts_nor_restarts_nor_suspended_nodes_add_anything() {
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
                    1 => fleet.cut = (0..random.random_range(0..30)).collect(),
                    2 => fleet.cut = (0..40).filter(|index| index % 2 == 0).collect(),
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
            "seed {seed}: {most} in a window, {} allowed",
            allowed(rate, rate)
        );
    }
}

#[test]
fn a_node_without_a_pool_gives_its_own_part() {
    let rate = 200.0;
    let mut fleet = Fleet::new(40, 4, &[tenant("shop", rate, 200)], true);
    fleet.cut = vec![39];
    let mut load = Load::new(3);
    for _ in 0..steps(10) {
        load.step(&mut fleet, "shop", 1.0, 40);
        fleet.request(39, number("shop"));
        fleet.step();
    }
    assert!(fleet.granted_of(number("shop")) > 40);
}

#[test]
fn the_cost_of_a_node_does_not_grow_with_the_nodes() {
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
    assert!(large < small * 1.2, "{small} reports of a node of 30, {large} of one of 120");
}

/// Why tokens are pooled. Each node on its own keeps the limit as well, and refuses much below it.
#[test]
fn without_pools_a_tenant_below_its_limit_is_refused() {
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
    let (own_small, own_uneven) = refused_share(false);
    let (pooled_small, pooled_uneven) = refused_share(true);
    println!(
        "refused below the limit: own {own_small:.3} {own_uneven:.3}, pooled {pooled_small:.3} {pooled_uneven:.3}"
    );
    assert!(own_small > 0.1 && own_uneven > 0.3);
    assert!(pooled_small < 0.01 && pooled_uneven < 0.01);
}

/// The smallest tenants have less than one token of burst at each pool, and a pool that kept less could never give one.
#[test]
fn many_pools_keep_no_more_of_a_small_tenant_than_its_limit_bears() {
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
    assert!(most <= allowed(1.0, 1.0), "{most} in a window, {} allowed", allowed(1.0, 1.0));
}
