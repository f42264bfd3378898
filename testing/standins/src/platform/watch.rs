//! The body of a watch: JSON lines as changes come, and an empty line as a heartbeat.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use tokio::time::{Instant, sleep_until};

use super::event_log::Event;
use super::state::State;
use crate::http_answer::{AnswerBody, BodyCut};

/// Time without a change after which an empty line is sent.
pub const HEARTBEAT: Duration = Duration::from_secs(5);

#[derive(Serialize)]
struct EventLine<'a> {
    revision: u64,
    name: &'a str,
    value: Option<String>,
}

/// One open watch; counted as open until dropped.
pub struct Watch {
    state: Arc<State>,
    kind: String,
    reader: String,
    after: u64,
    changes: tokio::sync::watch::Receiver<u64>,
    cuts: tokio::sync::watch::Receiver<u64>,
    next_heartbeat: Instant,
}

impl Watch {
    /// Opens a watch of `kind` for changes later than `after`.
    pub fn open(state: Arc<State>, kind: String, reader: String, after: u64) -> Self {
        let changes = state.subscribe_changes();
        let cuts = state.subscribe_cuts();
        state.locked().counters.on_watch_opened(&reader);
        Self { state, kind, reader, after, changes, cuts, next_heartbeat: Instant::now() + HEARTBEAT }
    }

    /// The watch as the body of an answer.
    pub fn into_body(self) -> AnswerBody {
        let frames = stream::unfold(self, |mut watch| async move {
            let frame = watch.next().await.map(Frame::data);
            Some((frame, watch))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn next(&mut self) -> Result<Bytes, BodyCut> {
        loop {
            let changes = self.state.locked().store.changes_after(&self.kind, self.after);
            // A watcher that fell behind the window is cut and learns that from its next watch.
            let changes = changes.map_err(|_| BodyCut)?;
            if let Some(last) = changes.last() {
                self.after = last.revision;
                self.next_heartbeat = Instant::now() + HEARTBEAT;
                return Ok(encode(&changes));
            }
            if self.wait().await? == Woken::ByHeartbeat {
                self.next_heartbeat = Instant::now() + HEARTBEAT;
                return Ok(Bytes::from_static(b"\n"));
            }
        }
    }

    async fn wait(&mut self) -> Result<Woken, BodyCut> {
        tokio::select! {
            biased;
            _ = self.cuts.changed() => Err(BodyCut),
            changed = self.changes.changed() => changed.map(|()| Woken::ByChange).map_err(|_| BodyCut),
            () = sleep_until(self.next_heartbeat) => Ok(Woken::ByHeartbeat),
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.state.locked().counters.on_watch_closed(&self.reader);
    }
}

#[derive(Debug, PartialEq, Eq)]
enum Woken {
    ByChange,
    ByHeartbeat,
}

fn encode(events: &[Event]) -> Bytes {
    let mut lines = Vec::new();
    for event in events {
        let value = event.value.as_ref().map(|bytes| STANDARD.encode(bytes));
        let line = EventLine { revision: event.revision, name: &event.name, value };
        // Writing plain strings and numbers to a vector can't fail.
        if serde_json::to_writer(&mut lines, &line).is_ok() {
            lines.push(b'\n');
        }
    }
    Bytes::from(lines)
}
