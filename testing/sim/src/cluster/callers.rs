//! Callers: an open-loop mix of requests through the edge, callers that repeat requests under the same
//! idempotency key, and the history of their requests.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;
use umberpond_model::{Millis, ServiceName};
use umberpond_net::Network;
use umberpond_standins::backend::Ledger;
use umberpond_standins::caller::{Answer, CallKind, Caller, CallerReport, LoadPlan, Outcome, Spacing};

use super::layout::{self, NodePlacement};
use crate::history::{CallerKey, CallerOutcome, Event, Recorded, RequestKey};

/// Requests per second of the mixed load.
const REQUESTS_PER_SECOND: f64 = 40.0;
/// Requests per second of each of the two callers that send the same idempotency keys.
const REPEATED_REQUESTS_PER_SECOND: f64 = 4.0;
/// Delay from such a request to its repetition: most first requests have finished by then, slow ones have
/// not.
const REPEAT_DELAY: Duration = Duration::from_millis(250);
/// Response length that the first of these requests asks for; repetitions ask for one byte more.
const FIRST_RESPONSE_BYTES: usize = 2_000;
/// Time after which a caller abandons a request; longer than the timeout of every route.
const CALLER_TIMEOUT_MILLIS: u64 = 8_000;
/// Run time of long non-idempotent requests on the back end, in milliseconds.
const LONG_RUN_MILLIS: u64 = 600;

/// Results of one caller, its start time, and whether it repeats the requests of another caller.
pub struct CallerResults {
    started_at: Millis,
    repeats: bool,
    answers: Vec<Answer>,
}

/// A running caller.
struct RunningCaller {
    started_at: Millis,
    repeats: bool,
    caller: JoinHandle<CallerReport>,
}

/// All running callers.
pub struct Callers {
    running: Vec<RunningCaller>,
}

impl Callers {
    /// Starts the load through `edge` at `now`. Callers stop sending after `duration`.
    pub fn start(
        network: &Arc<dyn Network>,
        edge: &NodePlacement,
        seed: u64,
        now: Millis,
        duration: Millis,
    ) -> Self {
        let plan = |label: &str, rate: f64, mix: Vec<CallKind>| LoadPlan {
            label: label.to_owned(),
            rate,
            spacing: Spacing::Poisson,
            duration_millis: duration.0,
            patience_millis: CALLER_TIMEOUT_MILLIS,
            seed,
            mix,
        };
        // The repeating caller has the same label, seed and rate, hence the same keys at the same intervals.
        // Its requests differ from the first ones only in the query, which holds the response length.
        let repeated =
            |bytes: usize| plan("repeated", REPEATED_REQUESTS_PER_SECOND, vec![keyed_kind(edge, bytes)]);
        let caller = |plan: LoadPlan, after: Duration, repeats: bool| RunningCaller {
            started_at: Millis(now.0 + after.as_millis() as u64),
            repeats,
            caller: spawn_caller(network, plan, after),
        };
        let running = vec![
            caller(plan("caller", REQUESTS_PER_SECOND, mix(edge)), Duration::ZERO, false),
            caller(repeated(FIRST_RESPONSE_BYTES), Duration::ZERO, false),
            caller(repeated(FIRST_RESPONSE_BYTES + 1), REPEAT_DELAY, true),
        ];
        Self { running }
    }

    /// Waits until every request has finished.
    ///
    /// # Panics
    /// If a caller panics, because the run is then invalid.
    pub async fn finish(self) -> Vec<CallerResults> {
        let mut all = Vec::new();
        for RunningCaller { started_at, repeats, caller } in self.running {
            let answers = caller.await.expect("a caller task does not panic").answers;
            all.push(CallerResults { started_at, repeats, answers });
        }
        all
    }
}

fn spawn_caller(network: &Arc<dyn Network>, plan: LoadPlan, after: Duration) -> JoinHandle<CallerReport> {
    let caller = Caller::new(Arc::clone(network), plan).expect("the load plan is valid");
    tokio::spawn(async move {
        sleep(after).await;
        caller.run().await
    })
}

fn keyed_kind(edge: &NodePlacement, answer_bytes: usize) -> CallKind {
    CallKind { send_key: true, answer_bytes, ..kind(edge, "billing", false, 1) }
}

fn kind(edge: &NodePlacement, service: &str, idempotent: bool, weight: u32) -> CallKind {
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

fn mix(edge: &NodePlacement) -> Vec<CallKind> {
    let kind = |service, idempotent, weight| kind(edge, service, idempotent, weight);
    vec![
        kind("archive", true, 4),
        kind("billing", false, 6),
        CallKind { send_key: true, ..kind("billing", false, 2) },
        CallKind { upload_bytes: 100_000, ..kind("billing", false, 1) },
        // Long enough that faults occur while it runs: the outcome of a lost response is the most important
        // case.
        CallKind { hold_millis: Some(LONG_RUN_MILLIS), ..kind("billing", false, 3) },
        CallKind { stream_millis: 800, answer_bytes: 50_000, ..kind("solver", true, 2) },
        CallKind { hold_millis: Some(1_500), ..kind("solver", true, 1) },
    ]
}

/// Returns the sent and finished events of requests, as recorded by a caller.
pub fn caller_events(answers: &CallerResults) -> Vec<Recorded> {
    let mut events = Vec::new();
    for answer in &answers.answers {
        let request = request_key(&answer.path);
        let sent_at = Millis(answers.started_at.0 + answer.due_millis);
        let finished_at = Millis(sent_at.0 + answer.latency_micros / 1_000);
        let service = answer.service.clone();
        let idempotent = answer.idempotent;
        events.push(Recorded {
            at: sent_at,
            event: Event::Sent { request, service, idempotent, repeats: answers.repeats },
        });
        let outcome = caller_outcome(answer.outcome);
        events.push(Recorded { at: finished_at, event: Event::Finished { request, outcome } });
    }
    events
}

/// Returns the runs of requests, as recorded in the ledger of a back end.
pub fn run_events(started_at: Millis, placement: &NodePlacement, ledger: &Ledger) -> Vec<Recorded> {
    let locality_allowed = layout::allowed_localities(placement.service.as_str())
        .iter()
        .any(|rule| rule.allows(&placement.locality()));
    let executed = |entry: &umberpond_standins::backend::LedgerEntry| Recorded {
        at: Millis(started_at.0 + entry.started_millis),
        event: Event::Executed {
            request: request_key(&entry.path),
            node: placement.node.clone(),
            locality: placement.locality(),
            caller_key: entry.idempotency_key.as_deref().map(|key| CallerKey(short_hash(key))),
            locality_allowed,
        },
    };
    ledger.entries.iter().map(executed).collect()
}

/// Returns the key of a request in the history: the hash of its path, which is unique to the request.
fn request_key(path: &str) -> RequestKey {
    RequestKey(short_hash(path))
}

fn short_hash(text: &str) -> u64 {
    let hash = blake3::hash(text.as_bytes());
    let mut first_bytes = [0; 8];
    first_bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first_bytes)
}

const fn caller_outcome(outcome: Outcome) -> CallerOutcome {
    match outcome {
        Outcome::Answered => CallerOutcome::Answered { whole: true, own: true },
        Outcome::WrongAnswer => CallerOutcome::Answered { whole: true, own: false },
        Outcome::Rejected => CallerOutcome::Rejected,
        Outcome::Unknown => CallerOutcome::Unknown,
        Outcome::Truncated => CallerOutcome::Cut,
    }
}
