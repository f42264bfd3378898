//! The owner's side of the node's endpoint record: starting, ready, draining, gone.

use std::sync::Arc;

use umberpond_model::EndpointStatus;
use umberpond_telemetry::Event;

use crate::overlay::OverlayMessage;
use crate::shared::NodeShared;

/// Tells `status` to the request path first, which refuses work by it, then to everybody else.
pub(crate) fn announce(shared: &NodeShared, status: EndpointStatus) {
    if shared.proxy.endpoint_status() == status {
        return;
    }
    shared.proxy.set_endpoint_status(status);
    shared.environment.telemetry.emit(Event::OwnStatusChanged { status });
    // An actor that is gone has nobody to tell.
    let _ = shared.overlay.send_message(OverlayMessage::OwnStatus(status));
}

/// Announces the node as ready once it is, and tells every change of its readiness, until the task is ended.
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
        if readiness.ready && shared.proxy.endpoint_status() == EndpointStatus::Starting {
            announce(&shared, EndpointStatus::Ready);
        }
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

fn tell(shared: &NodeShared, ready: bool, waits_for: &[crate::admin::api::ReadinessCondition]) {
    let telemetry = &shared.environment.telemetry;
    telemetry.metrics().set_ready(ready);
    if ready {
        let version = shared.proxy.active_version().unwrap_or_default();
        telemetry.emit(Event::BecameReady { version });
    } else {
        telemetry.emit(Event::BecameUnready { reason: format!("{waits_for:?}") });
    }
}
