//! Building answers and reading requests, shared by the stand-in servers.

use std::convert::Infallible;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use thiserror::Error;

/// The body of a stand-in's answer: whole, or streamed and perhaps cut on purpose.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyCut>;

/// An answer that a stand-in breaks off on purpose. The connection closes without the end of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer was cut by an injected fault")]
pub struct BodyCut;

/// A request that gets no answer at all: the connection closes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer was withheld by an injected fault")]
pub struct AnswerWithheld;

/// A request whose body could not be taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the request's body broke off or is over the limit")]
pub struct UnreadableBody;

/// An answer with the given bytes.
pub fn whole(status: StatusCode, bytes: impl Into<Bytes>) -> Response<AnswerBody> {
    let body = Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Response<AnswerBody> {
    whole(status, Bytes::new())
}

/// An answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<AnswerBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = whole(status, bytes);
            response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            response
        }
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Reads a request's body, at most `limit` bytes.
///
/// # Errors
/// Returns [`UnreadableBody`] when it breaks off or is longer.
pub async fn read_body(request: Request<Incoming>, limit: usize) -> Result<Bytes, UnreadableBody> {
    let collected = Limited::new(request.into_body(), limit).collect().await.map_err(|_| UnreadableBody)?;
    Ok(collected.to_bytes())
}

/// The value of one query parameter. Values are taken as written; the stand-ins' names need no escapes.
pub fn query_parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}

/// A query parameter as a whole number, if it is there and is one.
pub fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    query_parameter(query, name)?.parse().ok()
}
