//! Probes the back end when the node starts, so that it need not wait for the next announcement.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use umberpond_forwarding::BackEnd;
use umberpond_model::{BackEndProcess, ServiceName};

use super::monitor::BackEndMonitor;

/// Time between two probes.
const INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of probes; after that only an announcement opens the back end.
const MAX_ATTEMPTS: u32 = 20;

/// Probes the back end at `address` until it reports that it is healthy or the attempts are used up.
pub(crate) async fn probe_at_start(monitor: Arc<BackEndMonitor>, service: ServiceName, address: SocketAddr) {
    let mut attempts = 0;
    while attempts < MAX_ATTEMPTS {
        if let Some(path) = monitor.health_path(&service) {
            attempts += 1;
            let health = monitor.inbound().probe_health(address, &path).await;
            if let Some(health) = health
                && let (Some(instance), Some(slots)) = (health.instance, health.slots)
            {
                let process = BackEndProcess::of(&instance);
                monitor.confirm(BackEnd { process: process.clone(), service, release: None, address, slots });
                monitor.on_cold(&process, health.cold_for);
                return;
            }
        }
        sleep(INTERVAL).await;
    }
}
