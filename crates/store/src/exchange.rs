//! One request and its response, with the time limit and the classification of errors.

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

/// Header with the name of the requesting node.
const NODE: &str = "umberpond-node";

/// The target of requests and the limits that apply to them.
#[derive(Clone)]
pub(crate) struct Exchange {
    pub(crate) network: Arc<dyn Network>,
    pub(crate) address: SocketAddr,
    pub(crate) gate: PlatformGate,
    pub(crate) settings: ClientSettings,
    pub(crate) node: Option<NodeName>,
}

/// A request that has not been sent yet.
pub(crate) struct RequestParts {
    method: Method,
    path: String,
    expected: Option<ObjectVersion>,
    body: Bytes,
    name_is_valid: bool,
}

impl RequestParts {
    pub(crate) const fn new(method: Method, path: String) -> Self {
        Self { method, path, expected: None, body: Bytes::new(), name_is_valid: true }
    }

    /// Checks a name that is part of the path; a request with an invalid name is not sent.
    pub(crate) fn check_name(mut self, name: &str) -> Self {
        self.name_is_valid &=
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
        let invalid_name = || PlatformError::NotSent { cause: NotSentCause::InvalidName };
        if !self.name_is_valid {
            return Err(invalid_name());
        }
        let mut builder =
            Request::builder().method(self.method).uri(self.path).header(HOST, address.to_string());
        if let Some(node) = node {
            builder = builder.header(NODE, node.as_str());
        }
        if let Some(expected) = self.expected {
            builder = builder.header(IF_MATCH, expected.0);
        }
        builder.body(Full::new(self.body)).map_err(|_| invalid_name())
    }
}

impl Exchange {
    /// Sends a request and reads the complete response within the time limit.
    pub(crate) async fn run(&self, parts: RequestParts) -> Result<Response<Bytes>, PlatformError> {
        let deadline = Instant::now() + self.settings.request_timeout;
        let permit = self.gate.enter(deadline).await?;
        let exchange = self.send(parts, deadline).await?;
        let body = collect_body(exchange, self.settings.max_object_bytes);
        let response = timeout_at(deadline, body).await.map_err(|_| unknown(UnknownCause::Timeout))?;
        drop(permit);
        response.map_err(|error| {
            let oversized = is_over_limit(&error);
            unknown(if oversized { UnknownCause::ResponseTooLarge } else { UnknownCause::ConnectionLost })
        })
    }

    /// Sends a request and reads the head of the response until `deadline`.
    pub(crate) async fn send(
        &self,
        parts: RequestParts,
        deadline: Instant,
    ) -> Result<HttpExchange, PlatformError> {
        let request = parts.build(self.address, self.node.as_ref())?;
        let network = ConnectionTracker::new(Arc::clone(&self.network));
        match timeout_at(deadline, send_request(&network, self.address, request)).await {
            Ok(Ok(exchange)) => Ok(exchange),
            Ok(Err(HttpClientError::Connect { .. })) => {
                Err(PlatformError::NotSent { cause: NotSentCause::ConnectionFailed })
            }
            Ok(Err(_)) => Err(unknown(UnknownCause::ConnectionLost)),
            Err(_) if network.connected() => Err(unknown(UnknownCause::Timeout)),
            Err(_) => Err(PlatformError::NotSent { cause: NotSentCause::ConnectTimeout }),
        }
    }
}

/// Forwards connection attempts and records whether one succeeded. If the time limit passes before that,
/// nothing was sent.
struct ConnectionTracker {
    network: Arc<dyn Network>,
    connected: AtomicBool,
}

impl ConnectionTracker {
    const fn new(network: Arc<dyn Network>) -> Self {
        Self { network, connected: AtomicBool::new(false) }
    }

    fn connected(&self) -> bool {
        self.connected.load(Ordering::Acquire)
    }
}

#[async_trait]
impl Network for ConnectionTracker {
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

/// The object version in the headers of a response.
pub(crate) fn object_version<B>(response: &Response<B>) -> Option<ObjectVersion> {
    response.headers().get(OBJECT_VERSION)?.to_str().ok()?.parse().ok().map(ObjectVersion)
}

/// The error for a status that the request does not handle itself.
pub(crate) fn status_error<B>(response: &Response<B>) -> PlatformError {
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

/// Decodes the JSON body of a response.
pub(crate) fn decode_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|_| PlatformError::OutcomeUnknown { cause: UnknownCause::Malformed })
}
