//! The admin listener: one small HTTP/1.1 server with bounds on connections, heads and bodies.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, LOCATION, RETRY_AFTER};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use umberpond_net::{BoxListener, BoxStream};
use umberpond_telemetry::Event;

use super::api::Refusal;
use super::routes::Routes;

/// Connections served at once; further ones wait in the listener's queue.
const MAX_CONNECTIONS: usize = 64;

/// Longest time for a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time for a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Largest request body, in bytes: the largest bundle that is accepted, with room to spare.
const MAX_BODY_BYTES: usize = 5 * 1024 * 1024;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// An answer of the admin API.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    content_type: &'static str,
    body: Bytes,
    retry_after_seconds: Option<u64>,
    location: Option<String>,
}

impl Answer {
    /// An answer with a JSON body.
    pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Self {
        match serde_json::to_vec(body) {
            Ok(body) => Self::new(status, "application/json", body),
            Err(error) => Self::new(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", error.to_string()),
        }
    }

    /// An answer with a text body.
    pub(crate) fn text(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self::new(status, "text/plain; charset=utf-8", body)
    }

    /// An answer with a body of bytes.
    pub(crate) fn bytes(body: impl Into<Bytes>) -> Self {
        Self::new(StatusCode::OK, "application/octet-stream", body)
    }

    /// A refusal with its reason.
    pub(crate) fn refusal(status: StatusCode, reason: impl Into<String>) -> Self {
        Self::json(status, &Refusal { error: reason.into() })
    }

    /// A redirection to the same path of another node.
    pub(crate) fn redirect(location: String) -> Self {
        let mut answer = Self::text(StatusCode::TEMPORARY_REDIRECT, Bytes::new());
        answer.location = Some(location);
        answer
    }

    /// Adds when to try again.
    pub(crate) fn retry_after(mut self, seconds: u64) -> Self {
        self.retry_after_seconds = Some(seconds);
        self
    }

    fn new(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Self {
        Self { status, content_type, body: body.into(), retry_after_seconds: None, location: None }
    }

    fn into_response(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(self.content_type));
        if let Some(seconds) = self.retry_after_seconds {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Some(location) = self.location.and_then(|location| HeaderValue::try_from(location).ok()) {
            headers.insert(LOCATION, location);
        }
        response
    }
}

/// Serves the admin API until the task is ended.
pub(crate) async fn serve(mut listener: BoxListener, routes: Arc<Routes>) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = serve_connection(stream, Arc::clone(&routes));
                routes.tasks.spawn(async move {
                    connection.await;
                    drop(place);
                });
            }
            Err(error) => {
                let reason = error.kind().to_string();
                routes.environment.telemetry.emit(Event::AcceptFailed { listener: "admin", reason });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(stream: BoxStream, routes: Arc<Routes>) {
    let service = service_fn(|request| {
        let routes = Arc::clone(&routes);
        async move { Ok::<_, Infallible>(answer(&routes, request).await.into_response()) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // hyper answers what is malformed with 400 and closes; there is nothing left to do here.
    let _ = connection.await;
}

async fn answer(routes: &Routes, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let collected = timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await;
    let answer = match collected {
        Ok(Ok(body)) => routes.answer(&head, body.to_bytes()).await,
        Ok(Err(_)) => {
            Answer::refusal(StatusCode::PAYLOAD_TOO_LARGE, "the body is broken or over the size limit")
        }
        Err(_) => Answer::refusal(StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time"),
    };
    if answer.status.is_client_error() {
        let reason = answer.status.canonical_reason().unwrap_or("client error").to_owned();
        let status = answer.status.as_u16();
        routes.environment.telemetry.emit(Event::OperatorRequestRefused { status, reason });
    }
    answer
}
