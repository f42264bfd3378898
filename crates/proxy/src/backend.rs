//! The local back end as its node sees it: health checks over `GET /health`.
//!
//! A health endpoint can lag or mislead, so one answer decides nothing: only several failures in a row make the
//! back end count as not ready, and the node decides what to do about it.

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use tokio::time::MissedTickBehavior;
use umberpond_net::send_request;

use crate::{BackendSettings, ProxyState, ShutdownPhase, ShutdownSignal};

/// Health of the local back end. A hint: health endpoints can lag or mislead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendHealth {
    /// Not checked often enough yet.
    Starting,
    /// The last checks were good.
    Ready,
    /// Several checks in a row failed.
    Unready,
}

/// Counts checks in a row.
#[derive(Debug, Clone, Copy)]
struct HealthCounter {
    health: BackendHealth,
    successes: u32,
    failures: u32,
}

impl HealthCounter {
    const fn new() -> Self {
        Self { health: BackendHealth::Starting, successes: 0, failures: 0 }
    }

    fn on_check(&mut self, is_good: bool, settings: &BackendSettings) -> BackendHealth {
        if is_good {
            self.successes = self.successes.saturating_add(1);
            self.failures = 0;
        } else {
            self.failures = self.failures.saturating_add(1);
            self.successes = 0;
        }
        if self.successes >= settings.successes_to_ready {
            self.health = BackendHealth::Ready;
        } else if self.failures >= settings.failures_to_unready && self.health == BackendHealth::Ready {
            self.health = BackendHealth::Unready;
        }
        self.health
    }
}

/// Checks the local back end until the shutdown begins; the result is seen in [`ProxyState::backend_health`].
/// Ends at once at an edge.
pub async fn check_backend(state: Arc<ProxyState>, mut shutdown: ShutdownSignal) {
    let Some(settings) = state.backend.clone() else { return };
    let mut counter = HealthCounter::new();
    let mut ticks = tokio::time::interval(settings.check_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            () = shutdown.reached(ShutdownPhase::Draining) => return,
            _ = ticks.tick() => {}
        }
        let is_good = is_healthy(&state, &settings).await;
        let health = counter.on_check(is_good, &settings);
        state.health.send_if_modified(|current| {
            let changes = *current != health;
            *current = health;
            changes
        });
    }
}

async fn is_healthy(state: &ProxyState, settings: &BackendSettings) -> bool {
    let request = Request::get("/health")
        .header(header::HOST, "localhost")
        .header(header::CONNECTION, "close")
        .body(Full::new(Bytes::new()));
    let Ok(request) = request else { return false };
    let asking = send_request(&*state.environment.network, settings.address, request);
    match tokio::time::timeout(settings.check_timeout, asking).await {
        Ok(Ok(exchange)) => exchange.response.status() == StatusCode::OK,
        Ok(Err(_)) | Err(_) => false,
    }
}
