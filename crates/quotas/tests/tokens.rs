//! Tokens that are late, returned, or requested in advance.

mod support;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use support::{number, tenant};
use umberpond_quotas::{
    PooledShares, QuotaGrant, QuotaReport, QuotaSharing, TokenCount, TokenDecision, TokenPool, WantedTokens,
    quotas_of,
};

const RATE: f64 = 600.0;
const BURST: u64 = 600;
const POOLS: usize = 8;
const TOKEN_LIFETIME: Duration = Duration::from_millis(250);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn shares(now: Instant) -> PooledShares {
    let mut shares = PooledShares::new(1);
    shares.set_quotas(quotas_of(&[tenant("hot", RATE, BURST)]));
    shares.set_sharing_nodes(now, 1_000);
    shares
}

fn waiting(count: u32) -> HashMap<umberpond_model::TenantId, u32> {
    [(number("hot"), count)].into()
}

fn grant(report: &QuotaReport, tokens: u32) -> QuotaGrant {
    QuotaGrant { number: report.number, granted: vec![TokenCount { tenant: number("hot"), tokens }] }
}

/// Takes all available tokens.
fn take_all(shares: &mut PooledShares, now: Instant) -> Vec<Instant> {
    let mut taken = Vec::new();
    while let TokenDecision::Granted { expires_at } = shares.take(now, number("hot")) {
        taken.push(expires_at);
    }
    taken
}

/// Requests a token for one waiting request.
fn send_report(shares: &mut PooledShares, now: Instant) -> QuotaReport {
    shares.on_request(now, number("hot"));
    assert_eq!(shares.take(now, number("hot")), TokenDecision::Pending);
    shares.next_report(now, &waiting(1)).expect("a request waits")
}

#[test]
fn late_grant_is_used_once_after_another_pool_was_asked() {
    let start = Instant::now();
    let mut shares = shares(start);
    let first = send_report(&mut shares, start);
    let second = shares.next_report(start + millis(30), &waiting(1)).expect("the first pool did not reply");
    assert_ne!(first.number, second.number);
    shares.on_grant(start + millis(90), &grant(&first, 3), POOLS);
    shares.on_grant(start + millis(91), &grant(&first, 3), POOLS);
    let taken = take_all(&mut shares, start + millis(92));
    assert_eq!(taken, [start + TOKEN_LIFETIME; 3]);
}

/// Tokens expire at a fixed time, however long their grant was queued at a suspended process.
#[test]
fn grant_after_token_expiry_is_ignored() {
    let start = Instant::now();
    let mut shares = shares(start);
    let report = send_report(&mut shares, start);
    let now = start + TOKEN_LIFETIME;
    shares.on_grant(now, &grant(&report, 5), POOLS);
    assert_eq!(take_all(&mut shares, now), []);
}

#[test]
fn token_can_be_returned_only_before_its_expiry() {
    let start = Instant::now();
    let mut shares = shares(start);
    let report = send_report(&mut shares, start);
    shares.on_grant(start + millis(5), &grant(&report, 2), POOLS);
    let taken = take_all(&mut shares, start + millis(6));
    shares.return_token(start + millis(40), number("hot"), taken[0]);
    assert_eq!(take_all(&mut shares, start + millis(41)).len(), 1);
    shares.return_token(start + TOKEN_LIFETIME, number("hot"), taken[1]);
    assert_eq!(take_all(&mut shares, start + TOKEN_LIFETIME), []);
    assert_eq!(shares.expired_tokens(), 1);
}

#[test]
fn unused_tokens_are_returned_before_they_expire() {
    let start = Instant::now();
    let mut shares = shares(start);
    let report = send_report(&mut shares, start);
    shares.on_grant(start + millis(5), &grant(&report, 4), POOLS);
    assert!(matches!(shares.take(start + millis(6), number("hot")), TokenDecision::Granted { .. }));
    let later = shares.next_report(start + millis(160), &HashMap::new()).expect("tokens are about to expire");
    assert_eq!(later.returned, [TokenCount { tenant: number("hot"), tokens: 3 }]);
    assert_eq!(take_all(&mut shares, start + millis(161)), []);
    assert_eq!(shares.expired_tokens(), 0);
}

/// Guards against unlimited tokens from a node that repeatedly takes and returns all tokens of a pool while
/// the pool keeps accruing.
#[test]
fn tokens_granted_and_returned_repeatedly_do_not_add_up() {
    let start = Instant::now();
    let mut pool = TokenPool::default();
    pool.set_quotas(quotas_of(&[tenant("hot", RATE, BURST)]));
    let mut out = 0;
    let mut most = 0;
    for number in 1..=200 {
        let now = start + millis(50 * number);
        let returned = TokenCount { tenant: support::number("hot"), tokens: out };
        let wanted = WantedTokens { tenant: support::number("hot"), waiting: u32::MAX, ahead: 0 };
        let report = QuotaReport {
            process_id: 1,
            number,
            accrued_nanos: 50_000_000,
            spent: Vec::new(),
            returned: vec![returned],
            wanted: vec![wanted],
        };
        out = pool.on_report(now, &report).expect("a grant").granted[0].tokens;
        most = most.max(out);
    }
    let allowed = BURST as f64 + RATE * TOKEN_LIFETIME.as_secs_f64();
    assert!(f64::from(most) <= allowed, "{most} tokens granted, {allowed} allowed");
}

/// Four times a limit of 600 requests per second, spread over 83 nodes, is 29 per second at one node.
#[test]
fn tenant_far_above_its_limit_is_refused_immediately_while_pools_are_probed() {
    let start = Instant::now();
    let mut shares = shares(start);
    let mut now = start;
    for _ in 0..30 {
        now += millis(34);
        shares.on_request(now, number("hot"));
        if shares.take(now, number("hot")) != TokenDecision::Pending {
            continue;
        }
        for _ in 0..POOLS {
            if let Some(report) = shares.next_report(now, &waiting(1)) {
                shares.on_grant(now, &grant(&report, 0), POOLS);
            }
        }
    }
    assert_eq!(shares.take(now, number("hot")), TokenDecision::Refused);
    assert!(shares.next_token_in(now, number("hot")) > Duration::ZERO);
    now += millis(50);
    let ahead = shares.next_report(now, &HashMap::new()).expect("more requests are expected");
    assert!(ahead.wanted[0].waiting >= 2, "{ahead:?}");
    assert_eq!(shares.take(now, number("hot")), TokenDecision::Refused);
    shares.on_grant(now + millis(5), &grant(&ahead, 2), POOLS);
    assert_eq!(take_all(&mut shares, now + millis(6)).len(), 2);
}

/// Tokens granted by a pool that was suspended for `pause` and then gets `backlog` reports at once.
fn granted_after(pause: Duration, backlog: u64) -> u32 {
    let start = Instant::now();
    let mut pool = TokenPool::default();
    pool.set_quotas(quotas_of(&[tenant("hot", RATE, BURST)]));
    let report = |number: u64, wants: u32| QuotaReport {
        process_id: 1,
        number,
        accrued_nanos: 12_500_000,
        spent: Vec::new(),
        returned: Vec::new(),
        wanted: vec![WantedTokens { tenant: support::number("hot"), waiting: wants, ahead: 0 }],
    };
    let mut now = start;
    for number in 1..=20 {
        now = start + millis(100 * number);
        pool.tick(now);
        pool.on_report(now, &report(number, 0));
    }
    let resumed = now + pause;
    for number in 21..21 + backlog {
        pool.on_report(resumed, &report(number, 0));
    }
    let last = report(21 + backlog, u32::MAX);
    pool.on_report(resumed, &last).expect("a grant").granted[0].tokens
}

#[test]
fn reports_queued_during_a_suspension_create_no_tokens() {
    let kept = granted_after(millis(0), 0);
    let granted = granted_after(Duration::from_secs(8), 40);
    assert!(granted <= kept, "{granted} tokens granted, {kept} stored before");
}
