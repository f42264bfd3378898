//! Asks a back end whether it is well.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;
use umberpond_http1::{Fields, Framing, MessageReader, write_request_head};
use umberpond_net::Network;

use super::load_field::{ReportedSlowdown, told_slots, told_slowdown};
use crate::header_profile::HeaderProfile;

/// Longest time of the whole question.
const QUESTION_TIME: Duration = Duration::from_millis(500);
/// Longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// A back end that is well.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Health {
    /// Identity of its present life, if it tells.
    pub instance: Option<String>,
    /// Requests it works on at once, if it tells.
    pub slots: Option<u32>,
    /// How much longer it is cold; zero if it is warm, or doesn't tell.
    pub cold_for: Duration,
    /// How long work takes there at this moment.
    pub slowdown: ReportedSlowdown,
}

/// Asks the back end at `address`; absent if it does not say that it is well.
pub(crate) async fn probe_health(
    network: &dyn Network,
    header_profile: &HeaderProfile,
    address: SocketAddr,
    path: &str,
) -> Option<Health> {
    timeout(QUESTION_TIME, ask(network, header_profile, address, path)).await.ok().flatten()
}

async fn ask(
    network: &dyn Network,
    header_profile: &HeaderProfile,
    address: SocketAddr,
    path: &str,
) -> Option<Health> {
    let stream = network.connect(address).await.ok()?;
    let (reader, mut writer) = tokio::io::split(stream);
    let mut reader = MessageReader::new(reader);
    let mut fields = Fields::default();
    fields.push(&b"Host"[..], Bytes::from(address.to_string()));
    fields.push(&b"Connection"[..], &b"close"[..]);
    let mut question = BytesMut::new();
    write_request_head(&mut question, b"GET", path.as_bytes(), &fields, Framing::Length(0));
    writer.write_all(&question).await.ok()?;
    let head = reader.response_head(MAX_HEAD_BYTES).await.ok()?;
    let instance = head.fields.text(header_profile.instance).map(str::to_owned);
    let load = head.fields.text(header_profile.load);
    let slots = load.and_then(told_slots);
    let slowdown = load.map_or(ReportedSlowdown::Unreported, told_slowdown);
    let cold_for = header_profile.warmup_millis.and_then(|name| head.fields.text(name)).and_then(told_millis);
    let cold_for = cold_for.unwrap_or_default();
    (head.status == 200).then_some(Health { instance, slots, cold_for, slowdown })
}

fn told_millis(millis: &str) -> Option<Duration> {
    millis.trim().parse().ok().map(Duration::from_millis)
}
