//! Time of one pick, guard included, at several sizes.

#[path = "../tests/support/mod.rs"]
mod support;

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use support::{balancer, node, seeded};
use umberpond_balance::{BalancerSettings, Strategy};
use umberpond_model::Timestamp;

const SIZES: [usize; 3] = [4, 31, 13_000];

fn pick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pick");
    for size in SIZES {
        for strategy in [Strategy::PowerOfTwoChoices, Strategy::RoundRobin, Strategy::Random] {
            let balancer = balancer(size, BalancerSettings { strategy, ..Default::default() });
            let mut rng = seeded(1);
            let excluded = [node(1)];
            group.bench_function(BenchmarkId::new(format!("{strategy:?}"), size), |bencher| {
                bencher.iter(|| black_box(balancer.pick(Timestamp(5), &mut rng, &excluded)));
            });
        }
        let balancer = balancer(size, BalancerSettings::default());
        let mut key = 0_u64;
        group.bench_function(BenchmarkId::new("for_key", size), |bencher| {
            bencher.iter(|| {
                key += 1;
                black_box(balancer.pick_for_key(Timestamp(5), &key.to_le_bytes(), &[]))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, pick);
criterion_main!(benches);
