//! Drives the chores of a reader: the hourly collection of old objects and the replacement of lost witnesses.
//!
//! [`Chores`] decides when; each chore runs under a lease of its own, so that one reader of the mesh does it.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep_until};
use umberpond_acceptance::{
    Chore, ChoreInput, ChoreOutput, ChoreSettings, Chores, CollectSettings, WitnessProposal, collect,
};
use umberpond_model::{Millis, NodeName, SubmissionId, VersionRecord};
use umberpond_platform::LeaseAnswer;
use umberpond_telemetry::Event;

use super::actor::PlatformContext;
use crate::shared::overlay_status;

/// Time from one look at the witnesses to the next.
const TICK: Duration = Duration::from_secs(5);

/// Runs until the task is ended; the node is a reader as long as it runs.
///
/// A reader that loses its lease and gets another begins anew. It may then collect within the hour of its own last
/// collection, which costs requests and does no harm.
pub(super) async fn maintain(context: &PlatformContext, holder: &NodeName, mut rng: ChaCha8Rng) {
    let mut chores = Chores::new(ChoreSettings::default(), context.environment.now());
    let mut running = FuturesUnordered::new();
    let mut inputs = vec![ChoreInput::Reader(true)];
    // Readers that start together do not ask for the same lease at the same moment.
    let mut next_tick = Instant::now() + TICK.mul_f64(rng.random::<f64>());
    loop {
        let now = context.environment.now();
        for output in inputs.drain(..).flat_map(|input| chores.on(now, input)) {
            running.push(perform(context, holder, output, SubmissionId(rng.random())));
        }
        inputs = tokio::select! {
            biased;
            Some(input) = running.next() => vec![input],
            () = sleep_until(next_tick) => observe(context).await,
        };
        if Instant::now() >= next_tick {
            next_tick = Instant::now() + TICK;
        }
    }
}

/// What is known now of the head, the machines and the nodes that are connected to this one.
async fn observe(context: &PlatformContext) -> Vec<ChoreInput> {
    let mut inputs = Vec::new();
    if let Some(record) = newest_record(context).await {
        inputs.push(ChoreInput::Head(Box::new(record)));
    }
    if let Some(status) = overlay_status(&context.overlay).await {
        inputs.push(ChoreInput::Committed(status.committed));
        let connected = status.peers.iter().chain([&status.node]);
        inputs.extend(connected.cloned().map(ChoreInput::Seen));
    }
    let machines = context.machines.staying();
    inputs.push(ChoreInput::Machines(machines.into_iter().map(|member| member.node).collect()));
    inputs
}

/// The record of the newest version that the watch of the head has told. A reader that held the head before it
/// became one is told nothing until the next version, and reads the record itself.
async fn newest_record(context: &PlatformContext) -> Option<VersionRecord> {
    let told = context.newest_record.borrow().clone();
    if told.is_some() {
        return told;
    }
    let chain = context.chain();
    let seen = chain.read_head().await.ok()??;
    let record = chain.read_record(seen.head.record).await.ok()?.record.clone();
    context.note_record(&record);
    Some(record)
}

async fn perform(
    context: &PlatformContext,
    holder: &NodeName,
    output: ChoreOutput,
    submission: SubmissionId,
) -> ChoreInput {
    match output {
        ChoreOutput::AcquireLease { chore, duration } => {
            ChoreInput::Lease { chore, granted: acquire(context, holder, chore, duration).await }
        }
        ChoreOutput::Run(chore) => {
            let succeeded = match chore {
                Chore::Collect => collect_objects(context).await,
                Chore::ProposeWitnesses => replace_witnesses(context, submission).await,
            };
            ChoreInput::Ended { chore, succeeded }
        }
    }
}

async fn acquire(context: &PlatformContext, holder: &NodeName, chore: Chore, duration: Millis) -> bool {
    let duration = Duration::from_millis(duration.0);
    let (granted, outcome) = match context.client.acquire_lease(chore.lease_name(), holder, duration).await {
        Ok(LeaseAnswer::Granted { .. }) => (true, "ok"),
        Ok(LeaseAnswer::Held { .. }) => (false, "held"),
        Err(error) => {
            failed(context, "acquire-chore-lease", error.to_string());
            return false;
        }
    };
    context.telemetry.metrics().platform_request("acquire-chore-lease", outcome);
    granted
}

async fn replace_witnesses(context: &PlatformContext, submission: SubmissionId) -> bool {
    match context.acceptor.propose_witnesses(submission).await {
        // A change waits until the last one is committed; it is proposed again then.
        Ok(WitnessProposal::Unchanged | WitnessProposal::LastChangeNotCommitted(_)) => true,
        Ok(WitnessProposal::Accepted(accepted)) => {
            context.telemetry.emit(Event::WitnessesReplaced { version: accepted.version });
            true
        }
        Err(error) => failed(context, "propose-witnesses", error.to_string()),
    }
}

async fn collect_objects(context: &PlatformContext) -> bool {
    match collect(context.acceptor.chain(), CollectSettings::default()).await {
        Ok(report) => {
            context.telemetry.emit(Event::ObjectsCollected { deleted: report.deleted as u64 });
            true
        }
        Err(error) => failed(context, "collect", error.to_string()),
    }
}

/// Tells a failure, and says that the chore did not succeed.
fn failed(context: &PlatformContext, operation: &'static str, reason: String) -> bool {
    context.telemetry.metrics().platform_request(operation, "failed");
    context.telemetry.emit(Event::PlatformUnavailable { operation, reason });
    false
}
