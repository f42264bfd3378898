//! Blaming and clearing of requests, and convergence of the nodes' ledgers.

use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use umberpond_quarantine::{
    CrashId, Finding, QuarantineSettings, RequestContent, RequestFingerprint, RequestKey, SuspectLedger,
    SuspectRecord, SuspicionLevel,
};

const SETTINGS: QuarantineSettings = QuarantineSettings {
    crashes: 3,
    pause: Duration::from_secs(4),
    trial_delays: [Duration::from_secs(4), Duration::from_secs(30)],
    lifetime: Duration::from_secs(600),
    capacity: 64,
};

fn key_by(target: &str, caller: &str) -> RequestKey {
    let content = RequestContent {
        method: b"GET",
        host: "a.example",
        target: target.as_bytes(),
        body_length: Some(0),
        body: b"",
    };
    RequestKey::new(RequestFingerprint::of(&content), caller)
}

fn key(target: &str) -> RequestKey {
    key_by(target, "web")
}

fn ledger() -> SuspectLedger {
    SuspectLedger::new(SETTINGS)
}

fn after(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

#[test]
fn request_is_paused_after_the_second_crash_and_quarantined_after_the_third() {
    let start = Instant::now();
    let mut ledger = ledger();
    let culprit = key("/guilty");
    assert_eq!(ledger.suspicion_level(start, &culprit), SuspicionLevel::Clear);
    ledger.blame(start, CrashId(1), &[culprit]);
    assert_eq!(ledger.suspicion_level(start, &culprit), SuspicionLevel::Suspected);
    ledger.blame(after(start, 1), CrashId(2), &[culprit]);
    assert_eq!(
        ledger.suspicion_level(after(start, 2), &culprit),
        SuspicionLevel::Paused(Duration::from_secs(3))
    );
    assert_eq!(ledger.suspicion_level(after(start, 5), &culprit), SuspicionLevel::Isolated);
    ledger.blame(after(start, 5), CrashId(3), &[culprit]);
    assert_eq!(ledger.suspicion_level(after(start, 500), &culprit), SuspicionLevel::Quarantined);
    assert_eq!(ledger.suspicion_level(after(start, 700), &culprit), SuspicionLevel::Clear);
}

#[test]
fn crash_is_attributed_to_earlier_suspects_and_not_to_bystanders() {
    let start = Instant::now();
    let mut ledger = ledger();
    let (culprit, bystander, later) = (key("/guilty"), key("/beside"), key("/later"));
    assert_eq!(ledger.blame(start, CrashId(1), &[culprit, bystander]), [culprit, bystander]);
    ledger.clear(&bystander);
    assert_eq!(ledger.blame(start, CrashId(2), &[culprit, bystander, later]), [culprit]);
    assert_eq!(ledger.blame(start, CrashId(3), &[later, culprit]), [culprit]);
    assert_eq!(ledger.suspicion_level(start, &bystander), SuspicionLevel::Clear);
    assert_eq!(ledger.suspicion_level(start, &later), SuspicionLevel::Clear);
}

/// One more crash would quarantine both requests, one of them wrongly.
#[test]
fn equally_suspect_requests_are_not_quarantined() {
    let start = Instant::now();
    let mut ledger = ledger();
    let (culprit, bystander) = (key("/guilty"), key("/beside"));
    for crash in 1..=2 {
        ledger.blame(start, CrashId(crash), &[culprit, bystander]);
    }
    for crash in 3..=9 {
        assert_eq!(ledger.blame(start, CrashId(crash), &[culprit, bystander]), []);
    }
    ledger.blame(start, CrashId(10), &[culprit]);
    assert_eq!(ledger.suspicion_level(start, &culprit), SuspicionLevel::Quarantined);
    assert_ne!(ledger.suspicion_level(start, &bystander), SuspicionLevel::Quarantined);
}

#[test]
fn same_content_of_two_callers_is_one_suspect() {
    let start = Instant::now();
    let mut ledger = ledger();
    let keys = [key_by("/guilty", "web"), key_by("/guilty", "desk")];
    for crash in 1..=3 {
        ledger.blame(start, CrashId(crash), &keys);
    }
    assert_eq!(ledger.suspicion_level(start, &keys[0]), SuspicionLevel::Quarantined);
    assert_eq!(ledger.suspicion_level(start, &key_by("/guilty", "another")), SuspicionLevel::Quarantined);
}

/// One service gets responses to the content with which another service crashes back ends.
#[test]
fn response_to_one_caller_does_not_clear_another_one() {
    let start = Instant::now();
    let mut ledger = ledger();
    let (served, crashing) = (key_by("/mixed", "web"), key_by("/mixed", "desk"));
    for crash in 1..=3 {
        ledger.blame(start, CrashId(crash), &[crashing]);
        ledger.clear(&served);
    }
    assert_eq!(ledger.suspicion_level(start, &crashing), SuspicionLevel::Quarantined);
    assert_eq!(ledger.suspicion_level(start, &served), SuspicionLevel::Clear);
}

#[test]
fn quarantined_fingerprints_survive_eviction() {
    let start = Instant::now();
    let mut ledger = ledger();
    let culprit = key("/guilty");
    for crash in 1..=3 {
        ledger.blame(start, CrashId(crash), &[culprit]);
    }
    for number in 0..1_000 {
        ledger.blame(after(start, 1), CrashId(100 + number), &[key(&format!("/{number}"))]);
    }
    assert_eq!(ledger.suspicion_level(after(start, 1), &culprit), SuspicionLevel::Quarantined);
    assert!(ledger.quarantined(after(start, 1)).len() <= 2);
}

#[test]
fn merged_findings_keep_their_age() {
    let start = Instant::now();
    let (mut old, mut new) = (ledger(), ledger());
    let culprit = key("/guilty");
    for crash in 1..=3 {
        old.blame(start, CrashId(crash), &[culprit]);
    }
    new.merge(after(start, 400), &old.repair_records(after(start, 400)));
    assert_eq!(new.suspicion_level(after(start, 599), &culprit), SuspicionLevel::Quarantined);
    assert_eq!(new.suspicion_level(after(start, 600), &culprit), SuspicionLevel::Clear);
    let too_old = old.repair_records(after(start, 599));
    let mut last = ledger();
    last.merge(after(start, 2_000), &[SuspectRecord { age_millis: u32::MAX, ..too_old[0].clone() }]);
    assert!(last.is_empty());
}

/// An event at some node.
#[derive(Debug, Clone)]
enum Step {
    /// The back end of a node crashes while these requests run there.
    Crash { node: usize, requests: Vec<u8> },
    /// The back end of a node responds to a request.
    Respond { node: usize, request: u8 },
    /// A node sends all its findings about a request to another node.
    Send { from: usize, to: usize, request: u8 },
}

const NODES: usize = 4;
const REQUESTS: u8 = 6;

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let node = usize::arbitrary(generator) % NODES;
        let request = u8::arbitrary(generator) % REQUESTS;
        match u8::arbitrary(generator) % 4 {
            0 => {
                let mut requests: Vec<u8> = (0..3).map(|_| u8::arbitrary(generator) % REQUESTS).collect();
                requests.sort_unstable();
                requests.dedup();
                Self::Crash { node, requests }
            }
            1 => Self::Respond { node, request },
            _ => Self::Send { from: node, to: usize::arbitrary(generator) % NODES, request },
        }
    }
}

fn run_steps(steps: &[Step], start: Instant) -> Vec<SuspectLedger> {
    let mut ledgers: Vec<SuspectLedger> = (0..NODES).map(|_| ledger()).collect();
    let key = |request: u8| key(&format!("/{request}"));
    for (number, step) in steps.iter().enumerate() {
        match step {
            Step::Crash { node, requests } => {
                let requests: Vec<RequestKey> = requests.iter().map(|request| key(*request)).collect();
                ledgers[*node].blame(start, CrashId(number as u64), &requests);
            }
            Step::Respond { node, request } => {
                ledgers[*node].clear(&key(*request));
            }
            Step::Send { from, to, request } => {
                let records = ledgers[*from].records(start, &key(*request).fingerprints());
                ledgers[*to].merge(start, &records);
            }
        }
    }
    ledgers
}

#[test]
fn ledgers_with_the_same_findings_are_equal() {
    fn property(steps: Vec<Step>) -> bool {
        let start = Instant::now();
        let mut ledgers = run_steps(&steps, start);
        let fingerprints: Vec<RequestFingerprint> =
            (0..REQUESTS).flat_map(|request| key(&format!("/{request}")).fingerprints()).collect();
        let all: Vec<Vec<SuspectRecord>> =
            ledgers.iter().map(|ledger| ledger.records(start, &fingerprints)).collect();
        // Every node merges all records, in its own order and some of them twice.
        for (node, ledger) in ledgers.iter_mut().enumerate() {
            for turn in 0..=NODES {
                ledger.merge(start, &all[(node + turn) % NODES]);
            }
        }
        let first = ledgers[0].records(start, &fingerprints);
        ledgers.iter().all(|ledger| {
            ledger.records(start, &fingerprints) == first && ledger.digest() == ledgers[0].digest()
        })
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<Step>) -> bool);
}

/// A request that a back end responds to after each crash must never be quarantined, whatever ran beside it
/// and in whatever order the nodes exchange findings.
#[test]
fn request_with_responses_is_never_quarantined() {
    fn property(steps: Vec<Step>) -> bool {
        let start = Instant::now();
        let mut steps_with_responses = Vec::new();
        for step in steps {
            let is_crash = matches!(step, Step::Crash { .. });
            let node = if let Step::Crash { node, .. } = &step { *node } else { 0 };
            steps_with_responses.push(step);
            if is_crash {
                steps_with_responses.push(Step::Respond { node, request: 0 });
            }
        }
        let popular = key("/0");
        run_steps(&steps_with_responses, start)
            .iter()
            .all(|ledger| ledger.suspicion_level(start, &popular) != SuspicionLevel::Quarantined)
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<Step>) -> bool);
}

/// A request, its crashes and whether it was cleared of each, and an age.
type ReceivedRecord = (u8, Vec<(u64, bool)>, u32);

/// Records from another node may contain arbitrary values.
#[test]
fn merging_arbitrary_records_respects_the_limits() {
    fn property(records: Vec<ReceivedRecord>) -> bool {
        let start = Instant::now();
        let mut ledger = ledger();
        let records: Vec<SuspectRecord> = records
            .into_iter()
            .map(|(request, findings, age_millis)| SuspectRecord {
                fingerprint: key(&format!("/{request}")).content,
                findings: findings
                    .into_iter()
                    .map(|(crash, is_cleared)| {
                        (CrashId(crash), if is_cleared { Finding::Cleared } else { Finding::Blamed })
                    })
                    .collect(),
                age_millis,
            })
            .collect();
        ledger.merge(start, &records);
        ledger.repair_records(start).len() <= SETTINGS.capacity
            && ledger.repair_records(start).iter().all(|record| record.findings.len() <= 8)
    }
    QuickCheck::new().tests(1_000).quickcheck(property as fn(Vec<ReceivedRecord>) -> bool);
}
