//! Probes whether the back end is warm, whenever the cold-start limiter needs to know before it admits more.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use umberpond_forwarding::BackEnd;

use super::monitor::BackEndMonitor;

/// Pause after a failed probe.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Runs warmth probes until the task is aborted. A service whose back ends handle as much load cold as warm
/// is never probed.
pub(crate) async fn follow_warmth(monitor: Arc<BackEndMonitor>) {
    loop {
        let back_end = monitor.inbound().begin_warmth_probe().await;
        let has_succeeded = match back_end {
            Some(back_end) => probe(&monitor, &back_end).await,
            None => false,
        };
        if !has_succeeded {
            monitor.inbound().on_warmth_probe_failed();
            sleep(FAILURE_PAUSE).await;
        }
    }
}

/// Probes `back_end` and passes the result to the cold-start limiter; `false` if there was no usable
/// response.
async fn probe(monitor: &Arc<BackEndMonitor>, back_end: &BackEnd) -> bool {
    let Some(path) = monitor.health_path(&back_end.service) else { return false };
    let Some(health) = monitor.inbound().probe_health(back_end.address, &path).await else { return false };
    if health.instance.is_some_and(|instance| instance != back_end.process.instance) {
        return false;
    }
    if health.cold_for.is_zero() {
        monitor.inbound().on_warmth_probe_succeeded();
    } else {
        monitor.on_cold(&back_end.process, health.cold_for);
    }
    true
}
