//! Callers: an open-loop mix of requests through the edge, callers that repeat their own keys, and what became of
//! each request.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;
use umberpond_model::{Millis, ServiceName};
use umberpond_net::Network;
use umberpond_standins::backend::Ledger;
use umberpond_standins::caller::{Answer, CallKind, Caller, CallerReport, LoadPlan, Outcome, Spacing};

use super::layout::{self, Place};
use crate::history::{CallerKey, CallerOutcome, Event, Recorded, RequestKey};

/// Requests a second.
const RATE: f64 = 40.0;
/// Requests a second of the callers that repeat each request under the same key.
const REPEATED_RATE: f64 = 4.0;
/// Time from such a request to its repetition: most first ones have ended by then, slow ones have not.
const REPEAT_AFTER: Duration = Duration::from_millis(250);
/// Length of the answers that these callers ask for first.
const FIRST_ANSWER_BYTES: usize = 2_000;
/// Time after which a caller gives a request up, above every route's time limit.
const PATIENCE_MILLIS: u64 = 8_000;
/// Time that a request which must not repeat runs on its back end, in milliseconds.
const LONG_RUN_MILLIS: u64 = 600;

/// Answers of one caller, when it began, and whether it repeats the requests of another.
pub struct Answers {
    begun_at: Millis,
    repeats: bool,
    answers: Vec<Answer>,
}

/// One caller that runs.
struct RunningCaller {
    begun_at: Millis,
    repeats: bool,
    caller: JoinHandle<CallerReport>,
}

/// The callers that run.
pub struct Callers {
    running: Vec<RunningCaller>,
}

impl Callers {
    /// Starts the load through `edge` at `now`; it ends by itself after `duration`.
    pub fn start(network: &Arc<dyn Network>, edge: &Place, seed: u64, now: Millis, duration: Millis) -> Self {
        let plan = |label: &str, rate: f64, mix: Vec<CallKind>| LoadPlan {
            label: label.to_owned(),
            rate,
            spacing: Spacing::Poisson,
            duration_millis: duration.0,
            patience_millis: PATIENCE_MILLIS,
            seed,
            mix,
        };
        // The repetition has the same label, seed and rate, hence the same keys at the same distances; only its
        // queries tell its requests from the first ones.
        let repeated = |bytes: usize| plan("repeated", REPEATED_RATE, vec![keyed(edge, bytes)]);
        let caller = |plan: LoadPlan, after: Duration, repeats: bool| RunningCaller {
            begun_at: Millis(now.0 + after.as_millis() as u64),
            repeats,
            caller: spawn(network, plan, after),
        };
        let running = vec![
            caller(plan("caller", RATE, mix(edge)), Duration::ZERO, false),
            caller(repeated(FIRST_ANSWER_BYTES), Duration::ZERO, false),
            caller(repeated(FIRST_ANSWER_BYTES + 1), REPEAT_AFTER, true),
        ];
        Self { running }
    }

    /// Waits until every request has ended.
    ///
    /// # Panics
    /// If a caller panics, which would void the run's verdict.
    pub async fn finish(self) -> Vec<Answers> {
        let mut all = Vec::new();
        for RunningCaller { begun_at, repeats, caller } in self.running {
            let answers = caller.await.expect("callers end by themselves").answers;
            all.push(Answers { begun_at, repeats, answers });
        }
        all
    }
}

fn spawn(network: &Arc<dyn Network>, plan: LoadPlan, after: Duration) -> JoinHandle<CallerReport> {
    let caller = Caller::new(Arc::clone(network), plan).expect("the plan is sound");
    tokio::spawn(async move {
        sleep(after).await;
        caller.run().await
    })
}

fn keyed(edge: &Place, answer_bytes: usize) -> CallKind {
    CallKind { send_key: true, answer_bytes, ..kind(edge, "billing", false, 1) }
}

fn kind(edge: &Place, service: &str, idempotent: bool, weight: u32) -> CallKind {
    CallKind {
        service: ServiceName::new(service).expect("a valid name"),
        path_prefix: "/job".to_owned(),
        idempotent,
        weight,
        targets: vec![edge.outbound()],
        answer_bytes: 2_000,
        hold_millis: None,
        stream_millis: 0,
        upload_bytes: 0,
        send_key: false,
        deadline_millis: None,
    }
}

fn mix(edge: &Place) -> Vec<CallKind> {
    let kind = |service, idempotent, weight| kind(edge, service, idempotent, weight);
    vec![
        kind("archive", true, 4),
        kind("billing", false, 6),
        CallKind { send_key: true, ..kind("billing", false, 2) },
        CallKind { upload_bytes: 100_000, ..kind("billing", false, 1) },
        // Long enough that faults meet it while it runs: what becomes of its lost answer is what matters most.
        CallKind { hold_millis: Some(LONG_RUN_MILLIS), ..kind("billing", false, 3) },
        CallKind { stream_millis: 800, answer_bytes: 50_000, ..kind("solver", true, 2) },
        CallKind { hold_millis: Some(1_500), ..kind("solver", true, 1) },
    ]
}

/// The history of the calls: sent and finished, by the callers' word.
pub fn history_of_answers(answers: &Answers) -> Vec<Recorded> {
    let mut events = Vec::new();
    for answer in &answers.answers {
        let request = key_of(&answer.path);
        let sent_at = Millis(answers.begun_at.0 + answer.due_millis);
        let finished_at = Millis(sent_at.0 + answer.latency_micros / 1_000);
        let service = answer.service.clone();
        let idempotent = answer.idempotent;
        events.push(Recorded {
            at: sent_at,
            event: Event::Sent { request, service, idempotent, repeats: answers.repeats },
        });
        let outcome = outcome_of(answer.outcome);
        events.push(Recorded { at: finished_at, event: Event::Finished { request, outcome } });
    }
    events
}

/// The history of the runs: by the back end's ledger.
pub fn history_of_ledger(begun_at: Millis, place: &Place, ledger: &Ledger) -> Vec<Recorded> {
    let locality_allowed =
        layout::allowed(place.service.as_str()).iter().any(|rule| rule.allows(&place.locality()));
    let executed = |entry: &umberpond_standins::backend::LedgerEntry| Recorded {
        at: Millis(begun_at.0 + entry.started_millis),
        event: Event::Executed {
            request: key_of(&entry.path),
            node: place.node.clone(),
            locality: place.locality(),
            caller_key: entry.idempotency_key.as_deref().map(|key| CallerKey(short_hash(key))),
            locality_allowed,
        },
    };
    ledger.entries.iter().map(executed).collect()
}

/// The path names a call; its hash is the call's key in the history.
fn key_of(path: &str) -> RequestKey {
    RequestKey(short_hash(path))
}

fn short_hash(text: &str) -> u64 {
    let hash = blake3::hash(text.as_bytes());
    let mut first_bytes = [0; 8];
    first_bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first_bytes)
}

const fn outcome_of(outcome: Outcome) -> CallerOutcome {
    match outcome {
        Outcome::Answered => CallerOutcome::Answered { whole: true, own: true },
        Outcome::WrongAnswer => CallerOutcome::Answered { whole: true, own: false },
        Outcome::Rejected => CallerOutcome::Rejected,
        Outcome::Unknown => CallerOutcome::Unknown,
        Outcome::Truncated => CallerOutcome::Cut,
    }
}
