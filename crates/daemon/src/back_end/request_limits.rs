//! Follows the request limit that the back end advertises: publishes its changes, and checks for its end.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use umberpond_model::RequestRate;

use super::monitor::BackEndMonitor;

/// Minimum time between two records that are published because of the limit.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);
/// Change of the limit, relative to the published one, from which on it is published. Other nodes use it only to
/// distribute requests.
const MIN_RELATIVE_CHANGE: f64 = 0.2;

/// Time between two health checks that look for the end of a low limit.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Publishes the record of the back end when its request limit changes, until the task is aborted.
pub(crate) async fn publish_request_limits(monitor: Arc<BackEndMonitor>) {
    loop {
        monitor.request_limit_change().await;
        if is_significant(monitor.published_limit(), monitor.inbound().request_limit()) {
            monitor.publish_record();
            sleep(PUBLISH_INTERVAL).await;
        }
    }
}

/// Sends health checks while the back end has a low request limit, until the task is aborted. With such a limit a
/// response that shows its end can take many seconds.
pub(crate) async fn check_low_limits(monitor: Arc<BackEndMonitor>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some(back_end) = monitor.inbound().back_end_with_low_limit() else { continue };
        let Some(path) = monitor.health_path(&back_end.service) else { continue };
        // The inbound half applies the limit in the response.
        let _ = monitor.inbound().probe_health(back_end.address, &path).await;
    }
}

/// Whether other nodes need to know that the limit has changed.
fn is_significant(published: Option<RequestRate>, limit: Option<RequestRate>) -> bool {
    match (published, limit) {
        (Some(published), Some(limit)) => {
            (limit.as_f64() / published.as_f64() - 1.0).abs() >= MIN_RELATIVE_CHANGE
        }
        (published, limit) => published != limit,
    }
}

#[cfg(test)]
mod tests;
