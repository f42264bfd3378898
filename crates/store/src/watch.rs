//! Watches: a stream of JSON lines over a connection that stays open.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::unfold;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use serde::Deserialize;
use thiserror::Error;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout, timeout_at};
use umberpond_net::{HttpExchange, collect_body};

use crate::exchange::{Exchange, RequestParts, decode_json, status_error};
use crate::{ClientSettings, ObjectKind, PlatformError, Revision, UnknownCause, WatchEvent, WatchStream};

/// Why a watch could not be opened or has ended.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WatchError {
    /// The changes after the requested revision are no longer kept. The caller reads the objects again and
    /// watches from that revision.
    #[error("changes before revision {oldest:?} are no longer kept")]
    TooOld {
        /// The oldest revision after which a watch can start.
        oldest: Revision,
    },
    /// No change and no heartbeat arrived within the time limit.
    #[error("no change or heartbeat arrived within the time limit")]
    Silent,
    /// The connection was closed.
    #[error("the watch was closed")]
    Closed,
    /// A line does not follow the protocol or exceeds the size limit.
    #[error("the watch sent a line that does not follow the protocol")]
    Malformed,
    /// The watch could not be opened.
    #[error("the watch could not be opened")]
    Unavailable(#[from] PlatformError),
}

#[derive(Deserialize)]
struct TooOldResponse {
    oldest: Revision,
}

#[derive(Deserialize)]
struct EventLine {
    revision: Revision,
    name: String,
    value: Option<String>,
}

/// Largest body of a response that opens no watch, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;

/// Maximum length of a line without its value, in bytes.
const LINE_OVERHEAD_BYTES: usize = 1024;

pub(crate) async fn open_watch(
    exchange: &Exchange,
    kind: ObjectKind,
    after: Revision,
) -> Result<WatchStream, WatchError> {
    let deadline = Instant::now() + exchange.settings.request_timeout;
    let permit = exchange.gate.enter_watch(deadline).await?;
    let path = format!("/v1/watch/{kind}?after={}", after.0);
    let opened = exchange.send(RequestParts::new(Method::GET, path), deadline).await?;
    match opened.response.status() {
        StatusCode::OK => Ok(WatchState::new(opened, permit, exchange.settings).into_stream()),
        StatusCode::GONE => Err(too_old(opened, deadline).await?),
        _ => Err(status_error(&opened.response).into()),
    }
}

async fn too_old(opened: HttpExchange, deadline: Instant) -> Result<WatchError, PlatformError> {
    let unknown = |cause| PlatformError::OutcomeUnknown { cause };
    let response = timeout_at(deadline, collect_body(opened, MAX_ERROR_BODY_BYTES))
        .await
        .map_err(|_| unknown(UnknownCause::Timeout))?
        .map_err(|_| unknown(UnknownCause::ConnectionLost))?;
    let body: TooOldResponse = decode_json(response.body())?;
    Ok(WatchError::TooOld { oldest: body.oldest })
}

struct WatchState {
    exchange: HttpExchange,
    buffer: BytesMut,
    /// Length of the buffer's prefix that is known to contain no newline.
    searched: usize,
    settings: ClientSettings,
    _permit: OwnedSemaphorePermit,
}

impl WatchState {
    fn new(exchange: HttpExchange, permit: OwnedSemaphorePermit, settings: ClientSettings) -> Self {
        Self { exchange, buffer: BytesMut::new(), searched: 0, settings, _permit: permit }
    }

    fn into_stream(self) -> WatchStream {
        unfold(Some(self), |state| async {
            let mut state = state?;
            match state.next_event().await {
                Ok(event) => Some((Ok(event), Some(state))),
                Err(error) => Some((Err(error), None)),
            }
        })
        .boxed()
    }

    async fn next_event(&mut self) -> Result<WatchEvent, WatchError> {
        loop {
            let Some(line) = self.take_line() else {
                self.read_more().await?;
                continue;
            };
            if line.iter().all(u8::is_ascii_whitespace) {
                // An empty line is a heartbeat.
                continue;
            }
            return decode_line(&line);
        }
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let Some(offset) = self.buffer[self.searched..].iter().position(|byte| *byte == b'\n') else {
            self.searched = self.buffer.len();
            return None;
        };
        let line = self.buffer.split_to(self.searched + offset).freeze();
        self.buffer.advance(1);
        self.searched = 0;
        Some(line)
    }

    async fn read_more(&mut self) -> Result<(), WatchError> {
        let max_line_bytes = self.settings.max_object_bytes / 3 * 4 + LINE_OVERHEAD_BYTES;
        if self.buffer.len() > max_line_bytes {
            return Err(WatchError::Malformed);
        }
        let frame = timeout(self.settings.heartbeat_timeout, self.exchange.response.body_mut().frame())
            .await
            .map_err(|_| WatchError::Silent)?
            .ok_or(WatchError::Closed)?
            .map_err(|_| WatchError::Closed)?;
        if let Ok(data) = frame.into_data() {
            self.buffer.extend_from_slice(&data);
        }
        Ok(())
    }
}

fn decode_line(line: &[u8]) -> Result<WatchEvent, WatchError> {
    let line: EventLine = serde_json::from_slice(line).map_err(|_| WatchError::Malformed)?;
    let value =
        line.value.map(|text| STANDARD.decode(text)).transpose().map_err(|_| WatchError::Malformed)?;
    Ok(WatchEvent { revision: line.revision, name: line.name, value: value.map(Bytes::from) })
}
