//! Names of the internal headers, and what is added and removed at each step of the path.

/// Names of the headers, all lower case.
pub mod names {
    use http::HeaderName;

    /// Service that the request is meant for.
    pub const SERVICE: HeaderName = HeaderName::from_static("umberpond-service");
    /// 32 hex digits, the same in each attempt.
    pub const REQUEST_ID: HeaderName = HeaderName::from_static("umberpond-request-id");
    /// Number of the attempt, from 1.
    pub const ATTEMPT: HeaderName = HeaderName::from_static("umberpond-attempt");
    /// Class of the request.
    pub const CLASS: HeaderName = HeaderName::from_static("umberpond-class");
    /// Whether the request may run more than once.
    pub const IDEMPOTENT: HeaderName = HeaderName::from_static("umberpond-idempotent");
    /// Time left for the request, in milliseconds. A caller may set it.
    pub const DEADLINE: HeaderName = HeaderName::from_static("umberpond-deadline");
    /// Node of the caller.
    pub const CALLER: HeaderName = HeaderName::from_static("umberpond-caller");
    /// The caller's own key; passed to the back end.
    pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
    /// What is known about the request.
    pub const OUTCOME: HeaderName = HeaderName::from_static("umberpond-outcome");
    /// Outstanding requests and slots of the back end, as `outstanding/slots`.
    pub const LOAD: HeaderName = HeaderName::from_static("umberpond-load");
    /// Status of the endpoint: `ready`, `draining` or `starting`.
    pub const ENDPOINT_STATUS: HeaderName = HeaderName::from_static("umberpond-endpoint-status");
    /// Incarnation of the answering node.
    pub const INCARNATION: HeaderName = HeaderName::from_static("umberpond-incarnation");
    /// Node that served the request.
    pub const SERVED_BY: HeaderName = HeaderName::from_static("umberpond-served-by");
    /// Locality in which it was served, as `region/zone`.
    pub const LOCALITY: HeaderName = HeaderName::from_static("umberpond-locality");
    /// Version of the configuration in force at the caller's node.
    pub const CONFIG_VERSION: HeaderName = HeaderName::from_static("umberpond-config-version");
}

use http::HeaderName;
use http::header;

/// Prefix of every internal header.
const INTERNAL_PREFIX: &str = "umberpond-";

/// Whether the proxies alone may set this header: internal, or part of the connection's framing.
#[must_use]
pub(crate) fn is_reserved(name: &HeaderName) -> bool {
    name.as_str().starts_with(INTERNAL_PREFIX)
        || is_hop_by_hop(name)
        || [header::HOST, header::CONTENT_LENGTH, names::IDEMPOTENCY_KEY].contains(name)
}

/// Whether this header concerns one connection only and is never passed on.
#[must_use]
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
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
            | "expect"
    )
}
