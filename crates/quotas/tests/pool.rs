//! What a pool makes of reports.

mod support;

use std::time::{Duration, Instant};

use support::{number, tenant};
use umberpond_quotas::{QuotaReport, TokenPool, WantedTokens, quotas_of};

/// Processes that report to one pool while a datagram is on its way.
const MANY: u64 = 6_000;

fn report(life: u64, earned: Duration) -> QuotaReport {
    let wanted = WantedTokens { tenant: number("shop"), waiting: 100, ahead: 0 };
    let earned_nanos = u64::try_from(earned.as_nanos()).expect("short");
    QuotaReport {
        life,
        number: 1,
        earned_nanos,
        spent: Vec::new(),
        returned: Vec::new(),
        wanted: vec![wanted],
    }
}

#[test]
fn a_report_that_comes_twice_counts_once_however_many_others_come_between() {
    let now = Instant::now();
    let mut pool = TokenPool::default();
    pool.set_quotas(quotas_of(&[tenant("shop", 100.0, 1_000)]));
    let first = report(1, Duration::from_millis(500));
    assert!(pool.on_report(now, &first).is_some());
    for life in 2..MANY {
        assert!(pool.on_report(now, &report(life, Duration::ZERO)).is_some());
    }
    assert_eq!(pool.on_report(now, &first), None);
}
