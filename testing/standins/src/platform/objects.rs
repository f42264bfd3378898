//! Requests for objects: read, list, create, replace, delete and watch.

use std::sync::Arc;

use bytes::Bytes;
use http::header::IF_MATCH;
use http::{HeaderMap, Method, Response, StatusCode};
use serde::Serialize;

use super::state::State;
use super::store::{ChangeRefused, ListedObject};
use super::watch::Watch;
use crate::http_answer::{AnswerBody, empty, json, query_number, query_parameter, whole};

/// Header that carries an object's version.
pub const OBJECT_VERSION: &str = "object-version";

/// Names on a page unless the reader asks for fewer.
const DEFAULT_PAGE_NAMES: u64 = 1_000;

#[derive(Serialize)]
struct PageJson {
    revision: u64,
    items: Vec<ListedObject>,
    more: bool,
}

#[derive(Serialize)]
struct TooOldJson {
    oldest: u64,
}

/// Answers a request for one object.
pub fn object(
    state: &State,
    method: &Method,
    kind: &str,
    name: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Response<AnswerBody> {
    match *method {
        Method::GET => read(state, kind, name),
        Method::POST => {
            let created = state.locked().store.create(kind, name, body);
            changed(state, StatusCode::CREATED, created)
        }
        Method::PUT => with_expected_version(headers, |expected| {
            let replaced = state.locked().store.replace(kind, name, expected, body);
            changed(state, StatusCode::OK, replaced)
        }),
        Method::DELETE => with_expected_version(headers, |expected| {
            let deleted = state.locked().store.delete(kind, name, expected);
            changed(state, StatusCode::OK, deleted)
        }),
        _ => empty(StatusCode::METHOD_NOT_ALLOWED),
    }
}

/// Answers a request for a page of names.
pub fn list(state: &State, kind: &str, query: Option<&str>) -> Response<AnswerBody> {
    let after = query_parameter(query, "after").unwrap_or_default();
    let limit = query_number(query, "limit").unwrap_or(DEFAULT_PAGE_NAMES);
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let page = state.locked().store.list(kind, after, limit);
    json(StatusCode::OK, &PageJson { revision: page.revision, items: page.items, more: page.more })
}

/// Answers a request for a watch.
pub fn watch(state: &Arc<State>, kind: &str, reader: &str, query: Option<&str>) -> Response<AnswerBody> {
    let Some(after) = query_number(query, "after") else {
        return empty(StatusCode::BAD_REQUEST);
    };
    if let Err(too_old) = state.locked().store.changes_after(kind, after) {
        return json(StatusCode::GONE, &TooOldJson { oldest: too_old.oldest });
    }
    let watch = Watch::open(Arc::clone(state), kind.to_owned(), reader.to_owned(), after);
    Response::new(watch.into_body())
}

fn read(state: &State, kind: &str, name: &str) -> Response<AnswerBody> {
    match state.locked().store.get(kind, name) {
        Some(object) => with_version(whole(StatusCode::OK, object.bytes.clone()), object.version),
        None => empty(StatusCode::NOT_FOUND),
    }
}

fn changed(
    state: &State,
    status_if_changed: StatusCode,
    outcome: Result<u64, ChangeRefused>,
) -> Response<AnswerBody> {
    match outcome {
        Ok(version) => {
            state.notify_change();
            with_version(empty(status_if_changed), version)
        }
        Err(ChangeRefused::Conflict { version }) => with_version(empty(StatusCode::CONFLICT), version),
        Err(ChangeRefused::NotFound) => empty(StatusCode::NOT_FOUND),
    }
}

fn with_version(mut response: Response<AnswerBody>, version: u64) -> Response<AnswerBody> {
    response.headers_mut().insert(OBJECT_VERSION, version.into());
    response
}

fn with_expected_version(
    headers: &HeaderMap,
    change: impl FnOnce(u64) -> Response<AnswerBody>,
) -> Response<AnswerBody> {
    let expected = headers.get(IF_MATCH).and_then(|value| value.to_str().ok());
    match expected.and_then(|text| text.parse().ok()) {
        Some(expected) => change(expected),
        None => empty(StatusCode::PRECONDITION_REQUIRED),
    }
}
