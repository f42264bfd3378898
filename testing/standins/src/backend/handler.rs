//! Requests to a back end: work, health, load, fault orders and the ledger.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_LENGTH, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;
use tokio::time::{sleep, timeout};

use super::answer_stream::AnswerStream;
use super::faults::FaultChange;
use super::state::{RequestIdentity, RunningWork, State, WorkRefused};
use crate::content::{AnswerContent, Upload};
use crate::http_answer::{AnswerBody, AnswerWithheld, UnreadableBody, empty, json, query_number, read_body};
use crate::http_server::Handler;

/// Header with the request id.
pub const REQUEST_ID: &str = "umberpond-request-id";
/// Header with the caller's own key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the remaining time, in milliseconds.
pub const DEADLINE: &str = "umberpond-deadline";
/// Header with the outcome class.
pub const OUTCOME: &str = "umberpond-outcome";

/// Header with the identity of the back end's process.
const INSTANCE: &str = "umberpond-instance";
/// Header with the requests per second that the back end accepts from all nodes together.
const REQUEST_LIMIT: &str = "umberpond-request-limit";
/// Header that says that the back end is about to shut down.
const LEAVING: &str = "umberpond-leaving";

/// Header that says why work was refused; for people only.
const REFUSAL_REASON: &str = "standin-refusal";

const CONTROL_BODY_LIMIT: usize = 64 * 1024;

/// Longest answer that can be asked for, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

#[derive(Serialize)]
struct LoadJson {
    outstanding: u64,
    slots: u64,
}

/// Answers every request to one back end.
#[derive(Debug)]
pub struct BackendHandler {
    state: Arc<State>,
}

impl BackendHandler {
    /// Answers from `state`.
    pub const fn new(state: Arc<State>) -> Self {
        Self { state }
    }

    async fn work(&self, request: Request<Incoming>) -> Result<Response<AnswerBody>, AnswerWithheld> {
        let asked = AskedWork::read(&request);
        if asked.deadline.is_some_and(|deadline| deadline.is_zero()) {
            return Ok(rejected(StatusCode::GATEWAY_TIMEOUT));
        }
        let work = match self.state.begin(asked.identity.clone()) {
            Ok(work) => work,
            Err(refused) => return Ok(refusal(refused)),
        };
        let run = self.run(&asked, request.into_body());
        let upload = match asked.deadline {
            Some(deadline) => match timeout(deadline, run).await {
                Ok(finished) => finished,
                Err(_) => return Ok(deadline_passed()),
            },
            None => run.await,
        };
        let upload = upload.map_err(|_| AnswerWithheld)?;
        Ok(self.answer(work, &asked, upload.as_ref()))
    }

    async fn run(&self, asked: &AskedWork, body: Incoming) -> Result<Option<Upload>, UnreadableBody> {
        let upload = read_upload(body).await?;
        let service_time = self.state.service_time(asked.hold);
        if !service_time.is_zero() {
            sleep(service_time).await;
        }
        Ok(upload)
    }

    fn answer(&self, work: RunningWork, asked: &AskedWork, upload: Option<&Upload>) -> Response<AnswerBody> {
        let content = AnswerContent {
            request_id: asked.identity.request_id.as_deref(),
            idempotency_key: asked.identity.idempotency_key.as_deref(),
            path: &asked.identity.path,
            upload,
            length: asked.answer_bytes,
        };
        let bytes = content.to_bytes();
        let length = bytes.len();
        let faults = self.state.faults();
        work.note_signals(&faults);
        let stream = AnswerStream::new(work, bytes, asked.spread, faults.cut_after_bytes);
        let mut response = Response::new(stream.into_body());
        // An answer spread over time goes out in chunks, as its length isn't known ahead in real systems.
        if asked.spread.is_zero() {
            response.headers_mut().insert(CONTENT_LENGTH, length.into());
        }
        response
    }

    async fn control(&self, request: Request<Incoming>) -> Result<Response<AnswerBody>, AnswerWithheld> {
        let response = match (request.method(), request.uri().path()) {
            (&Method::GET, "/standin/ledger") => json(StatusCode::OK, &self.state.ledger()),
            (&Method::POST, "/standin/faults") => {
                let body = read_body(request, CONTROL_BODY_LIMIT).await.map_err(|_| AnswerWithheld)?;
                match serde_json::from_slice::<FaultChange>(&body) {
                    Ok(change) => {
                        self.state.change_faults(&change);
                        empty(StatusCode::OK)
                    }
                    Err(_) => empty(StatusCode::BAD_REQUEST),
                }
            }
            _ => empty(StatusCode::NOT_FOUND),
        };
        Ok(response)
    }

    fn health(&self) -> Response<AnswerBody> {
        let healthy = self.state.report().healthy;
        empty(if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }

    /// Adds what the answers say about the back end itself.
    fn add_signals(&self, headers: &mut HeaderMap) {
        let faults = self.state.faults();
        if let Some(instance) =
            self.state.instance().and_then(|instance| HeaderValue::from_str(instance).ok())
        {
            headers.insert(INSTANCE, instance);
        }
        if let Some(thousandths) = faults.request_limit {
            let limit = format!("{}.{:03}", thousandths / 1_000, thousandths % 1_000);
            headers.extend(
                HeaderValue::try_from(limit)
                    .ok()
                    .map(|limit| (HeaderName::from_static(REQUEST_LIMIT), limit)),
            );
        }
        if faults.leaving {
            headers.insert(LEAVING, HeaderValue::from_static("1"));
        }
    }

    fn load(&self) -> Response<AnswerBody> {
        let outstanding = self.state.report().outstanding;
        json(StatusCode::OK, &LoadJson { outstanding, slots: self.state.slots() })
    }
}

impl Handler for BackendHandler {
    async fn handle(
        &self,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, AnswerWithheld> {
        let mut response = match request.uri().path() {
            "/health" => self.health(),
            "/load" => self.load(),
            path if path.starts_with("/standin/") => return self.control(request).await,
            _ => self.work(request).await?,
        };
        self.add_signals(response.headers_mut());
        Ok(response)
    }
}

/// What a request for work asks for.
#[derive(Debug)]
struct AskedWork {
    identity: RequestIdentity,
    deadline: Option<Duration>,
    hold: Option<Duration>,
    spread: Duration,
    answer_bytes: usize,
}

impl AskedWork {
    fn read(request: &Request<Incoming>) -> Self {
        let headers = request.headers();
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        let query = request.uri().query();
        let answer_bytes = query_number(query, "bytes").unwrap_or(0).min(MAX_ANSWER_BYTES);
        Self {
            identity: RequestIdentity {
                request_id: header_text(headers, REQUEST_ID),
                idempotency_key: header_text(headers, IDEMPOTENCY_KEY),
                path: path.to_owned(),
            },
            deadline: header_text(headers, DEADLINE)
                .and_then(|text| text.parse().ok())
                .map(Duration::from_millis),
            hold: query_number(query, "hold_millis").map(Duration::from_millis),
            spread: Duration::from_millis(query_number(query, "stream_millis").unwrap_or(0)),
            answer_bytes: usize::try_from(answer_bytes).unwrap_or(usize::MAX),
        }
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

async fn read_upload(mut body: Incoming) -> Result<Option<Upload>, UnreadableBody> {
    let mut hasher = blake3::Hasher::new();
    let mut length = 0_u64;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| UnreadableBody)?;
        if let Some(data) = frame.data_ref() {
            hasher.update(data);
            length += data.len() as u64;
        }
    }
    Ok((length > 0).then(|| Upload { length, hash: hasher.finalize().to_hex().to_string() }))
}

fn refusal(refused: WorkRefused) -> Response<AnswerBody> {
    let reason = match refused {
        WorkRefused::Overloaded => "overloaded",
        WorkRefused::Draining => "draining",
        WorkRefused::Starting => "starting",
    };
    let mut response = rejected(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert(REFUSAL_REASON, HeaderValue::from_static(reason));
    response
}

fn rejected(status: StatusCode) -> Response<AnswerBody> {
    let mut response = empty(status);
    response.headers_mut().insert(OUTCOME, HeaderValue::from_static("rejected"));
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

fn deadline_passed() -> Response<AnswerBody> {
    let mut response = empty(StatusCode::GATEWAY_TIMEOUT);
    response.headers_mut().insert(OUTCOME, HeaderValue::from_static("unknown"));
    response
}
