//! The machine list: followed by readers, read once by a node that accepts a submission.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use parking_lot::Mutex;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;
use umberpond_model::Member;
use umberpond_overlay::interface::{Machine, PlatformEvent};
use umberpond_platform::{Backoff, MachineEntry, ObjectKind, ObjectStore, PlatformClient, Revision};
use umberpond_telemetry::Event;

use super::actor::PlatformContext;
use super::backoff::PLATFORM_BACKOFF;

/// Time in which several changes of the list become one read.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// The machine list as this node read it last. A hint that lags.
#[derive(Debug, Default)]
pub(crate) struct KnownMachines {
    entries: Mutex<Vec<MachineEntry>>,
}

impl KnownMachines {
    /// Machines that are not leaving.
    pub(crate) fn staying(&self) -> Vec<Member> {
        let entries = self.entries.lock();
        entries.iter().filter(|entry| !entry.leaving).map(MachineEntry::member).collect()
    }

    /// Reads the list; what is known stays if the platform does not answer.
    pub(crate) async fn refresh(&self, client: &PlatformClient) -> Option<Revision> {
        let list = client.machines().await.ok()?;
        *self.entries.lock() = list.machines;
        Some(list.revision)
    }

    fn as_machines(&self) -> Vec<Machine> {
        let entries = self.entries.lock();
        entries.iter().map(|entry| Machine { member: entry.member(), leaving: entry.leaving }).collect()
    }
}

/// Tells the overlay the machine list and each change of it, until the task is ended.
pub(super) async fn follow(context: PlatformContext, mut rng: ChaCha8Rng) {
    let mut backoff = Backoff::new(PLATFORM_BACKOFF);
    loop {
        if follow_once(&context).await.is_some() {
            backoff.reset();
        }
        sleep(backoff.next_wait(&mut rng, None)).await;
    }
}

/// Reads the list and watches it until the watch ends; `None` if the list could not be read.
async fn follow_once(context: &PlatformContext) -> Option<()> {
    let Some(revision) = context.machines.refresh(&context.client).await else {
        context.telemetry.metrics().platform_request("read-machines", "failed");
        let reason = "no answer".to_owned();
        context.telemetry.emit(Event::PlatformUnavailable { operation: "read-machines", reason });
        return None;
    };
    tell(context);
    let Ok(mut changes) = context.client.watch(ObjectKind::Machines, revision).await else { return Some(()) };
    while let Some(Ok(_)) = changes.next().await {
        sleep(SETTLE_TIME).await;
        context.machines.refresh(&context.client).await?;
        tell(context);
    }
    Some(())
}

fn tell(context: &PlatformContext) {
    context.telemetry.metrics().platform_request("read-machines", "ok");
    context.tell(PlatformEvent::Machines(Arc::new(context.machines.as_machines())));
}
