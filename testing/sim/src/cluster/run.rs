//! One run: simulates the schedule of a seed and checks the recorded history.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};
use umberpond_model::{ContentHash, Millis, SubmissionId, Version};
use umberpond_standins::platform::Platform;

use super::callers::{self, Callers};
use super::chain::{Chain, dangling_references, missing_version_hash, needed_secrets};
use super::faults::Cluster;
use super::layout::{self, NodePlacement};
use super::observer::{Activation, Recorder};
use super::operators::{Operator, Submission, submit_changes};
use super::process::{NodeSlot, RunContext};
use crate::checkers::{CONVERGENCE_LIMIT, Invariant, Violation};
use crate::history::{Event, History, Recorded};
use crate::schedule::Schedule;
use umberpond_virtual_network::SimNetwork;

/// Virtual time before the first fault, in which nodes start and activate the first bundle.
pub const WARM_UP: Millis = Millis(15_000);
/// Duration of the load after the last fault; longer than the convergence limit, so that requests which must
/// get a response are sent too.
const LOAD_AFTER_FAULTS: Millis = Millis(CONVERGENCE_LIMIT.0 + 3_000);
/// Virtual time after the last request and the last submission result.
const SETTLE_TIME: Millis = Millis(3_000);
/// Virtual time at which the first bundle is submitted.
const FIRST_SUBMISSION: Millis = Millis(4_000);
/// Interval between two regular submissions.
const SUBMISSION_INTERVAL: Millis = Millis(2_500);
/// No regular submission starts within this time before the end of the faults.
const LAST_SUBMISSION_BEFORE_END: Millis = Millis(1_000);
/// Interval at which the platform's head is polled.
const HEAD_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Shortest load before the additional load at the end, for runs with few or no faults.
const MIN_LOAD: Millis = Millis(10_000);

/// Options of a run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Seed of the run.
    pub seed: u64,
    /// Faults; their times count from the end of the warm-up.
    pub schedule: Schedule,
}

/// Result of a run.
#[derive(Debug)]
pub struct RunReport {
    /// The history that was checked.
    pub history: History,
    /// Digest of the history and the trace; equal for equal runs.
    pub digest: ContentHash,
    /// Human-readable trace.
    pub trace: Vec<String>,
    /// Violations by invariant.
    pub violations: BTreeMap<Invariant, Vec<Violation>>,
}

/// Simulates one run on its own runtime with a paused clock.
///
/// # Panics
/// If the runtime can't be built or a simulated peer can't start, because the run is then invalid.
#[must_use]
pub fn run(options: &RunOptions) -> RunReport {
    let mut builder = Builder::new_current_thread();
    builder.enable_time().start_paused(true);
    // tokio chooses at random which waiter of a watch channel it wakes first. This makes the choice depend on
    // the seed.
    #[cfg(tokio_unstable)]
    builder.rng_seed(tokio::runtime::RngSeed::from_bytes(&options.seed.to_le_bytes()));
    let runtime = builder.build().expect("a runtime without I/O can be built");
    runtime.block_on(simulate(options))
}

async fn simulate(options: &RunOptions) -> RunReport {
    let cluster = Arc::new(build(options.seed).await);
    let recorder = cluster.context.recorder.clone();
    for placement in &cluster.placements {
        cluster.start(placement.index).await;
    }
    let watcher = tokio::spawn(watch_head(Arc::clone(&cluster)));
    let end_of_faults = Millis(WARM_UP.0 + options.schedule.end().0);
    let operators = tokio::spawn(submit_regularly(Arc::clone(&cluster), end_of_faults));
    sleep(Duration::from_millis(WARM_UP.0)).await;

    let load_started_at = recorder.now();
    let edge = cluster.placements.last().expect("the layout has an edge node");
    let load_time = Millis(options.schedule.end().0.max(MIN_LOAD.0) + LOAD_AFTER_FAULTS.0);
    recorder.record(Event::EntryNode { node: edge.node.clone() });
    let caller_network = cluster.context.host(layout::CALLER_HOST);
    let calls = Callers::start(&caller_network, edge, options.seed, load_started_at, load_time);
    let faults =
        options.schedule.faults.iter().map(|fault| tokio::spawn(Arc::clone(&cluster).inject(*fault)));
    for fault in faults.collect::<Vec<_>>() {
        fault.await.expect("a fault task does not panic");
    }
    recorder.record(Event::FaultsEnded);
    let answers = calls.finish().await;
    operators.await.expect("the operator task does not panic");
    sleep(Duration::from_millis(SETTLE_TIME.0)).await;
    recorder.record(Event::RunEnded);
    watcher.abort();

    let mut events: Vec<Recorded> = answers.iter().flat_map(callers::caller_events).collect();
    for slot in &cluster.slots {
        let slot = slot.lock().await;
        for (started_at, ledger) in slot.ledgers() {
            events.extend(callers::run_events(started_at, &slot.placement, &ledger));
        }
    }
    let chain = Chain::read(cluster.context.host(layout::OPERATOR_HOST)).await;
    check_history(&cluster.placements, &recorder, &chain, events)
}

async fn build(seed: u64) -> Cluster {
    let network = SimNetwork::new(seed, layout::delay_between);
    let platform_network = network.host(layout::PLATFORM_HOST);
    let platform = Platform::start(&*platform_network, layout::PLATFORM).await;
    let platform = platform.expect("an unused address can be bound");
    let placements = layout::placements();
    let recorder = Recorder::new();
    let operator = Operator { network: network.host(layout::OPERATOR_HOST), recorder: recorder.clone() };
    let context = RunContext { network, seed, recorder, started_at: Instant::now() };
    let mut slots = Vec::new();
    for placement in &placements {
        slots.push(Mutex::new(NodeSlot::new(placement.clone(), &context).await));
    }
    Cluster { context, platform, slots, placements, operator }
}

/// Polls the platform's head and records each new version.
async fn watch_head(cluster: Arc<Cluster>) {
    let mut seen = Version::GENESIS;
    loop {
        let head = cluster.platform.object("head", "head");
        let version = head.and_then(|object| umberpond_acceptance::chain::decode_head(&object.bytes).ok());
        if let Some(head) = version.filter(|head| head.version > seen) {
            seen = head.version;
            cluster.context.recorder.head_moved(seen);
        }
        sleep(HEAD_POLL_INTERVAL).await;
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
    while cluster.context.recorder.now().0 + LAST_SUBMISSION_BEFORE_END.0 < until.0 {
        number += 1;
        pending.push(tokio::spawn(submit_changes(cluster.operator.clone(), admins.clone(), number, 0)));
        sleep(Duration::from_millis(SUBMISSION_INTERVAL.0)).await;
    }
    for submission in pending {
        submission.await.expect("a submission task does not panic");
    }
}

fn check_history(
    placements: &[NodePlacement],
    recorder: &Recorder,
    chain: &Chain,
    mut events: Vec<Recorded>,
) -> RunReport {
    let record = recorder.take();
    events.extend(record.events);
    events.extend(accepted_events(chain, &record.head_moves));
    events.extend(record.activations.iter().map(|activation| activated_event(placements, chain, activation)));
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

/// Returns the versions of the chain, each with the time at which the head was first seen at it or a later
/// one.
fn accepted_events(chain: &Chain, head_moves: &[(Millis, Version)]) -> Vec<Recorded> {
    let at = |version: Version| {
        let first = head_moves.iter().find(|(_, head)| *head >= version);
        first.map_or(Millis(0), |(at, _)| *at)
    };
    let events = chain.versions().map(|(version, content)| Recorded {
        at: at(version),
        event: Event::Accepted { version, submission: content.submission },
    });
    events.collect()
}

fn activated_event(placements: &[NodePlacement], chain: &Chain, activation: &Activation) -> Recorded {
    let expected = chain.expected(activation.version);
    let event = Event::Activated {
        node: activation.node.clone(),
        process: activation.process,
        version: activation.version,
        snapshot: activation.content,
        expected: expected.map_or_else(missing_version_hash, umberpond_config::Snapshot::content_hash),
        dangling_references: expected.map_or(0, |expected| {
            let not_opened = needed_secrets(expected, &placements[activation.node_index].service);
            dangling_references(expected) + not_opened.saturating_sub(activation.secrets)
        }),
    };
    Recorded { at: activation.at, event }
}
