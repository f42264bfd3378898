//! The task that reads the evacuations while this node is a store reader.

use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use tokio::time::sleep;
use umberpond_distribution::ReaderSettings;
use umberpond_telemetry::{Event, Telemetry};

use super::store::EvacuationStore;
use crate::configuration::is_store_reader;
use crate::membership::MembershipMessage;

/// Interval between two reads; an evacuated zone has to be empty within seconds.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);

/// Arguments of the evacuation task.
pub(crate) struct EvacuationTask {
    pub(crate) store: Arc<dyn EvacuationStore>,
    pub(crate) membership: ActorRef<MembershipMessage>,
    pub(crate) telemetry: Telemetry,
}

/// Reads the evacuations until the task is aborted.
pub(crate) async fn follow_evacuations(task: EvacuationTask) {
    loop {
        sleep(task.step().await).await;
    }
}

impl EvacuationTask {
    /// Reads the evacuations once if this node is a store reader; returns the pause before the next step.
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
