//! At most one arrival of a non-idempotent request runs, whatever is doubled, late, crossed, refused or forgotten.

mod support;

use std::collections::BTreeMap;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::{admitted, attempt, open_gate, queued};
use umberpond_admission::{
    Admission, AdmissionSettings, Admitted, Attempt, Completion, GateStatus, KeyDigest, LONGEST_DEADLINE,
    Refusal, RefusalReason, RequestId,
};
use umberpond_config::RequestClass::{Status, Transaction};
use umberpond_model::{Millis, Timestamp};

const NOW: Timestamp = Timestamp(1_000_000);

fn reason(gate: &Admission, now: Timestamp, attempt: &Attempt) -> RefusalReason {
    gate.admit(now, attempt).expect_err("refused").reason
}

fn with_key(request: u128, key: &[u8]) -> Attempt {
    Attempt { key: Some(KeyDigest::of("renewal", key)), ..attempt(request, Transaction) }
}

#[test]
fn a_second_arrival_is_refused_while_the_first_waits_runs_and_after_it_ended() {
    let gate = open_gate(AdmissionSettings { slots: 1, ..Default::default() });
    let first = attempt(1, Transaction);
    let running = admitted(&gate, NOW, &first);
    assert_eq!(reason(&gate, NOW, &first), RefusalReason::Duplicate);
    let second = attempt(2, Transaction);
    let _waiting = queued(&gate, NOW, &second);
    assert_eq!(reason(&gate, NOW, &second), RefusalReason::Duplicate);
    drop(running);
    let later_attempt = Attempt { number: 2, ..first };
    assert_eq!(reason(&gate, NOW, &later_attempt), RefusalReason::Duplicate);
    assert!(!Refusal { reason: RefusalReason::Duplicate, retry_after: Millis(0) }.proves_not_executed());
}

#[test]
fn an_idempotent_request_may_come_again() {
    let gate = open_gate(AdmissionSettings::default());
    for _ in 0..3 {
        drop(admitted(&gate, NOW, &attempt(1, Status)));
    }
    assert_eq!(gate.view().remembered, 0);
}

#[test]
fn a_refused_attempt_stays_refused_and_only_a_later_one_may_run() {
    let gate = open_gate(AdmissionSettings::default());
    let first = attempt(1, Transaction);
    gate.set_status(GateStatus::Draining);
    assert_eq!(reason(&gate, NOW, &first), RefusalReason::Draining);
    gate.set_status(GateStatus::Open);
    assert_eq!(reason(&gate, NOW, &first), RefusalReason::Duplicate, "a late copy of what was refused");
    let second = Attempt { number: 2, ..first };
    admitted(&gate, NOW, &second).finish(NOW, Completion::Shed);
    drop(admitted(&gate, NOW, &Attempt { number: 3, ..first }));
    assert_eq!(reason(&gate, NOW, &Attempt { number: 4, ..first }), RefusalReason::Duplicate);
}

#[test]
fn a_repeated_key_is_refused_unless_its_first_request_did_not_run() {
    let gate = open_gate(AdmissionSettings { slots: 1, queue: 1, ..Default::default() });
    let running = admitted(&gate, NOW, &attempt(1, Status));
    drop(queued(&gate, NOW, &with_key(2, b"gift-7"))); // given up on while it waited
    drop(running);
    drop(admitted(&gate, NOW, &with_key(3, b"gift-7")));
    assert_eq!(reason(&gate, NOW, &with_key(4, b"gift-7")), RefusalReason::Duplicate);
    drop(admitted(&gate, NOW, &with_key(5, b"gift-8")));
    assert_ne!(KeyDigest::of("a", b"bc"), KeyDigest::of("ab", b"c"));
}

#[test]
fn what_may_have_been_forgotten_is_refused() {
    let restarted = Admission::new(AdmissionSettings::default(), NOW);
    restarted.set_status(GateStatus::Open);
    let older = Attempt { age: Millis(5), ..attempt(1, Transaction) };
    assert_eq!(reason(&restarted, NOW + Millis(4), &older), RefusalReason::TooOld);
    drop(admitted(&restarted, NOW + Millis(5), &older));
}

#[test]
fn a_full_window_forgets_only_what_is_older_than_the_longest_deadline() {
    let gate = open_gate(AdmissionSettings { remembered_requests: 16, ..Default::default() });
    let first = attempt(16, Transaction);
    let second = attempt(32, Transaction); // same shard, which has room for one
    drop(admitted(&gate, NOW, &first));
    let just_before = NOW + Millis(LONGEST_DEADLINE.0 - 1);
    let refusal = gate.admit(just_before, &second).expect_err("no room");
    assert_eq!(refusal.reason, RefusalReason::TooOld);
    assert!(!refusal.proves_not_executed(), "nothing would keep a late copy of it from running");
    assert_eq!(reason(&gate, just_before, &first), RefusalReason::Duplicate);

    let later = NOW + LONGEST_DEADLINE;
    drop(admitted(&gate, later, &second));
    let sent_late = Attempt { age: LONGEST_DEADLINE, remaining: Millis(0), ..first };
    assert_eq!(reason(&gate, later, &sent_late), RefusalReason::TooOld);
    assert_eq!(gate.view().remembered, 1);
}

#[test]
fn a_deadline_longer_than_the_window_can_guard_is_refused() {
    let gate = open_gate(AdmissionSettings::default());
    let long = Attempt { remaining: LONGEST_DEADLINE, age: Millis(1), ..attempt(1, Transaction) };
    assert_eq!(reason(&gate, NOW, &long), RefusalReason::DeadlineTooLong);
}

/// One arrival at one of two gates: some attempt of some request, sent a while ago.
#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive { gate: usize, request: u8, number: u32 },
    Drain { gate: usize },
    Open { gate: usize },
    Restart { gate: usize },
    Wait(u16),
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let gate = usize::arbitrary(generator) % GATES;
        match u8::arbitrary(generator) % 16 {
            0 | 1 => Self::Drain { gate },
            2 | 3 => Self::Open { gate },
            4 => Self::Restart { gate },
            5 => Self::Wait(u16::arbitrary(generator) % 40_000),
            _ => Self::Arrive {
                gate,
                request: u8::arbitrary(generator) % REQUESTS,
                number: u32::arbitrary(generator) % 3 + 1,
            },
        }
    }
}

const GATES: usize = 2;
/// Requests in play; all fall into one shard.
const REQUESTS: u8 = 6;
/// Room for two of them.
const ROOM: usize = 32;
const HISTORIES: u64 = 3_000;

/// One attempt as it was sent: to which gate, to which process there, and what it stated.
#[derive(Clone, Copy)]
struct Sent {
    gate: usize,
    process: u32,
    sent_at: Timestamp,
    arrival: Attempt,
}

/// An outbound proxy's memory of one request. Attempt N + 1 is sent only once N is known not to have run.
#[derive(Default)]
struct Sender {
    first_sent: Option<Timestamp>,
    may_send_next: bool,
    sent: Vec<Sent>,
}

impl Sender {
    /// The wanted attempt, sent now if it is next in turn. An attempt that was sent before may come again as a copy.
    fn attempt(
        &mut self,
        request: u8,
        number: u32,
        gate: usize,
        process: u32,
        now: Timestamp,
    ) -> Option<Sent> {
        let is_next = number as usize == self.sent.len() + 1;
        if is_next && (number == 1 || self.may_send_next) {
            let age = now.since(*self.first_sent.get_or_insert(now));
            let remaining = Millis(LONGEST_DEADLINE.0.checked_sub(age.0)?);
            let request = RequestId(u128::from(request) << 4);
            let arrival = Attempt { request, number, age, remaining, ..attempt(0, Transaction) };
            self.sent.push(Sent { gate, process, sent_at: now, arrival });
            self.may_send_next = false;
        }
        self.sent.get(number as usize - 1).copied()
    }
}

/// Plays `steps`. A copy of an attempt may come within the longest deadline after it was sent, and never reaches a
/// later process than the one that it was sent to. Returns how often each request ran.
fn runs(steps: &[Step]) -> BTreeMap<u8, u32> {
    let settings = AdmissionSettings { remembered_requests: ROOM, ..Default::default() };
    let gate_at = |now| {
        let gate = Admission::new(settings.clone(), now);
        gate.set_status(GateStatus::Open);
        gate
    };
    let mut now = Timestamp(0);
    let mut gates: Vec<_> = (0..GATES).map(|_| (0, gate_at(now))).collect();
    let (mut senders, mut runs) = (BTreeMap::<u8, Sender>::new(), BTreeMap::new());
    for step in steps {
        now = now + Millis(1);
        match *step {
            Step::Drain { gate } => gates[gate].1.set_status(GateStatus::Draining),
            Step::Open { gate } => gates[gate].1.set_status(GateStatus::Open),
            Step::Restart { gate } => gates[gate] = (gates[gate].0 + 1, gate_at(now)),
            Step::Wait(millis) => now = now + Millis(u64::from(millis)),
            Step::Arrive { gate, request, number } => {
                let sender = senders.entry(request).or_default();
                let Some(sent) = sender.attempt(request, number, gate, gates[gate].0, now) else { continue };
                let (process, gate) = &gates[sent.gate];
                if sent.process != *process || now.since(sent.sent_at) >= LONGEST_DEADLINE {
                    continue;
                }
                match gate.admit(now, &sent.arrival) {
                    Ok(Admitted::Now(_permit)) => *runs.entry(request).or_default() += 1,
                    Ok(Admitted::Queued(_)) => unreachable!("each permit is given back at once"),
                    Err(refusal) if number as usize == sender.sent.len() => {
                        sender.may_send_next |= refusal.proves_not_executed();
                    }
                    Err(_) => {}
                }
            }
        }
    }
    runs
}

fn at_most_once(runs: &BTreeMap<u8, u32>) -> bool {
    runs.values().all(|count| *count <= 1)
}

#[test]
fn no_history_of_copies_refusals_and_restarts_runs_a_request_twice() {
    let property = |steps: Vec<Step>| at_most_once(&runs(&steps));
    QuickCheck::new().tests(HISTORIES).quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn the_check_fails_on_a_request_that_ran_twice() {
    assert!(!at_most_once(&[(1, 1), (2, 2)].into()));
    let arrive = Step::Arrive { gate: 0, request: 1, number: 1 };
    assert_eq!(runs(&[arrive, arrive]), [(1, 1)].into(), "the model does run requests");
}

#[test]
fn threads_that_bring_the_same_requests_at_once_run_each_of_them_once() {
    const THREADS: usize = 4;
    const REQUESTS_EACH: u128 = 2_000;
    let gate = open_gate(AdmissionSettings { slots: 4, queue: 4, ..Default::default() });
    let bring_all = |_| {
        let gate = gate.clone();
        move || -> Vec<u128> {
            let is_run = |request: &u128| {
                matches!(gate.admit(NOW, &attempt(*request, Transaction)), Ok(Admitted::Now(_)))
            };
            (0..REQUESTS_EACH).filter(is_run).collect()
        }
    };
    let threads: Vec<_> = (0..THREADS).map(|number| std::thread::spawn(bring_all(number))).collect();
    let mut ran: Vec<_> = threads.into_iter().flat_map(|thread| thread.join().expect("a thread")).collect();
    ran.sort_unstable();
    assert_eq!(ran, (0..REQUESTS_EACH).collect::<Vec<_>>());
    assert_eq!((gate.view().running, gate.view().queued), (0, 0));
}
