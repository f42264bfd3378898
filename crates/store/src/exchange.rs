//! One request and its answer, with the time limit and the sorting of failures.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::header::{HOST, IF_MATCH, RETRY_AFTER};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};
use umberpond_model::NodeName;
use umberpond_net::{
    BoxListener, BoxStream, HttpClientError, HttpExchange, Network, collect_body, is_over_limit, send_request,
};

use crate::{ClientSettings, NotSentCause, ObjectVersion, PlatformError, PlatformGate, UnknownCause};

/// Header that carries an object's version.
const OBJECT_VERSION: &str = "object-version";

/// Header that names the node that asks.
const NODE: &str = "umberpond-node";

/// Where requests go and under which limits.
#[derive(Clone)]
pub(crate) struct Exchange {
    pub(crate) network: Arc<dyn Network>,
    pub(crate) address: SocketAddr,
    pub(crate) gate: PlatformGate,
    pub(crate) settings: ClientSettings,
    pub(crate) node: Option<NodeName>,
}

/// A request before it has a connection.
pub(crate) struct RequestParts {
    method: Method,
    path: String,
    expected: Option<ObjectVersion>,
    body: Bytes,
    name_is_usable: bool,
}

impl RequestParts {
    pub(crate) const fn new(method: Method, path: String) -> Self {
        Self { method, path, expected: None, body: Bytes::new(), name_is_usable: true }
    }

    /// Notes a name that stands in the path, to be checked before sending.
    pub(crate) fn named(mut self, name: &str) -> Self {
        self.name_is_usable &=
            name.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_'));
        self
    }

    pub(crate) const fn if_match(mut self, expected: ObjectVersion) -> Self {
        self.expected = Some(expected);
        self
    }

    pub(crate) fn body(mut self, body: Bytes) -> Self {
        self.body = body;
        self
    }

    fn build(
        self,
        address: SocketAddr,
        node: Option<&NodeName>,
    ) -> Result<Request<Full<Bytes>>, PlatformError> {
        let unusable = || PlatformError::NotSent { cause: NotSentCause::UnusableName };
        if !self.name_is_usable {
            return Err(unusable());
        }
        let mut builder =
            Request::builder().method(self.method).uri(self.path).header(HOST, address.to_string());
        if let Some(node) = node {
            builder = builder.header(NODE, node.as_str());
        }
        if let Some(expected) = self.expected {
            builder = builder.header(IF_MATCH, expected.0);
        }
        builder.body(Full::new(self.body)).map_err(|_| unusable())
    }
}

impl Exchange {
    /// Sends a request and reads its whole answer within the time limit.
    pub(crate) async fn run(&self, parts: RequestParts) -> Result<Response<Bytes>, PlatformError> {
        let deadline = Instant::now() + self.settings.request_limit;
        let permit = self.gate.enter(deadline).await?;
        let exchange = self.send(parts, deadline).await?;
        let body = collect_body(exchange, self.settings.max_object_bytes);
        let response = timeout_at(deadline, body).await.map_err(|_| unknown(UnknownCause::TimeLimit))?;
        drop(permit);
        response.map_err(|error| {
            let oversized = is_over_limit(&error);
            unknown(if oversized { UnknownCause::Oversized } else { UnknownCause::Broken })
        })
    }

    /// Sends a request and reads the head of its answer until `deadline`.
    pub(crate) async fn send(
        &self,
        parts: RequestParts,
        deadline: Instant,
    ) -> Result<HttpExchange, PlatformError> {
        let request = parts.build(self.address, self.node.as_ref())?;
        let network = ConnectNoted::new(Arc::clone(&self.network));
        match timeout_at(deadline, send_request(&network, self.address, request)).await {
            Ok(Ok(exchange)) => Ok(exchange),
            Ok(Err(HttpClientError::Connect { .. })) => {
                Err(PlatformError::NotSent { cause: NotSentCause::NoConnection })
            }
            Ok(Err(_)) => Err(unknown(UnknownCause::Broken)),
            Err(_) if network.connected() => Err(unknown(UnknownCause::TimeLimit)),
            Err(_) => Err(PlatformError::NotSent { cause: NotSentCause::ConnectTimeLimit }),
        }
    }
}

/// Passes connections through and notes whether one was made, so that a time limit that ends an exchange
/// before that is known to have sent nothing.
struct ConnectNoted {
    network: Arc<dyn Network>,
    connected: AtomicBool,
}

impl ConnectNoted {
    const fn new(network: Arc<dyn Network>) -> Self {
        Self { network, connected: AtomicBool::new(false) }
    }

    fn connected(&self) -> bool {
        self.connected.load(Ordering::Acquire)
    }
}

#[async_trait]
impl Network for ConnectNoted {
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxStream> {
        let stream = self.network.connect(to).await?;
        self.connected.store(true, Ordering::Release);
        Ok(stream)
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<BoxListener> {
        self.network.listen(at).await
    }
}

const fn unknown(cause: UnknownCause) -> PlatformError {
    PlatformError::OutcomeUnknown { cause }
}

/// The object version that an answer carries.
pub(crate) fn object_version<B>(response: &Response<B>) -> Option<ObjectVersion> {
    response.headers().get(OBJECT_VERSION)?.to_str().ok()?.parse().ok().map(ObjectVersion)
}

/// The failure that a status without a meaning of its own stands for.
pub(crate) fn refusal<B>(response: &Response<B>) -> PlatformError {
    let status = response.status();
    if matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
        return PlatformError::Refused { retry_after: retry_after(response) };
    }
    if status.is_client_error() {
        return PlatformError::Rejected { status: status.as_u16() };
    }
    if status.is_server_error() {
        return unknown(UnknownCause::ServerError { status: status.as_u16() });
    }
    unknown(UnknownCause::Malformed)
}

fn retry_after<B>(response: &Response<B>) -> Option<Duration> {
    response.headers().get(RETRY_AFTER)?.to_str().ok()?.parse().ok().map(Duration::from_secs)
}

/// Decodes a JSON answer.
pub(crate) fn decode_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|_| PlatformError::OutcomeUnknown { cause: UnknownCause::Malformed })
}
