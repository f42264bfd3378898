//! The owner's side of the node's endpoint record: starting, ready, draining, gone.
//!
//! The request path is always told first, since its gate is what refuses work; the overlay tells the others. A back
//! end that fails its health checks closes the gate only: its record stays ready, because a status never goes back
//! within an incarnation, and callers learn from the gate's refusals.

use std::sync::Arc;

use parking_lot::Mutex;
use umberpond_model::{EndpointRecord, EndpointStatus};
use umberpond_telemetry::Event;

use crate::admin::api::ReadinessCondition;
use crate::overlay::OverlayMessage;
use crate::shared::NodeShared;

/// The record as the request path knows it.
#[derive(Debug)]
pub(crate) struct OwnStatus {
    record: Mutex<EndpointRecord>,
}

impl OwnStatus {
    /// Begins with `record`, which is starting.
    pub(crate) const fn new(record: EndpointRecord) -> Self {
        Self { record: Mutex::new(record) }
    }

    /// Writes `status` under the next sequence; `None` if it is the present one, or if the node already leaves.
    fn write(&self, status: EndpointStatus) -> Option<EndpointRecord> {
        let mut record = self.record.lock();
        let leaves = record.status >= EndpointStatus::Draining;
        if record.status == status || (leaves && status < record.status) {
            return None;
        }
        record.status = status;
        record.sequence += 1;
        Some(record.clone())
    }
}

/// Tells the request path `status`, and the overlay too unless the status would go back.
pub(crate) fn announce(shared: &NodeShared, status: EndpointStatus) {
    let Some(record) = shared.own_status.write(status) else { return };
    shared.proxy.set_own_record(&record);
    shared.environment.telemetry.emit(Event::OwnStatusChanged { status });
    if status != EndpointStatus::Starting {
        // An actor that is gone has nobody to tell.
        let _ = shared.overlay.send_message(OverlayMessage::OwnStatus(status));
    }
}

/// Opens the gate while the node is ready, closes it while it is not, and tells every change, until the task is
/// ended or the node drains.
pub(crate) async fn follow_readiness(shared: Arc<NodeShared>) {
    let mut health = shared.proxy.backend_health();
    let mut active = shared.activation.active();
    let mut draining = shared.draining.subscribe();
    let mut was_ready = false;
    loop {
        let readiness = shared.readiness();
        if readiness.ready != was_ready {
            was_ready = readiness.ready;
            tell(&shared, was_ready, &readiness.waits_for);
        }
        if *draining.borrow_and_update() {
            return;
        }
        announce(&shared, if was_ready { EndpointStatus::Ready } else { EndpointStatus::Starting });
        let changed = tokio::select! {
            biased;
            changed = draining.changed() => changed,
            changed = health.changed() => changed,
            changed = active.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

fn tell(shared: &NodeShared, ready: bool, waits_for: &[ReadinessCondition]) {
    let telemetry = &shared.environment.telemetry;
    telemetry.metrics().set_ready(ready);
    if ready {
        let version = shared.proxy.active_version().unwrap_or_default();
        telemetry.emit(Event::BecameReady { version });
    } else {
        telemetry.emit(Event::BecameUnready { reason: format!("{waits_for:?}") });
    }
}
