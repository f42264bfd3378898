//! Asks the back end whether it is warm, whenever so much was handed to it that this has to be known.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use umberpond_forwarding::BackEnd;

use super::monitor::BackEndMonitor;

/// Pause after a question that came to nothing.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Asks the back end without end. A service whose back ends bear as much cold as warm is never asked.
pub(crate) async fn follow_warmth(monitor: Arc<BackEndMonitor>) {
    loop {
        let back_end = monitor.inbound().begin_warmth_probe().await;
        let is_answered = match back_end {
            Some(back_end) => ask(&monitor, &back_end).await,
            None => false,
        };
        if !is_answered {
            monitor.inbound().on_warmth_probe_failed();
            sleep(FAILURE_PAUSE).await;
        }
    }
}

/// Asks `back_end`, and tells the pace what it says; `false` if it says nothing.
async fn ask(monitor: &Arc<BackEndMonitor>, back_end: &BackEnd) -> bool {
    let Some(path) = monitor.health_path(&back_end.service) else { return false };
    let Some(health) = monitor.inbound().probe_health(back_end.address, &path).await else { return false };
    if health.instance.is_some_and(|instance| instance != back_end.life.instance) {
        return false;
    }
    if health.cold_for.is_zero() {
        monitor.inbound().on_warm();
    } else {
        monitor.on_cold(&back_end.life, health.cold_for);
    }
    true
}
