//! A small HTTP server for operator requests, readiness checks and announcements.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::task::JoinSet;
use umberpond_net::BoxListener;

/// Body limit of an ordinary request, in bytes.
pub const ORDINARY_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Timeout for receiving a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of connections served concurrently.
const MAX_CONNECTIONS: usize = 200;
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A request to the daemon.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query, if any.
    pub query: Option<String>,
    /// Complete body.
    pub body: Bytes,
}

/// A response of the daemon.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Status.
    pub status: StatusCode,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Bytes,
    /// Seconds after which the client should retry, if a retry can succeed.
    pub retry_after_seconds: Option<u64>,
}

impl HttpResponse {
    /// Creates a plain text response.
    #[must_use]
    pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            body: body.into(),
            retry_after_seconds: None,
        }
    }

    /// Creates a JSON response.
    #[must_use]
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self { status, content_type: "application/json", body: body.into(), retry_after_seconds: None }
    }
}

/// Handles requests.
#[async_trait]
pub trait HttpHandler: Send + Sync + 'static {
    /// Handles one request.
    async fn handle(&self, request: HttpRequest) -> HttpResponse;
}

/// A shared handler.
pub type BoxHandler = Arc<dyn HttpHandler>;

/// Serves one listener until the task is aborted. A request whose body is longer than `body_bytes` is
/// refused.
pub async fn serve_http(mut listener: BoxListener, handler: BoxHandler, body_bytes: usize) {
    let mut connections = JoinSet::new();
    loop {
        while connections.len() >= MAX_CONNECTIONS {
            connections.join_next().await;
        }
        let accepted = loop {
            tokio::select! {
                biased;
                Some(_ended) = connections.join_next() => {}
                accepted = listener.accept() => break accepted,
            }
        };
        let Ok((stream, _peer)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handler = Arc::clone(&handler);
        connections.spawn(async move {
            let service = service_fn(move |request| respond(Arc::clone(&handler), request, body_bytes));
            let mut server = http1::Builder::new();
            server.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(MAX_HEAD_BYTES);
            // A connection error affects only this connection and is not reported.
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn respond(
    handler: BoxHandler,
    request: Request<Incoming>,
    body_bytes: usize,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let answer = match Limited::new(body, body_bytes).collect().await {
        Ok(body) => {
            let request = HttpRequest {
                method: head.method,
                path: head.uri.path().to_owned(),
                query: head.uri.query().map(str::to_owned),
                body: body.to_bytes(),
            };
            handler.handle(request).await
        }
        // Either the body is too long or reading it failed.
        Err(_error) => HttpResponse::text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n"),
    };
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    let content_type = http::HeaderValue::from_static(answer.content_type);
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    if let Some(seconds) = answer.retry_after_seconds {
        response.headers_mut().insert(http::header::RETRY_AFTER, seconds.into());
    }
    Ok(response)
}
