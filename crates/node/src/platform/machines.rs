//! The machine list: followed by readers, read once by a node that accepts a submission.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use parking_lot::Mutex;
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep, timeout_at};
use umberpond_model::{Member, NodeName};
use umberpond_overlay::interface::{Machine, PlatformEvent};
use umberpond_platform::{
    Backoff, MachineEntry, ObjectKind, ObjectStore, PlatformClient, Revision, WatchEvent,
};
use umberpond_telemetry::Event;

use super::actor::PlatformContext;
use super::backoff::PLATFORM_BACKOFF;

/// Time in which several changes of the list are told as one.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// A node that doesn't follow the list reads it again for a submission only when it is older than this: the whole
/// list of the planned size is close to a megabyte.
const LONGEST_AGE: Duration = Duration::from_secs(60);

/// The machine list as this node knows it. A hint that lags.
#[derive(Debug, Default)]
pub(crate) struct KnownMachines {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    entries: BTreeMap<NodeName, MachineEntry>,
    /// When the list was last known to be as new as the platform's.
    known_at: Option<Instant>,
}

impl KnownMachines {
    /// Machines that are not leaving.
    pub(crate) fn staying(&self) -> Vec<Member> {
        let state = self.state.lock();
        state.entries.values().filter(|entry| !entry.leaving).map(MachineEntry::member).collect()
    }

    /// Reads the list unless it is known well enough; what is known stays if the platform does not answer.
    pub(crate) async fn refresh_if_old(&self, client: &PlatformClient) {
        let is_recent = self.state.lock().known_at.is_some_and(|at| at.elapsed() < LONGEST_AGE);
        if !is_recent {
            self.refresh(client).await;
        }
    }

    /// Reads the list; what is known stays if the platform does not answer.
    async fn refresh(&self, client: &PlatformClient) -> Option<Revision> {
        let list = client.machines().await.ok()?;
        let entries = list.machines.into_iter().map(|entry| (entry.node.clone(), entry)).collect();
        *self.state.lock() = State { entries, known_at: Some(Instant::now()) };
        Some(list.revision)
    }

    /// Takes one change of the list. `None` if it can't be read; then the list must be read whole.
    fn apply(&self, event: &WatchEvent) -> Option<()> {
        let name = NodeName::new(&event.name).ok()?;
        let entry = match &event.value {
            Some(value) => Some(MachineEntry::from_json(value)?),
            None => None,
        };
        let mut state = self.state.lock();
        match entry {
            Some(entry) => state.entries.insert(name, entry),
            None => state.entries.remove(&name),
        };
        state.known_at = Some(Instant::now());
        Some(())
    }

    fn as_machines(&self) -> Vec<Machine> {
        let state = self.state.lock();
        let machine = |entry: &MachineEntry| Machine { member: entry.member(), leaving: entry.leaving };
        state.entries.values().map(machine).collect()
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
    while let Some(Ok(event)) = changes.next().await {
        context.machines.apply(&event)?;
        let settled_at = Instant::now() + SETTLE_TIME;
        while let Ok(Some(Ok(event))) = timeout_at(settled_at, changes.next()).await {
            context.machines.apply(&event)?;
        }
        tell(context);
    }
    Some(())
}

fn tell(context: &PlatformContext) {
    context.telemetry.metrics().platform_request("read-machines", "ok");
    context.tell(PlatformEvent::Machines(Arc::new(context.machines.as_machines())));
}
