//! Periodic health checks of a back end that sends no announcements.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};
use umberpond_forwarding::BackEnd;
use umberpond_model::{BackEndProcess, ServiceName};

use super::monitor::BackEndMonitor;

/// Health check path if the configuration has none.
const DEFAULT_PATH: &str = "/health";
/// Number of slots if neither the back end nor the configuration specifies one.
const DEFAULT_SLOTS: u32 = 16;

/// Settings of the periodic health checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckSettings {
    /// Service that it serves.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Time between two health checks.
    pub interval: Duration,
    /// Consecutive failed health checks after which the back end gets no new requests. A single result may be
    /// delayed or wrong.
    pub failures: u32,
}

/// Sends health checks to the back end until the task is aborted.
pub(crate) async fn check_periodically(monitor: Arc<BackEndMonitor>, settings: CheckSettings) {
    let mut ticks = interval(settings.interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failures = 0;
    let mut process = BackEndProcess::unnamed();
    loop {
        ticks.tick().await;
        let path = monitor.health_path(&settings.service).unwrap_or_else(|| DEFAULT_PATH.to_owned());
        let Some(health) = monitor.inbound().probe_health(settings.address, &path).await else {
            failures += 1;
            if failures == settings.failures {
                monitor.unreachable(&process);
            }
            continue;
        };
        failures = 0;
        process = health.instance.as_deref().map_or_else(BackEndProcess::unnamed, BackEndProcess::of);
        let configured = monitor.configured_slots(&settings.service);
        monitor.confirm(BackEnd {
            process: process.clone(),
            service: settings.service.clone(),
            release: None,
            address: settings.address,
            slots: health.slots.or(configured).unwrap_or(DEFAULT_SLOTS),
        });
    }
}
