//! Health checks of a back end.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;
use umberpond_http1::{Fields, Framing, MessageReader, write_request_head};
use umberpond_net::Network;

use super::load_field::{ReportedSlowdown, parse_slots, parse_slowdown};
use super::signals::BackEndSignals;
use crate::header_profile::HeaderProfile;

/// Timeout of a whole health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// State that a healthy back end reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Health {
    /// Identity of the current process, if reported.
    pub instance: Option<String>,
    /// Maximum number of requests that the back end runs concurrently, if reported.
    pub slots: Option<u32>,
    /// Time for which the back end remains cold; zero if it is warm or does not report it.
    pub cold_for: Duration,
    /// Slowdown that the back end reports.
    pub slowdown: ReportedSlowdown,
}

/// Response of a back end to a health check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HealthResponse {
    /// Whether the back end reports itself healthy.
    is_healthy: bool,
    pub(crate) instance: Option<String>,
    slots: Option<u32>,
    cold_for: Duration,
    pub(crate) slowdown: ReportedSlowdown,
    pub(crate) signals: BackEndSignals,
}

impl HealthResponse {
    /// State of the back end; `None` if it is not healthy or about to shut down.
    pub(crate) fn health(self) -> Option<Health> {
        let is_usable = self.is_healthy && !self.signals.is_leaving;
        is_usable.then_some(Health {
            instance: self.instance,
            slots: self.slots,
            cold_for: self.cold_for,
            slowdown: self.slowdown,
        })
    }
}

/// Checks the health of the back end at `address`; `None` if it does not respond.
pub(crate) async fn probe_health(
    network: &dyn Network,
    header_profile: &HeaderProfile,
    address: SocketAddr,
    path: &str,
) -> Option<HealthResponse> {
    timeout(HEALTH_CHECK_TIMEOUT, probe(network, header_profile, address, path)).await.ok().flatten()
}

async fn probe(
    network: &dyn Network,
    header_profile: &HeaderProfile,
    address: SocketAddr,
    path: &str,
) -> Option<HealthResponse> {
    let stream = network.connect(address).await.ok()?;
    let (reader, mut writer) = tokio::io::split(stream);
    let mut reader = MessageReader::new(reader);
    let mut fields = Fields::default();
    fields.push(&b"Host"[..], Bytes::from(address.to_string()));
    fields.push(&b"Connection"[..], &b"close"[..]);
    let mut request = BytesMut::new();
    write_request_head(&mut request, b"GET", path.as_bytes(), &fields, Framing::Length(0));
    writer.write_all(&request).await.ok()?;
    let head = reader.response_head(MAX_HEAD_BYTES).await.ok()?;
    let instance = head.fields.text(header_profile.instance).map(str::to_owned);
    let load = head.fields.text(header_profile.load);
    let slots = load.and_then(parse_slots);
    let slowdown = load.map_or(ReportedSlowdown::Unreported, parse_slowdown);
    let cold_for =
        header_profile.warmup_millis.and_then(|name| head.fields.text(name)).and_then(parse_millis);
    let cold_for = cold_for.unwrap_or_default();
    let signals = BackEndSignals::read(header_profile, head.status, &head.fields);
    Some(HealthResponse { is_healthy: head.status == 200, instance, slots, cold_for, slowdown, signals })
}

fn parse_millis(millis: &str) -> Option<Duration> {
    millis.trim().parse().ok().map(Duration::from_millis)
}
