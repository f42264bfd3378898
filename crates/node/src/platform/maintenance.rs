//! What the holder of a zone's first lease does for everybody: replaces lost witnesses, collects old objects.
//!
//! Two holders at once do no harm: both steps are safe at any time and change nothing that is right already.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;
use umberpond_acceptance::{CollectSettings, WitnessProposal, collect};
use umberpond_model::SubmissionId;
use umberpond_telemetry::Event;

use super::actor::PlatformContext;

/// Shortest time between two rounds.
const LEAST_INTERVAL: Duration = Duration::from_secs(30);

/// Longest time that is added to it at random, so that the zones' holders do not act at the same moment.
const INTERVAL_JITTER: Duration = Duration::from_secs(60);

/// Rounds from one collection to the next: about every hour.
const ROUNDS_PER_COLLECTION: u32 = 60;

/// Runs until the task is ended.
pub(super) async fn maintain(context: &PlatformContext, mut rng: ChaCha8Rng) {
    let mut round = 0;
    loop {
        sleep(LEAST_INTERVAL + INTERVAL_JITTER.mul_f64(rng.random::<f64>())).await;
        replace_witnesses(context, &mut rng).await;
        round += 1;
        if round % ROUNDS_PER_COLLECTION == 0 {
            collect_objects(context).await;
        }
    }
}

async fn replace_witnesses(context: &PlatformContext, rng: &mut ChaCha8Rng) {
    let submission = SubmissionId(rng.random());
    match context.acceptor.propose_witnesses(submission).await {
        // A change waits until the last one is committed; the next round asks again.
        Ok(WitnessProposal::Unchanged | WitnessProposal::LastChangeNotCommitted(_)) => {}
        Ok(WitnessProposal::Accepted(accepted)) => {
            context.telemetry.emit(Event::WitnessesReplaced { version: accepted.version });
        }
        Err(error) => failed(context, "propose-witnesses", error.to_string()),
    }
}

async fn collect_objects(context: &PlatformContext) {
    match collect(context.acceptor.chain(), CollectSettings::default()).await {
        Ok(report) => {
            context.telemetry.emit(Event::ObjectsCollected { deleted: report.deleted as u64 });
        }
        Err(error) => failed(context, "collect", error.to_string()),
    }
}

fn failed(context: &PlatformContext, operation: &'static str, reason: String) {
    context.telemetry.metrics().platform_request(operation, "failed");
    context.telemetry.emit(Event::PlatformUnavailable { operation, reason });
}
