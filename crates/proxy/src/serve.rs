//! Entry points: one listener each.

use std::sync::Arc;

use umberpond_net::BoxListener;

use crate::{DrainReport, ProxyState, ShutdownSignal};

/// Serves requests of other nodes for the local back end until the shutdown has ended.
pub async fn serve_inbound(
    _listener: BoxListener,
    _state: Arc<ProxyState>,
    _shutdown: ShutdownSignal,
) -> DrainReport {
    DrainReport::default()
}

/// Serves requests of local callers until the shutdown has ended.
pub async fn serve_outbound(
    _listener: BoxListener,
    _state: Arc<ProxyState>,
    _shutdown: ShutdownSignal,
) -> DrainReport {
    DrainReport::default()
}

/// Checks the local back end until the shutdown begins; the result is seen in
/// [`ProxyState::backend_health`]. Ends at once at an edge.
pub async fn check_backend(_state: Arc<ProxyState>, _shutdown: ShutdownSignal) {}
