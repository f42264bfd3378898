//! Finds the back end when the node restarts, so that it need not wait for the next announcement.

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

/// Reads which process has departed, and then probes the back end at `address` until it reports that it is healthy,
/// becomes known in another way, or the attempts are used up.
pub(crate) async fn find_at_restart(monitor: Arc<BackEndMonitor>, service: ServiceName, address: SocketAddr) {
    if !monitor.recall_departure().await {
        return;
    }
    let mut attempts = 0;
    while attempts < MAX_ATTEMPTS && !monitor.is_back_end_known() {
        if let Some(path) = monitor.health_path(&service) {
            attempts += 1;
            let health = monitor.inbound().probe_health(address, &path).await;
            if let Some(health) = health
                && let (Some(instance), Some(slots)) = (health.instance, health.slots)
            {
                let process = BackEndProcess::of(&instance);
                let back_end = BackEnd { process, service, release: None, address, slots };
                monitor.on_found(back_end, health.cold_for);
                return;
            }
        }
        sleep(INTERVAL).await;
    }
}
