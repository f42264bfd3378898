//! One run: a seed and its schedule in, a history and a verdict out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};
use umberpond_model::{ContentHash, Millis, SubmissionId, Version};
use umberpond_standins::platform::Platform;

use super::callers::{self, Callers};
use super::chain::{Chain, dangling_references, needed_secrets, no_content};
use super::faults::Cluster;
use super::layout::{self, Place};
use super::observer::{Activation, Recorder};
use super::operators::{Operator, Submission, submit_changes};
use super::process::{NodeSlot, Surroundings};
use crate::checkers::{CONVERGENCE_LIMIT, Invariant, Violation};
use crate::history::{Event, History, Recorded};
use crate::schedule::Schedule;
use umberpond_virtual_network::SimNetwork;

/// Virtual time before the first fault: nodes start, the first bundle comes in force.
pub const WARM_UP: Millis = Millis(15_000);
/// Load goes on for this long after the last fault: above the convergence limit, so that serving is seen too.
const LOAD_AFTER_FAULTS: Millis = Millis(CONVERGENCE_LIMIT.0 + 3_000);
/// Virtual time after the last request and the last word to an operator.
const SETTLE: Millis = Millis(3_000);
/// When the first bundle is submitted.
const FIRST_SUBMISSION: Millis = Millis(4_000);
/// Time between two ordinary submissions.
const SUBMISSION_INTERVAL: Millis = Millis(2_500);
/// No ordinary submission begins this close to the end of the faults.
const LAST_SUBMISSION_BEFORE_END: Millis = Millis(1_000);
/// Time between two looks at the platform's head.
const HEAD_LOOK: Duration = Duration::from_millis(1);
/// Load of a run without faults.
const SHORTEST_LOAD: Millis = Millis(10_000);

/// What to run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Name of the run.
    pub seed: u64,
    /// Faults, counted from the end of the warm-up.
    pub schedule: Schedule,
}

/// What a run gave.
#[derive(Debug)]
pub struct RunReport {
    /// The history over which the checkers run.
    pub history: History,
    /// Digest of the history and the trace; equal for equal runs.
    pub digest: ContentHash,
    /// The trace, for people.
    pub trace: Vec<String>,
    /// Breaches by invariant.
    pub violations: BTreeMap<Invariant, Vec<Violation>>,
}

/// Runs one seed to its end, on a runtime of its own with a paused clock.
///
/// # Panics
/// If the runtime can't be built or a stand-in can't start, which would void the verdict.
#[must_use]
pub fn run(options: &RunOptions) -> RunReport {
    let mut builder = Builder::new_current_thread();
    builder.enable_time().start_paused(true);
    // tokio draws which waiter of a watch is woken first; without this those draws are not the seed's.
    #[cfg(tokio_unstable)]
    builder.rng_seed(tokio::runtime::RngSeed::from_bytes(&options.seed.to_le_bytes()));
    let runtime = builder.build().expect("a runtime without I/O can be built");
    runtime.block_on(run_inside(options))
}

async fn run_inside(options: &RunOptions) -> RunReport {
    let cluster = Arc::new(build(options.seed).await);
    let recorder = cluster.surroundings.recorder.clone();
    for place in &cluster.places {
        cluster.start(place.number).await;
    }
    let watcher = tokio::spawn(watch_head(Arc::clone(&cluster)));
    let end_of_faults = Millis(WARM_UP.0 + options.schedule.end().0);
    let operators = tokio::spawn(submit_regularly(Arc::clone(&cluster), end_of_faults));
    sleep(Duration::from_millis(WARM_UP.0)).await;

    let calls_begun_at = recorder.now();
    let edge = cluster.places.last().expect("the layout has an edge");
    let load_time = Millis(options.schedule.end().0.max(SHORTEST_LOAD.0) + LOAD_AFTER_FAULTS.0);
    let caller_network = cluster.surroundings.host(layout::CALLER_HOST);
    let calls = Callers::start(&caller_network, edge, options.seed, calls_begun_at, load_time);
    let faults =
        options.schedule.faults.iter().map(|fault| tokio::spawn(Arc::clone(&cluster).carry_out(*fault)));
    for fault in faults.collect::<Vec<_>>() {
        fault.await.expect("a fault is carried out");
    }
    recorder.record(Event::FaultsEnded);
    let answers = calls.finish().await;
    operators.await.expect("operators end by themselves");
    sleep(Duration::from_millis(SETTLE.0)).await;
    recorder.record(Event::RunEnded);
    watcher.abort();

    let mut events: Vec<Recorded> = answers.iter().flat_map(callers::history_of_answers).collect();
    for slot in &cluster.slots {
        let slot = slot.lock().await;
        for (begun_at, ledger) in slot.ledgers() {
            events.extend(callers::history_of_ledger(begun_at, &slot.place, &ledger));
        }
    }
    let chain = Chain::read(cluster.surroundings.host(layout::OPERATOR_HOST)).await;
    judge(&cluster.places, &recorder, &chain, events)
}

async fn build(seed: u64) -> Cluster {
    let network = SimNetwork::new(seed, layout::delay_between);
    let platform_network = network.host(layout::PLATFORM_HOST);
    let platform = Platform::start(&*platform_network, layout::PLATFORM).await;
    let platform = platform.expect("a fresh address can be listened at");
    let places = layout::places();
    let recorder = Recorder::new();
    let operator = Operator { network: network.host(layout::OPERATOR_HOST), recorder: recorder.clone() };
    let surroundings = Surroundings { network, seed, recorder, begun: Instant::now() };
    let mut slots = Vec::new();
    for place in &places {
        slots.push(Mutex::new(NodeSlot::new(place.clone(), &surroundings).await));
    }
    Cluster { surroundings, platform, slots, places, operator }
}

/// Notes each version when the head moves to it.
async fn watch_head(cluster: Arc<Cluster>) {
    let mut seen = Version::GENESIS;
    loop {
        let head = cluster.platform.object("head", "head");
        let version = head.and_then(|object| umberpond_acceptance::chain::decode_head(&object.bytes).ok());
        if let Some(head) = version.filter(|head| head.version > seen) {
            seen = head.version;
            cluster.surroundings.recorder.head_moved(seen);
        }
        sleep(HEAD_LOOK).await;
    }
}

async fn submit_regularly(cluster: Arc<Cluster>, until: Millis) {
    sleep(Duration::from_millis(FIRST_SUBMISSION.0)).await;
    let admins = cluster.admins();
    let first = Submission {
        id: SubmissionId(1),
        bundle: layout::base_bundle_name(),
        content: layout::base_bundle(),
    };
    cluster.operator.submit(admins[0], &admins, first).await;
    let mut pending = Vec::new();
    let mut number = 0;
    while cluster.surroundings.recorder.now().0 + LAST_SUBMISSION_BEFORE_END.0 < until.0 {
        number += 1;
        pending.push(tokio::spawn(submit_changes(cluster.operator.clone(), admins.clone(), number, 0)));
        sleep(Duration::from_millis(SUBMISSION_INTERVAL.0)).await;
    }
    for submission in pending {
        submission.await.expect("an operator ends by itself");
    }
}

fn judge(places: &[Place], recorder: &Recorder, chain: &Chain, mut events: Vec<Recorded>) -> RunReport {
    let record = recorder.take();
    events.extend(record.events);
    events.extend(accepted(chain, &record.head_moves));
    events.extend(record.activations.iter().map(|activation| activated(places, chain, activation)));
    let history = History::from_recorded(events);
    let violations = Invariant::ALL
        .into_iter()
        .map(|invariant| (invariant, invariant.check(&history)))
        .filter(|(_, violations)| !violations.is_empty())
        .collect();
    let trace_digest = ContentHash::of(record.trace.join("\n").as_bytes());
    let digest = ContentHash::of(format!("{} {trace_digest}", history.digest()).as_bytes());
    RunReport { history, digest, trace: record.trace, violations }
}

/// The versions of the chain, each at the time at which the head was first seen there or beyond.
fn accepted(chain: &Chain, head_moves: &[(Millis, Version)]) -> Vec<Recorded> {
    let at = |version: Version| {
        let first = head_moves.iter().find(|(_, head)| *head >= version);
        first.map_or(Millis(0), |(at, _)| *at)
    };
    let accepted = chain.versions().map(|(version, content)| Recorded {
        at: at(version),
        event: Event::Accepted { version, submission: content.submission },
    });
    accepted.collect()
}

fn activated(places: &[Place], chain: &Chain, activation: &Activation) -> Recorded {
    let expected = chain.expected(activation.version);
    let event = Event::Activated {
        node: activation.node.clone(),
        process: activation.process,
        version: activation.version,
        snapshot: activation.content,
        expected: expected.map_or_else(no_content, umberpond_config::Snapshot::content_hash),
        dangling_references: expected.map_or(0, |expected| {
            let not_opened = needed_secrets(expected, &places[activation.place].service);
            dangling_references(expected) + not_opened.saturating_sub(activation.secrets)
        }),
    };
    Recorded { at: activation.at, event }
}
