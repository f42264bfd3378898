//! What nodes hold of requests that may end back ends: who is blamed, who is cleared, and that all come to the same.

use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use umberpond_quarantine::{
    CrashId, Finding, QuarantineSettings, RequestContent, RequestFingerprint, RequestKey, SuspectLedger,
    SuspectRecord, SuspicionLevel,
};

const SETTINGS: QuarantineSettings = QuarantineSettings {
    crashes: 3,
    pause: Duration::from_secs(4),
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
fn a_request_is_refused_from_the_third_end_on_and_for_a_while_after_the_second() {
    let start = Instant::now();
    let mut ledger = ledger();
    let guilty = key("/guilty");
    assert_eq!(ledger.standing(start, &guilty), SuspicionLevel::Clear);
    ledger.blame(start, CrashId(1), &[guilty]);
    assert_eq!(ledger.standing(start, &guilty), SuspicionLevel::Suspected);
    ledger.blame(after(start, 1), CrashId(2), &[guilty]);
    assert_eq!(ledger.standing(after(start, 2), &guilty), SuspicionLevel::Paused(Duration::from_secs(3)));
    assert_eq!(ledger.standing(after(start, 5), &guilty), SuspicionLevel::Isolated);
    ledger.blame(after(start, 5), CrashId(3), &[guilty]);
    assert_eq!(ledger.standing(after(start, 500), &guilty), SuspicionLevel::Quarantined);
    assert_eq!(ledger.standing(after(start, 700), &guilty), SuspicionLevel::Clear);
}

#[test]
fn what_was_blamed_before_explains_an_end_and_nothing_beside_it_is_blamed() {
    let start = Instant::now();
    let mut ledger = ledger();
    let (guilty, beside, later) = (key("/guilty"), key("/beside"), key("/later"));
    assert_eq!(ledger.blame(start, CrashId(1), &[guilty, beside]), [guilty, beside]);
    ledger.clear(&beside);
    assert_eq!(ledger.blame(start, CrashId(2), &[guilty, beside, later]), [guilty]);
    assert_eq!(ledger.blame(start, CrashId(3), &[later, guilty]), [guilty]);
    assert_eq!(ledger.standing(start, &beside), SuspicionLevel::Clear);
    assert_eq!(ledger.standing(start, &later), SuspicionLevel::Clear);
}

/// Both would be refused by this end, and one of them wrongly.
#[test]
fn of_several_that_are_equally_suspect_none_is_refused() {
    let start = Instant::now();
    let mut ledger = ledger();
    let (guilty, beside) = (key("/guilty"), key("/beside"));
    for crash in 1..=2 {
        ledger.blame(start, CrashId(crash), &[guilty, beside]);
    }
    for crash in 3..=9 {
        assert_eq!(ledger.blame(start, CrashId(crash), &[guilty, beside]), []);
    }
    ledger.blame(start, CrashId(10), &[guilty]);
    assert_eq!(ledger.standing(start, &guilty), SuspicionLevel::Quarantined);
    assert_ne!(ledger.standing(start, &beside), SuspicionLevel::Quarantined);
}

#[test]
fn the_same_content_for_two_callers_is_one_suspect() {
    let start = Instant::now();
    let mut ledger = ledger();
    let keys = [key_by("/guilty", "web"), key_by("/guilty", "desk")];
    for crash in 1..=3 {
        ledger.blame(start, CrashId(crash), &keys);
    }
    assert_eq!(ledger.standing(start, &keys[0]), SuspicionLevel::Quarantined);
    assert_eq!(ledger.standing(start, &key_by("/guilty", "another")), SuspicionLevel::Quarantined);
}

/// One service is answered what ends back ends when another one asks it.
#[test]
fn a_caller_that_is_answered_clears_nothing_for_another_one() {
    let start = Instant::now();
    let mut ledger = ledger();
    let (answered, crashing) = (key_by("/mixed", "web"), key_by("/mixed", "desk"));
    for crash in 1..=3 {
        ledger.blame(start, CrashId(crash), &[crashing]);
        ledger.clear(&answered);
    }
    assert_eq!(ledger.standing(start, &crashing), SuspicionLevel::Quarantined);
    assert_eq!(ledger.standing(start, &answered), SuspicionLevel::Clear);
}

#[test]
fn what_is_certain_stays_when_there_is_too_much() {
    let start = Instant::now();
    let mut ledger = ledger();
    let guilty = key("/guilty");
    for crash in 1..=3 {
        ledger.blame(start, CrashId(crash), &[guilty]);
    }
    for number in 0..1_000 {
        ledger.blame(after(start, 1), CrashId(100 + number), &[key(&format!("/{number}"))]);
    }
    assert_eq!(ledger.standing(after(start, 1), &guilty), SuspicionLevel::Quarantined);
    assert!(ledger.quarantined(after(start, 1)).len() <= 2);
}

#[test]
fn age_travels_with_a_finding() {
    let start = Instant::now();
    let (mut old, mut new) = (ledger(), ledger());
    let guilty = key("/guilty");
    for crash in 1..=3 {
        old.blame(start, CrashId(crash), &[guilty]);
    }
    new.join(after(start, 400), &old.repair_records(after(start, 400)));
    assert_eq!(new.standing(after(start, 599), &guilty), SuspicionLevel::Quarantined);
    assert_eq!(new.standing(after(start, 600), &guilty), SuspicionLevel::Clear);
    let too_old = old.repair_records(after(start, 599));
    let mut last = ledger();
    last.join(after(start, 2_000), &[SuspectRecord { age_millis: u32::MAX, ..too_old[0].clone() }]);
    assert!(last.is_empty());
}

/// What happens at some node.
#[derive(Debug, Clone)]
enum Step {
    /// The back end beside a node ends while these requests run there.
    Crash { node: usize, requests: Vec<u8> },
    /// The back end beside a node answers.
    Answer { node: usize, request: u8 },
    /// A node tells another one all that it knows of a request.
    Tell { from: usize, to: usize, request: u8 },
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
            1 => Self::Answer { node, request },
            _ => Self::Tell { from: node, to: usize::arbitrary(generator) % NODES, request },
        }
    }
}

fn carry_out(steps: &[Step], start: Instant) -> Vec<SuspectLedger> {
    let mut ledgers: Vec<SuspectLedger> = (0..NODES).map(|_| ledger()).collect();
    let key = |request: u8| key(&format!("/{request}"));
    for (number, step) in steps.iter().enumerate() {
        match step {
            Step::Crash { node, requests } => {
                let requests: Vec<RequestKey> = requests.iter().map(|request| key(*request)).collect();
                ledgers[*node].blame(start, CrashId(number as u64), &requests);
            }
            Step::Answer { node, request } => {
                ledgers[*node].clear(&key(*request));
            }
            Step::Tell { from, to, request } => {
                let records = ledgers[*from].records(start, &key(*request).fingerprints());
                ledgers[*to].join(start, &records);
            }
        }
    }
    ledgers
}

#[test]
fn nodes_that_have_heard_the_same_hold_the_same() {
    fn property(steps: Vec<Step>) -> bool {
        let start = Instant::now();
        let mut ledgers = carry_out(&steps, start);
        let fingerprints: Vec<RequestFingerprint> =
            (0..REQUESTS).flat_map(|request| key(&format!("/{request}")).fingerprints()).collect();
        let all: Vec<Vec<SuspectRecord>> =
            ledgers.iter().map(|ledger| ledger.records(start, &fingerprints)).collect();
        // Everybody hears everything, in an order of their own, and some of it twice.
        for (node, ledger) in ledgers.iter_mut().enumerate() {
            for turn in 0..=NODES {
                ledger.join(start, &all[(node + turn) % NODES]);
            }
        }
        let first = ledgers[0].records(start, &fingerprints);
        ledgers.iter().all(|ledger| {
            ledger.records(start, &fingerprints) == first && ledger.digest() == ledgers[0].digest()
        })
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<Step>) -> bool);
}

/// A request that a back end answers after each end is never refused, whatever ran beside it and whoever hears what when.
#[test]
fn what_is_answered_is_not_refused() {
    fn property(steps: Vec<Step>) -> bool {
        let start = Instant::now();
        let mut answered = Vec::new();
        for step in steps {
            let is_crash = matches!(step, Step::Crash { .. });
            let node = if let Step::Crash { node, .. } = &step { *node } else { 0 };
            answered.push(step);
            if is_crash {
                answered.push(Step::Answer { node, request: 0 });
            }
        }
        let popular = key("/0");
        carry_out(&answered, start)
            .iter()
            .all(|ledger| ledger.standing(start, &popular) != SuspicionLevel::Quarantined)
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<Step>) -> bool);
}

/// A request, the ends and whether it was cleared of each, and an age.
type ToldRecord = (u8, Vec<(u64, bool)>, u32);

/// What another node sends may hold anything.
#[test]
fn any_record_is_joined_within_bounds() {
    fn property(records: Vec<ToldRecord>) -> bool {
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
        ledger.join(start, &records);
        ledger.repair_records(start).len() <= SETTINGS.capacity
            && ledger.repair_records(start).iter().all(|record| record.findings.len() <= 8)
    }
    QuickCheck::new().tests(1_000).quickcheck(property as fn(Vec<ToldRecord>) -> bool);
}
