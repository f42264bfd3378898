//! One call: send it, take in the answer, and check that it is the whole answer to this very call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use super::answer::{Answer, Outcome};
use super::connections::{CallError, CallRequest, Connection, Connections};
use super::plan::CallKind;
use crate::backend::{DEADLINE, IDEMPOTENCY_KEY, OUTCOME};
use crate::content::{AnswerContent, Upload, named_request_id};

const SERVED_BY: &str = "umberpond-served-by";
const LOCALITY: &str = "umberpond-locality";
const CONFIG_VERSION: &str = "umberpond-config-version";

/// Byte that uploads consist of.
const UPLOAD_BYTE: u8 = b'u';

/// A call that is due.
#[derive(Debug, Clone)]
pub struct Call {
    /// What kind of call it is.
    pub kind: Arc<CallKind>,
    /// Its own key.
    pub key: String,
    /// Where it goes.
    pub target: SocketAddr,
    /// When it was due.
    pub due: Instant,
    /// The same in milliseconds since the caller started.
    pub due_millis: u64,
}

/// What came back.
struct Received {
    outcome: Outcome,
    status: Option<u16>,
    headers: HeaderMap,
    request_id: Option<String>,
}

impl Received {
    fn without_answer(outcome: Outcome) -> Self {
        Self { outcome, status: None, headers: HeaderMap::new(), request_id: None }
    }
}

impl Call {
    /// Makes the call and gives it up after `patience`.
    pub async fn make(self, connections: &Connections, patience: Duration) -> Answer {
        let path = self.kind.path(&self.key);
        let received = timeout(patience, self.exchange(connections, &path)).await;
        // Given up while under way: it may have run.
        let received = received.unwrap_or_else(|_| Received::without_answer(Outcome::Unknown));
        let latency = self.due.elapsed();
        let text = |name: &str| header_text(&received.headers, name);
        Answer {
            outcome: received.outcome,
            status: received.status,
            served_by: text(SERVED_BY),
            locality: text(LOCALITY),
            config_version: text(CONFIG_VERSION),
            request_id: received.request_id,
            key: self.key,
            path,
            service: self.kind.service.clone(),
            idempotent: self.kind.idempotent,
            due_millis: self.due_millis,
            latency_micros: u64::try_from(latency.as_micros()).unwrap_or(u64::MAX),
        }
    }

    async fn exchange(&self, connections: &Connections, path: &str) -> Received {
        let upload = Bytes::from(vec![UPLOAD_BYTE; self.kind.upload_bytes]);
        let Some(request) = self.request(path, upload.clone()) else {
            return Received::without_answer(Outcome::Rejected);
        };
        match connections.send(self.target, request).await {
            Ok((response, connection)) => {
                self.receive(response, connection, connections, path, &upload).await
            }
            Err(CallError::NotSent(_)) => Received::without_answer(Outcome::Rejected),
            Err(CallError::Broken(_)) => Received::without_answer(Outcome::Unknown),
        }
    }

    fn request(&self, path: &str, upload: Bytes) -> Option<CallRequest> {
        let mut request = CallRequest::new(Full::new(upload));
        *request.method_mut() = self.kind.method();
        *request.uri_mut() = path.parse().ok()?;
        let headers = request.headers_mut();
        headers.insert(HOST, self.kind.service.as_str().parse().ok()?);
        if self.kind.send_key {
            headers.insert(IDEMPOTENCY_KEY, self.key.parse().ok()?);
        }
        if let Some(millis) = self.kind.deadline_millis {
            headers.insert(DEADLINE, millis.into());
        }
        Some(request)
    }

    async fn receive(
        &self,
        response: Response<Incoming>,
        connection: Connection,
        connections: &Connections,
        path: &str,
        upload: &[u8],
    ) -> Received {
        let (parts, body) = response.into_parts();
        let status = Some(parts.status.as_u16());
        let Ok(collected) = body.collect().await else {
            return Received {
                outcome: Outcome::Truncated,
                status,
                headers: parts.headers,
                request_id: None,
            };
        };
        connections.keep(connection);
        let body = collected.to_bytes();
        let request_id = named_request_id(&body).map(str::to_owned);
        let outcome = if parts.status.is_success() {
            self.judge(&body, request_id.as_deref(), path, upload)
        } else if header_text(&parts.headers, OUTCOME).as_deref() == Some("rejected") {
            Outcome::Rejected
        } else {
            Outcome::Unknown
        };
        let request_id = request_id.filter(|_| outcome == Outcome::Answered);
        Received { outcome, status, headers: parts.headers, request_id }
    }

    fn judge(&self, body: &Bytes, request_id: Option<&str>, path: &str, upload: &[u8]) -> Outcome {
        let upload = Upload::of(upload);
        let expected = AnswerContent {
            request_id,
            idempotency_key: self.kind.send_key.then_some(self.key.as_str()),
            path,
            upload: upload.as_ref(),
            length: self.kind.answer_bytes,
        };
        // A part of the answer that ended cleanly is wrong too: nothing told the caller that it is a part.
        if *body == expected.to_bytes() { Outcome::Answered } else { Outcome::WrongAnswer }
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}
