//! Routing of the platform's requests, and the faults that every request meets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::{Instant, sleep};

use super::faults::FaultChange;
use super::machines::{MACHINES_KIND, Machine};
use super::objects;
use super::state::State;
use crate::http_answer::{AnswerBody, AnswerWithheld, empty, json, query_parameter, read_body};
use crate::http_server::Handler;

/// Longest accepted body, in bytes.
pub const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Optional header by which a client names itself; its IP address stands for it otherwise.
pub const READER_HEADER: &str = "umberpond-node";

const LEASES_KIND: &str = "leases";

#[derive(Deserialize)]
struct LeaseRequest {
    holder: String,
    millis: u64,
}

#[derive(Serialize)]
struct LeaseGranted {
    expires_in_millis: u64,
}

#[derive(Serialize)]
struct LeaseRefused {
    holder: String,
}

/// What a path asks for.
enum Target<'a> {
    Object { kind: &'a str, name: &'a str },
    List { kind: &'a str },
    Watch { kind: &'a str },
    Lease { name: &'a str },
    Machines,
}

impl<'a> Target<'a> {
    fn parse(path: &'a str) -> Option<Self> {
        let mut segments = path.strip_prefix("/v1/")?.splitn(3, '/');
        match (segments.next()?, segments.next(), segments.next()) {
            ("objects", Some(kind), Some(name)) => Some(Self::Object { kind, name }),
            ("objects", Some(kind), None) => Some(Self::List { kind }),
            ("watch", Some(kind), None) => Some(Self::Watch { kind }),
            ("leases", Some(name), None) => Some(Self::Lease { name }),
            ("machines", None, None) => Some(Self::Machines),
            _ => None,
        }
    }

    const fn kind(&self) -> &'a str {
        match self {
            Self::Object { kind, .. } | Self::List { kind } | Self::Watch { kind } => kind,
            Self::Lease { .. } => LEASES_KIND,
            Self::Machines => MACHINES_KIND,
        }
    }

    fn verb(&self, method: &Method) -> String {
        match self {
            Self::Watch { .. } => "watch".to_owned(),
            Self::List { .. } => "list".to_owned(),
            _ => method.as_str().to_ascii_lowercase(),
        }
    }
}

/// Answers every request to the platform.
#[derive(Debug)]
pub struct PlatformHandler {
    state: Arc<State>,
}

impl PlatformHandler {
    /// Answers from `state`.
    pub const fn new(state: Arc<State>) -> Self {
        Self { state }
    }

    async fn api(
        &self,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, AnswerWithheld> {
        let reader = reader_name(peer, &request);
        let path = request.uri().path().to_owned();
        let Some(target) = Target::parse(&path) else {
            return Ok(empty(StatusCode::NOT_FOUND));
        };
        let half_delay = self.enter(&target, request.method(), &reader)?;
        if self.state.locked().faults.overloaded {
            return Ok(overloaded());
        }
        sleep_unless_zero(half_delay).await;
        let (parts, body) = split(request).await?;
        // An outage that began in the meantime keeps the change from happening.
        self.refuse_if_down()?;
        let response = self.answer(&target, &reader, &parts, body);
        let answer_is_lost = is_change(&parts.method) && self.state.locked().faults.take_lost_answer();
        sleep_unless_zero(half_delay).await;
        self.refuse_if_down()?;
        if answer_is_lost { Err(AnswerWithheld) } else { Ok(response) }
    }

    fn enter(&self, target: &Target<'_>, method: &Method, reader: &str) -> Result<Duration, AnswerWithheld> {
        let mut locked = self.state.locked();
        locked.counters.on_request(Instant::now(), reader, target.kind(), &target.verb(method));
        if locked.faults.down {
            return Err(AnswerWithheld);
        }
        Ok(locked.faults.delay / 2)
    }

    fn refuse_if_down(&self) -> Result<(), AnswerWithheld> {
        if self.state.locked().faults.down { Err(AnswerWithheld) } else { Ok(()) }
    }

    fn answer(&self, target: &Target<'_>, reader: &str, parts: &Parts, body: Bytes) -> Response<AnswerBody> {
        let state = &self.state;
        let query = parts.uri.query();
        match *target {
            Target::Object { kind, name } => {
                objects::object(state, &parts.method, kind, name, &parts.headers, body)
            }
            Target::List { kind } => objects::list(state, kind, query),
            Target::Watch { kind } => objects::watch(state, kind, reader, query),
            Target::Lease { name } => lease(state, &parts.method, name, query, &body),
            Target::Machines => {
                let locked = state.locked();
                json(StatusCode::OK, &locked.machines.list(locked.store.revision()))
            }
        }
    }

    async fn control(&self, request: Request<Incoming>) -> Result<Response<AnswerBody>, AnswerWithheld> {
        let (parts, body) = split(request).await?;
        let response = match (parts.method, parts.uri.path()) {
            (Method::POST, "/standin/faults") => {
                apply(&body, |change: FaultChange| self.state.change_faults(&change))
            }
            (Method::PUT, "/standin/machines") => {
                apply(&body, |machines: Vec<Machine>| self.state.set_machines(machines))
            }
            (Method::GET, "/standin/counters") => json(StatusCode::OK, &self.state.counters()),
            _ => empty(StatusCode::NOT_FOUND),
        };
        Ok(response)
    }
}

impl Handler for PlatformHandler {
    async fn handle(
        &self,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, AnswerWithheld> {
        if request.uri().path().starts_with("/standin/") {
            return self.control(request).await;
        }
        self.api(peer, request).await
    }
}

async fn split(request: Request<Incoming>) -> Result<(Parts, Bytes), AnswerWithheld> {
    let (parts, body) = request.into_parts();
    let body = read_body(Request::new(body), MAX_BODY_BYTES).await.map_err(|_| AnswerWithheld)?;
    Ok((parts, body))
}

fn reader_name(peer: SocketAddr, request: &Request<Incoming>) -> String {
    let named = request.headers().get(READER_HEADER).and_then(|value| value.to_str().ok());
    named.map_or_else(|| peer.ip().to_string(), str::to_owned)
}

fn is_change(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::DELETE)
}

fn overloaded() -> Response<AnswerBody> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

fn lease(
    state: &State,
    method: &Method,
    name: &str,
    query: Option<&str>,
    body: &Bytes,
) -> Response<AnswerBody> {
    match *method {
        Method::POST => {
            let Ok(asked) = serde_json::from_slice::<LeaseRequest>(body) else {
                return empty(StatusCode::BAD_REQUEST);
            };
            let duration = Duration::from_millis(asked.millis);
            let granted = state.locked().leases.acquire(Instant::now(), name, &asked.holder, duration);
            match granted {
                Ok(()) => json(StatusCode::OK, &LeaseGranted { expires_in_millis: asked.millis }),
                Err(other) => json(StatusCode::CONFLICT, &LeaseRefused { holder: other.holder }),
            }
        }
        Method::DELETE => {
            let holder = query_parameter(query, "holder").unwrap_or_default();
            state.locked().leases.release(name, holder);
            empty(StatusCode::OK)
        }
        _ => empty(StatusCode::METHOD_NOT_ALLOWED),
    }
}

fn apply<T: DeserializeOwned>(body: &Bytes, carry_out: impl FnOnce(T)) -> Response<AnswerBody> {
    match serde_json::from_slice(body) {
        Ok(order) => {
            carry_out(order);
            empty(StatusCode::OK)
        }
        Err(_) => empty(StatusCode::BAD_REQUEST),
    }
}

async fn sleep_unless_zero(duration: Duration) {
    if !duration.is_zero() {
        sleep(duration).await;
    }
}
