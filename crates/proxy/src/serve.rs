//! Entry points: one listener each.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::MissedTickBehavior;
use umberpond_admission::GateStatus;
use umberpond_net::BoxListener;

use crate::server::{Half, serve_listener};
use crate::{DrainReport, ProxyState, ShutdownPhase, ShutdownSignal};

/// Time between two looks for connections that were idle too long.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Serves requests of other nodes for the local back end until the shutdown has ended.
pub async fn serve_inbound(
    listener: BoxListener,
    state: Arc<ProxyState>,
    shutdown: ShutdownSignal,
) -> DrainReport {
    let mut draining = shutdown.clone();
    let closing_gate = async {
        draining.reached(ShutdownPhase::Draining).await;
        if let Some(gate) = state.gate() {
            gate.set_status(GateStatus::Draining);
        }
        std::future::pending().await
    };
    let serving = serve_listener(Half::Inbound, listener, Arc::clone(&state), shutdown);
    tokio::select! {
        biased;
        () = closing_gate => DrainReport::default(),
        () = close_expired(&state) => DrainReport::default(),
        report = serving => report,
    }
}

/// Serves requests of local callers until the shutdown has ended.
pub async fn serve_outbound(
    listener: BoxListener,
    state: Arc<ProxyState>,
    shutdown: ShutdownSignal,
) -> DrainReport {
    let serving = serve_listener(Half::Outbound, listener, Arc::clone(&state), shutdown);
    tokio::select! {
        biased;
        () = close_expired(&state) => DrainReport::default(),
        report = serving => report,
    }
}

/// Closes connections that were idle too long; never ends.
async fn close_expired(state: &ProxyState) {
    let mut ticks = tokio::time::interval(EXPIRY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        state.nodes.close_expired();
        state.backend_pool.close_expired();
    }
}
