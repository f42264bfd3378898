//! Time of one admission, permit included, and of one retry decision.

#[path = "../tests/support/mod.rs"]
mod support;

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use support::{attempt, open_gate};
use umberpond_admission::{
    AdmissionSettings, Attempt, AttemptStage, Deadline, KeyDigest, RequestAttempts, RequestId, RetryBudget,
    RetryBudgetSettings,
};
use umberpond_config::RequestClass;
use umberpond_model::{Millis, Timestamp};

const NOW: Timestamp = Timestamp(1_000);
/// Spreads a counter over all bits, as random request ids are.
const SPREAD: u128 = 0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835;

fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit");
    let idempotent = attempt(1, RequestClass::Status);
    let gate = open_gate(AdmissionSettings::default());
    group.bench_function("idempotent", |bencher| bencher.iter(|| black_box(gate.admit(NOW, &idempotent))));

    group.bench_function("view", |bencher| bencher.iter(|| black_box(gate.view())));

    let mut count = 0_u64;
    // One a millisecond: the window holds as many as it can, and each new one makes an old one go.
    let mut next = |key| {
        count += 1;
        let request = RequestId(u128::from(count).wrapping_mul(SPREAD));
        (NOW + Millis(count), Attempt { request, key, ..attempt(0, RequestClass::Transaction) })
    };
    (0..100_000).for_each(|_| {
        let (now, attempt) = next(None);
        drop(gate.admit(now, &attempt));
    });
    group.bench_function("not_idempotent_full_window", |bencher| {
        bencher.iter(|| {
            let (now, attempt) = next(None);
            black_box(gate.admit(now, &attempt)).expect("admitted")
        });
    });
    group.bench_function("not_idempotent_repeated_key", |bencher| {
        let key = Some(KeyDigest::of("renewal", b"7"));
        bencher.iter(|| {
            let (now, attempt) = next(key);
            black_box(gate.admit(now, &attempt))
        });
    });
    let closed = umberpond_admission::Admission::new(AdmissionSettings::default(), NOW);
    group.bench_function("refused", |bencher| bencher.iter(|| black_box(closed.admit(NOW, &idempotent))));
    group.finish();
}

fn retry(criterion: &mut Criterion) {
    let settings = RetryBudgetSettings { retries_per_thousand: 1_000, ..Default::default() };
    let budget = RetryBudget::new(settings, NOW);
    let deadline = Deadline::after(NOW, Millis(500));
    criterion.bench_function("retry_decision", |bencher| {
        bencher.iter(|| {
            budget.on_request(NOW);
            let mut attempts = RequestAttempts::new(false, deadline);
            black_box(attempts.on_attempt_ended(NOW, AttemptStage::NotConnected, &budget))
        });
    });
}

criterion_group!(benches, admission, retry);
criterion_main!(benches);
