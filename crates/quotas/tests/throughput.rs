//! Throughput of tenants above and below their limits.

mod support;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{Fleet, Network, STEP, number, tenant};
use umberpond_config::Tenant;

const NODES: usize = 83;
const POOLS: usize = 8;
const WINDOW: Duration = Duration::from_secs(5);
/// Time from the start of the nodes to the first request.
const STARTUP: Duration = Duration::from_secs(5);
/// Number of windows measured before and after a limit is lowered.
const WINDOWS: u32 = 3;
/// Minimum fraction of its limit that a tenant above it gets in each window.
const MIN_SERVED_SHARE: f64 = 0.97;
/// Permitted excess over the limit in a window: a fraction of the window's requests, plus an absolute number.
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Request rate of a tenant above its limit, as a multiple of the limit.
const OVERLOAD_FACTOR: f64 = 4.0;
/// Request rate of a tenant below its limit, as a fraction of the limit.
const USUAL_LOAD: f64 = 1.0 / 1.6;

/// Fraction of the datagrams that is lost.
const LOSS: f64 = 0.002;
/// Fraction of the datagrams that is lost on a worse network.
const HIGH_LOSS: f64 = 0.005;
/// Fraction of the datagrams that reach a node while its process is not scheduled.
const STALLS: f64 = 0.2;
const SEEDS: [u64; 3] = [0, 1, 2];

/// A tenant that sends requests.
struct Sender {
    name: String,
    limit: f64,
    rate: f64,
    due: f64,
}

impl Sender {
    fn new(name: impl Into<String>, limit: f64, rate: f64) -> Self {
        Self { name: name.into(), limit, rate, due: 0.0 }
    }

    fn tenant(&self) -> Tenant {
        tenant(&self.name, self.limit, (self.limit.ceil()) as u64)
    }

    fn step(&mut self, fleet: &mut Fleet, random: &mut ChaCha8Rng) {
        self.due += self.rate * STEP.as_secs_f64() * 2.0 * random.random::<f64>();
        while self.due >= 1.0 {
            self.due -= 1.0;
            let index = random.random_range(0..fleet.len());
            fleet.request(index, number(&self.name));
        }
    }
}

/// Two tenants above their limits, and 82 below theirs.
fn senders() -> Vec<Sender> {
    let hot = [
        Sender::new("large", 600.0, 600.0 * OVERLOAD_FACTOR),
        Sender::new("small", 20.0, 20.0 * OVERLOAD_FACTOR),
    ];
    let below = (0..82).map(|index| {
        let limit = 2.0 + f64::from(index) / 2.0;
        Sender::new(format!("below-{index}"), limit, limit * USUAL_LOAD)
    });
    hot.into_iter().chain(below).collect()
}

/// Results of one simulation.
#[derive(Debug)]
struct Outcome {
    /// Minimum fraction of its limit that each tenant above it got in a window, before and after the limit
    /// was lowered.
    served: [f64; 4],
    /// Fraction of the requests of all other tenants that was refused.
    refused_below: f64,
    /// Maximum number of requests of a tenant above its limit in any window, as a fraction of the permitted
    /// number.
    max_relative: f64,
}

fn run(seed: u64, network: Network) -> Outcome {
    let mut senders = senders();
    let tenants = |senders: &[Sender]| senders.iter().map(Sender::tenant).collect::<Vec<_>>();
    let mut fleet = Fleet::new(NODES, POOLS, &tenants(&senders), true);
    let begin = fleet.now;
    fleet.set_network(network);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut simulate = |fleet: &mut Fleet, senders: &mut [Sender], time: Duration| {
        for _ in 0..time.as_millis() / STEP.as_millis() {
            senders.iter_mut().for_each(|sender| sender.step(fleet, &mut random));
            fleet.step();
        }
    };
    // New nodes have accrued no tokens.
    simulate(&mut fleet, &mut [], STARTUP);
    simulate(&mut fleet, &mut senders, WINDOW);
    let mut served = Vec::new();
    let mut max_relative: f64 = 0.0;
    for lowered in [1.0, 0.4] {
        let start = fleet.now;
        senders[..2].iter_mut().for_each(|sender| sender.limit *= lowered);
        fleet.set_tenants(&tenants(&senders));
        simulate(&mut fleet, &mut senders, WINDOW * WINDOWS);
        for sender in &senders[..2] {
            let of_window = |window| {
                let granted = fleet.granted_between(number(&sender.name), start + WINDOW * window, WINDOW);
                granted as f64 / (sender.limit * WINDOW.as_secs_f64())
            };
            let parts: Vec<f64> = (0..WINDOWS).map(of_window).collect();
            println!(
                "tenant {} with {}/s: granted {parts:.3?} of its limit in each window",
                sender.name, sender.limit
            );
            served.push(parts.into_iter().fold(f64::INFINITY, f64::min));
        }
        if lowered >= 1.0 {
            for sender in &senders[..2] {
                let allowed = (sender.limit * WINDOW.as_secs_f64() + sender.limit) * (1.0 + EXCESS) + SLACK;
                max_relative =
                    max_relative.max(fleet.most_within(number(&sender.name), WINDOW) as f64 / allowed);
            }
        }
    }
    let below = senders[2..].iter().map(|sender| number(&sender.name));
    let (granted, refused) = below.fold((0, 0), |(granted, refused), tenant| {
        (granted + fleet.granted_of(tenant), refused + fleet.refused_of(tenant))
    });
    let outcome = Outcome {
        served: served.try_into().expect("two tenants with two measurements each"),
        refused_below: f64::from(refused) / (granted as f64 + f64::from(refused)),
        max_relative,
    };
    let reports = fleet.reports as f64 / NODES as f64 / (fleet.now - begin).as_secs_f64();
    let expired = fleet.expired_tokens();
    println!("{outcome:.3?}, {reports:.1} reports per second and node, {expired} tokens expired");
    outcome
}

fn check(outcome: &Outcome) {
    assert!(outcome.served.iter().all(|part| *part >= MIN_SERVED_SHARE), "{outcome:.3?}");
    assert!(outcome.refused_below < 0.001, "{outcome:.3?}");
    assert!(outcome.max_relative <= 1.0, "{outcome:.3?}");
}

#[test]
fn tenants_get_their_limits_and_are_not_refused_below_them() {
    let outcomes = SEEDS.map(|seed| run(seed, Network::new(seed, LOSS, 0.0)));
    outcomes.iter().for_each(check);
}

#[test]
fn tenants_get_their_limits_despite_the_loss_of_one_datagram_in_two_hundred() {
    let outcomes = SEEDS.map(|seed| run(seed, Network::new(seed, HIGH_LOSS, 0.0)));
    outcomes.iter().for_each(check);
}

#[test]
fn late_grants_from_stalled_nodes_lose_no_tokens() {
    let outcomes = SEEDS.map(|seed| run(seed, Network::new(seed, LOSS, STALLS)));
    outcomes.iter().for_each(check);
}

/// Guards against tokens created by failures: tenants with 200 and 1 requests per second use pools that get
/// reports late, restart, are partitioned or are suspended.
#[test]
fn no_tenant_exceeds_its_limit_despite_delays_restarts_and_partitions() {
    let (count, pools) = (40, 4);
    let tenants = [tenant("hot", 200.0, 200), tenant("small", 1.0, 1)];
    for seed in 0..8 {
        let mut fleet = Fleet::new(count, pools, &tenants, true);
        fleet.set_network(Network::new(seed, LOSS, STALLS));
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut senders = [Sender::new("hot", 200.0, 1_200.0), Sender::new("small", 1.0, 40.0)];
        for step in 0..25_000 / STEP.as_millis() {
            senders.iter_mut().for_each(|sender| sender.step(&mut fleet, &mut random));
            if step % 100 == 0 {
                match random.random_range(0..6) {
                    0 => (0..count).for_each(|index| fleet.restart(index)),
                    1 => fleet.partitioned = (0..random.random_range(0..30)).collect(),
                    2 => fleet.partitioned = (0..count).filter(|index| index % 2 == 0).collect(),
                    3 => fleet.set_running(random.random_range(0..count), false),
                    4 => (0..count).for_each(|index| fleet.set_running(index, true)),
                    _ => fleet.restart(random.random_range(0..pools)),
                }
            }
            fleet.step();
        }
        for sender in &senders {
            let most = fleet.most_within(number(&sender.name), WINDOW) as f64;
            let allowed = (sender.limit * WINDOW.as_secs_f64() + sender.limit) * (1.0 + EXCESS) + SLACK;
            assert!(
                most <= allowed,
                "seed {seed}, {}: {most} granted in a window, {allowed} allowed",
                sender.name
            );
        }
    }
}
