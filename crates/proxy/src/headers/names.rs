//! Names of the headers, all lower case.

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
/// Time since the request's first attempt was sent, in milliseconds.
pub const AGE: HeaderName = HeaderName::from_static("umberpond-age");
/// Node of the caller.
pub const CALLER: HeaderName = HeaderName::from_static("umberpond-caller");
/// The caller's own key; passed to the back end.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// What is known about the request.
pub const OUTCOME: HeaderName = HeaderName::from_static("umberpond-outcome");
/// Why a proxy refused, as one word.
pub const REASON: HeaderName = HeaderName::from_static("umberpond-reason");
/// Outstanding requests and slots of the back end, as `outstanding/slots`.
pub const LOAD: HeaderName = HeaderName::from_static("umberpond-load");
/// Status of the endpoint: `ready`, `draining` or `starting`.
pub const ENDPOINT_STATUS: HeaderName = HeaderName::from_static("umberpond-endpoint-status");
/// Sequence of the answering node's endpoint record.
pub const SEQUENCE: HeaderName = HeaderName::from_static("umberpond-sequence");
/// Incarnation of the answering node.
pub const INCARNATION: HeaderName = HeaderName::from_static("umberpond-incarnation");
/// Node that served the request.
pub const SERVED_BY: HeaderName = HeaderName::from_static("umberpond-served-by");
/// Locality in which it was served, as `region/zone`.
pub const LOCALITY: HeaderName = HeaderName::from_static("umberpond-locality");
/// Version of the configuration in force at the caller's node.
pub const CONFIG_VERSION: HeaderName = HeaderName::from_static("umberpond-config-version");
