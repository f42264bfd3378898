//! Processing of reports by a pool.

mod support;

use std::time::{Duration, Instant};

use support::{number, tenant};
use umberpond_quotas::{QuotaReport, TokenPool, WantedTokens, quotas_of};

/// Number of processes that report to one pool while a datagram is in transit.
const PROCESSES: u64 = 6_000;

fn report(process_id: u64, accrued: Duration) -> QuotaReport {
    let wanted = WantedTokens { tenant: number("shop"), waiting: 100, ahead: 0 };
    let accrued_nanos = u64::try_from(accrued.as_nanos()).expect("short");
    QuotaReport {
        process_id,
        number: 1,
        accrued_nanos,
        spent: Vec::new(),
        returned: Vec::new(),
        wanted: vec![wanted],
    }
}

#[test]
fn duplicate_report_is_ignored_after_many_other_reports() {
    let now = Instant::now();
    let mut pool = TokenPool::default();
    pool.set_quotas(quotas_of(&[tenant("shop", 100.0, 1_000)]));
    let first = report(1, Duration::from_millis(500));
    assert!(pool.on_report(now, &first).is_some());
    for process_id in 2..PROCESSES {
        assert!(pool.on_report(now, &report(process_id, Duration::ZERO)).is_some());
    }
    assert_eq!(pool.on_report(now, &first), None);
}
