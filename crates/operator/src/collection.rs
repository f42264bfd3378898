//! Periodic garbage collection of the objects of versions that are no longer kept.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;
use umberpond_acceptance::chain::ChainReader;
use umberpond_acceptance::{CollectSettings, collect};
use umberpond_daemon::RunningDaemon;
use umberpond_store::ObjectStore;
use umberpond_telemetry::Event;

/// Mean interval between two collections of one node.
const INTERVAL: Duration = Duration::from_secs(3_600);

/// Runs collections periodically, skipping them while this node does not read the store. Several nodes may
/// collect at the same time, which costs additional requests but is harmless.
pub async fn collect_now_and_then(daemon: Arc<RunningDaemon>, store: Arc<dyn ObjectStore>, seed: u64) {
    let chain = ChainReader::new(store);
    let mut random = SmallRng::seed_from_u64(seed);
    loop {
        sleep(INTERVAL.mul_f64(0.5 + random.random::<f64>())).await;
        if !daemon.reads_store().await {
            continue;
        }
        let event = match collect(&chain, CollectSettings::default()).await {
            Ok(report) => Event::ObjectsCollected { deleted: report.deleted as u64 },
            Err(error) => Event::PlatformUnavailable { operation: "collect", reason: error.to_string() },
        };
        daemon.telemetry().emit(event);
    }
}
