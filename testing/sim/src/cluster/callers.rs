//! Callers: an open-loop mix of requests through the edge, and what became of each.

use std::sync::Arc;

use tokio::task::JoinHandle;
use umberpond_model::{Millis, ServiceName};
use umberpond_net::Network;
use umberpond_standins::backend::Ledger;
use umberpond_standins::caller::{Answer, CallKind, Caller, CallerReport, LoadPlan, Outcome, Spacing};

use super::layout::{self, Place};
use crate::history::{CallerOutcome, Event, Recorded, RequestKey};

/// Requests a second.
const RATE: f64 = 30.0;
/// Time after which a caller gives a request up, above every route's time limit.
const PATIENCE_MILLIS: u64 = 8_000;

/// Starts the load through `edge`; it ends by itself after `duration`.
pub fn start(
    network: Arc<dyn Network>,
    edge: &Place,
    seed: u64,
    duration: Millis,
) -> JoinHandle<CallerReport> {
    let kind = |service: &str, idempotent: bool, weight: u32| CallKind {
        service: ServiceName::new(service).expect("a valid name"),
        path_prefix: "/work".to_owned(),
        idempotent,
        weight,
        targets: vec![edge.outbound()],
        answer_bytes: 2_000,
        hold_millis: None,
        stream_millis: 0,
        upload_bytes: 0,
        send_key: false,
        deadline_millis: None,
    };
    let mix = vec![
        kind("archive", true, 4),
        kind("billing", false, 3),
        CallKind { send_key: true, ..kind("billing", false, 2) },
        CallKind { upload_bytes: 100_000, ..kind("billing", false, 1) },
        CallKind { stream_millis: 800, answer_bytes: 50_000, ..kind("solver", true, 2) },
        CallKind { hold_millis: Some(1_500), ..kind("solver", true, 1) },
    ];
    let plan = LoadPlan {
        label: "caller".to_owned(),
        rate: RATE,
        spacing: Spacing::Poisson,
        duration_millis: duration.0,
        patience_millis: PATIENCE_MILLIS,
        seed,
        mix,
    };
    let caller = Caller::new(network, plan).expect("the plan is sound");
    tokio::spawn(caller.run())
}

/// The history of the calls: sent and finished, by the callers' word.
pub fn history_of_answers(begun_at: Millis, answers: &[Answer]) -> Vec<Recorded> {
    let mut events = Vec::new();
    for answer in answers {
        let request = key_of(&answer.path);
        let sent_at = Millis(begun_at.0 + answer.due_millis);
        let finished_at = Millis(sent_at.0 + answer.latency_micros / 1_000);
        let service = answer.service.clone();
        let idempotent = answer.idempotent;
        events.push(Recorded { at: sent_at, event: Event::Sent { request, service, idempotent } });
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
            locality_allowed,
        },
    };
    ledger.entries.iter().map(executed).collect()
}

/// The path names a call; its hash is the call's key in the history.
fn key_of(path: &str) -> RequestKey {
    let hash = blake3::hash(path.as_bytes());
    let mut first_bytes = [0; 8];
    first_bytes.copy_from_slice(&hash.as_bytes()[..8]);
    RequestKey(u64::from_le_bytes(first_bytes))
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
