//! Names of the internal headers, and what is added and removed at each step of the path.

pub mod names;

mod attempt;
mod endpoint;

pub(crate) use attempt::{AttemptHeaders, set_number};
pub(crate) use endpoint::{EndpointHeaders, retry_after};

use http::Uri;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http_body::Body;

/// Prefix of every internal header.
const INTERNAL_PREFIX: &str = "umberpond-";

/// Whether this header is one of the mesh's own.
fn is_internal(name: &HeaderName) -> bool {
    name.as_str().starts_with(INTERNAL_PREFIX)
}

/// Whether the proxies alone may set this header: internal, or part of the connection's framing.
#[must_use]
pub(crate) fn is_reserved(name: &HeaderName) -> bool {
    is_internal(name)
        || is_hop_by_hop(name)
        || [header::HOST, header::CONTENT_LENGTH, names::IDEMPOTENCY_KEY].contains(name)
}

/// Whether this header concerns one connection only and is never passed on.
fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "http2-settings"
            | "expect"
    )
}

/// The headers that are passed on: neither internal nor of one connection, nor named by `connection`.
#[must_use]
pub(crate) fn passed_on(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != header::HOST && *name != header::CONTENT_LENGTH)
        .collect();
    for name in named {
        headers.remove(name);
    }
    let removed: Vec<HeaderName> =
        headers.keys().filter(|name| is_internal(name) || is_hop_by_hop(name)).cloned().collect();
    for name in removed {
        headers.remove(name);
    }
    headers
}

/// Says how the body of a forwarded request is framed. Left to itself, the HTTP library drops a body of unknown
/// length if the method is GET or HEAD.
pub(crate) fn set_framing<B: Body>(headers: &mut HeaderMap, body: &B) {
    if !body.is_end_stream() && body.size_hint().exact().is_none() {
        headers.insert(header::TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
    }
}

/// The target of a forwarded request: path and query only.
#[must_use]
pub(crate) fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(Uri::default, |path_and_query| Uri::from(path_and_query.clone()))
}
