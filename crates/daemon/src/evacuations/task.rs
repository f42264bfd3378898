//! The task that reads the evacuations, as long as this node reads the store for all.

use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use tokio::time::sleep;
use umberpond_distribution::ReaderSettings;
use umberpond_telemetry::{Event, Telemetry};

use super::store::EvacuationStore;
use crate::configuration::is_store_reader;
use crate::membership::MembershipMessage;

/// Time between two readings: a zone has to be empty within seconds.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);

/// What the task needs.
pub(crate) struct EvacuationTask {
    pub(crate) store: Arc<dyn EvacuationStore>,
    pub(crate) membership: ActorRef<MembershipMessage>,
    pub(crate) telemetry: Telemetry,
}

/// Reads the evacuations without end.
pub(crate) async fn follow_evacuations(task: EvacuationTask) {
    loop {
        sleep(task.step().await).await;
    }
}

impl EvacuationTask {
    /// Reads once if this node reads the store for all; gives the pause after it.
    async fn step(&self) -> Duration {
        if !is_store_reader(&self.membership, &ReaderSettings::default()).await {
            return LIST_INTERVAL;
        }
        let listed = self.store.list().await;
        let outcome = if listed.is_ok() { "answered" } else { "unavailable" };
        self.telemetry.metrics().platform_request("evacuations", outcome);
        match listed {
            Ok(evacuations) => {
                let _ = self.membership.send_message(MembershipMessage::Evacuations(evacuations));
                LIST_INTERVAL
            }
            Err(error) => {
                self.telemetry.emit(Event::EvacuationsUnread { reason: error.to_string() });
                FAILURE_PAUSE
            }
        }
    }
}
