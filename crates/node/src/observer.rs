//! Turns the events of the request path into metrics and logs.

use umberpond_proxy::{RequestEvent, RequestObserver};
use umberpond_telemetry::{Event, Telemetry};

/// Observer of the request path of one node.
pub(crate) struct TelemetryObserver {
    telemetry: Telemetry,
}

impl TelemetryObserver {
    pub(crate) const fn new(telemetry: Telemetry) -> Self {
        Self { telemetry }
    }
}

impl RequestObserver for TelemetryObserver {
    fn observe(&self, event: &RequestEvent<'_>) {
        match event {
            RequestEvent::Picked { .. } => self.telemetry.metrics().attempt(),
            RequestEvent::Duplicate { request } => {
                self.telemetry.emit(Event::DuplicateRefused { request: request.to_string() });
            }
            _ => {}
        }
    }
}
