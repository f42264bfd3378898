//! What every request must satisfy before anything else is looked at.

use http::header::{self, HeaderName};
use http::uri::Authority;
use http::{HeaderValue, Method, Request, Version};
use thiserror::Error;

use super::head_scanner::{HeadFault, Verdict};
use crate::RefusalReason;

/// Why a request is refused as malformed or unsupported. Nothing of it is forwarded and its connection closes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum Malformed {
    /// The head is ambiguous.
    #[error(transparent)]
    Head(#[from] HeadFault),
    /// HTTP/1.0: without chunks, a cut answer would look like a whole one.
    #[error("only HTTP/1.1 is served")]
    Version,
    /// CONNECT or TRACE.
    #[error("this method is not served")]
    Method,
    /// An upgrade to another protocol.
    #[error("upgrades are not served")]
    Upgrade,
    /// No `host`, more than one, or one that is no authority.
    #[error("exactly one valid host is needed")]
    Host,
    /// An absolute-form target that names another host or scheme.
    #[error("the target and the host disagree")]
    TargetMismatch,
    /// A target that is no path, or a path with `.` or `..` segments.
    #[error("the target is no plain path")]
    Path,
    /// An internal header is absent or unreadable (inbound side).
    #[error("the header `{0}` is absent or unreadable")]
    InternalHeader(&'static str),
}

impl Malformed {
    /// The reason told to the caller.
    pub(crate) const fn reason(self) -> RefusalReason {
        match self {
            Self::Head(HeadFault::TooLong) => RefusalReason::HeadTooLarge,
            _ => RefusalReason::Malformed,
        }
    }
}

/// The parts of a checked request that routing needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CheckedRequest {
    /// The host, in lower case and without a port.
    pub(crate) host: String,
}

impl CheckedRequest {
    /// Checks the head of `request`; `verdict` is the head scanner's word on it.
    pub(crate) fn check<B>(request: &Request<B>, verdict: Option<&Verdict>) -> Result<Self, Malformed> {
        check_verdict(request, verdict)?;
        if request.version() != Version::HTTP_11 {
            return Err(Malformed::Version);
        }
        if matches!(*request.method(), Method::CONNECT | Method::TRACE) {
            return Err(Malformed::Method);
        }
        check_upgrade(request)?;
        let host = checked_host(request)?;
        check_target(request, &host)?;
        Ok(Self { host: host.host().to_ascii_lowercase() })
    }
}

fn check_verdict<B>(request: &Request<B>, verdict: Option<&Verdict>) -> Result<(), HeadFault> {
    let verdict = verdict.ok_or(HeadFault::Ambiguous)?;
    let uri = request.uri();
    match (uri.authority(), uri.path_and_query()) {
        (None, Some(path_and_query)) => verdict.check(request.method().as_str(), path_and_query.as_str()),
        _ => verdict.check(request.method().as_str(), &uri.to_string()),
    }
}

/// `upgrade: h2c` is an offer that a server may ignore (RFC 9110, 7.8), and some client libraries send it with
/// every first request, so it is ignored. Every other upgrade expects an answer that is never given here.
fn check_upgrade<B>(request: &Request<B>) -> Result<(), Malformed> {
    let is_ignorable = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"h2c");
    if request.headers().get_all(header::UPGRADE).iter().all(is_ignorable) {
        Ok(())
    } else {
        Err(Malformed::Upgrade)
    }
}

fn checked_host<B>(request: &Request<B>) -> Result<Authority, Malformed> {
    let value = single(request, &header::HOST).ok_or(Malformed::Host)?;
    let authority = Authority::try_from(value.as_bytes()).map_err(|_| Malformed::Host)?;
    if authority.as_str().contains('@') || authority.host().is_empty() {
        return Err(Malformed::Host);
    }
    Ok(authority)
}

/// The value of a header that must stand exactly once.
pub(crate) fn single<'a, B>(request: &'a Request<B>, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = request.headers().get_all(name).iter();
    let first = values.next()?;
    if values.next().is_some() { None } else { Some(first) }
}

fn check_target<B>(request: &Request<B>, host: &Authority) -> Result<(), Malformed> {
    let uri = request.uri();
    let names_other_host = uri.authority().is_some_and(|authority| authority != host);
    let names_other_scheme = uri.scheme_str().is_some_and(|scheme| scheme != "http");
    if names_other_host || names_other_scheme {
        return Err(Malformed::TargetMismatch);
    }
    let path = uri.path();
    if !path.starts_with('/') || path.split('/').any(is_dot_segment) {
        return Err(Malformed::Path);
    }
    Ok(())
}

/// Whether a segment means "here" or "one up", plainly or percent-encoded: a back end that resolves it would
/// leave the prefix that the route was chosen by.
fn is_dot_segment(segment: &str) -> bool {
    const LONGEST: usize = "%2e%2e".len();
    if segment.is_empty() || segment.len() > LONGEST {
        return false;
    }
    let plain = segment.replace("%2e", ".").replace("%2E", ".");
    plain == "." || plain == ".."
}
