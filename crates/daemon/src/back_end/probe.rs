//! Asks the back end at the start of the process, without waiting for its next word.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use umberpond_forwarding::BackEnd;
use umberpond_model::{BackEndProcess, ServiceName};

use super::monitor::BackEndMonitor;

/// Time between two questions.
const INTERVAL: Duration = Duration::from_millis(150);
/// Questions asked; after that the back end's own word is awaited.
const QUESTIONS: u32 = 20;

/// Asks the back end at `address` until it says that it is well, or its own word has come.
pub(crate) async fn probe_at_start(monitor: Arc<BackEndMonitor>, service: ServiceName, address: SocketAddr) {
    let mut asked = 0;
    while asked < QUESTIONS {
        if let Some(path) = monitor.health_path(&service) {
            asked += 1;
            let health = monitor.inbound().probe_health(address, &path).await;
            if let Some(health) = health
                && let (Some(instance), Some(slots)) = (health.instance, health.slots)
            {
                let life = BackEndProcess::of(&instance);
                monitor.confirm(BackEnd { life: life.clone(), service, release: None, address, slots });
                monitor.on_cold(&life, health.cold_for);
                return;
            }
        }
        sleep(INTERVAL).await;
    }
}
