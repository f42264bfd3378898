//! Checks that need only a single entry.

use std::collections::BTreeSet;

use super::{EntryKind, EntryName, Fault, FaultKind};
use crate::{Bundle, Origin, Route, Secret, Service};

/// Maximum number of concurrent requests of one back end.
pub(crate) const MAX_SLOTS: u64 = 100_000;
/// Maximum number of connections of one back end.
pub(crate) const MAX_CONNECTIONS: u64 = 1_000_000;
/// Maximum timeout of a request, in milliseconds (one hour).
pub(crate) const MAX_TIMEOUT_MILLIS: u64 = 3_600_000;
/// Maximum length of a path prefix, in bytes.
const MAX_PREFIX_BYTES: usize = 1_024;

/// Connection-specific headers (RFC 9110, section 7.6.1) and headers that determine framing, target or
/// identity.
const FORBIDDEN_HEADERS: [&str; 13] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Prefix of the headers that only umberpond may set.
const RESERVED_HEADER_PREFIX: &str = "umberpond-";

/// Checks each entry of `bundle` by itself and returns all faults.
pub(crate) fn check_entries(bundle: &Bundle) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (name, region) in &bundle.topology {
        let mut entry = EntryCheck::new(&mut faults, &region.origin, EntryKind::Region, name.as_str());
        entry.require_non_empty("zones", region.value.len());
    }
    for (name, service) in &bundle.services {
        let mut entry = EntryCheck::new(&mut faults, &service.origin, EntryKind::Service, name.as_str());
        entry.service(&service.value);
    }
    for (name, route) in &bundle.routes {
        let mut entry = EntryCheck::new(&mut faults, &route.origin, EntryKind::Route, name.as_str());
        entry.route(&route.value);
    }
    for (name, secret) in &bundle.secrets {
        let mut entry = EntryCheck::new(&mut faults, &secret.origin, EntryKind::Secret, name.as_str());
        entry.secret(&secret.value);
    }
    faults
}

/// Collects the faults of one entry.
struct EntryCheck<'a> {
    faults: &'a mut Vec<Fault>,
    origin: &'a Origin,
    kind: EntryKind,
    name: &'a str,
}

impl<'a> EntryCheck<'a> {
    fn new(faults: &'a mut Vec<Fault>, origin: &'a Origin, kind: EntryKind, name: &'a str) -> Self {
        Self { faults, origin, kind, name }
    }

    fn service(&mut self, service: &Service) {
        self.require_name(service.name.as_str());
        self.require_non_empty("allowed", service.allowed.len());
        self.require_range("slots", u64::from(service.slots), MAX_SLOTS);
        self.require_range("connections", u64::from(service.connections), MAX_CONNECTIONS);
    }

    fn route(&mut self, route: &Route) {
        self.require_name(route.name.as_str());
        self.require_non_empty("callers", route.callers.len());
        self.require_range("timeout_millis", route.timeout.0, MAX_TIMEOUT_MILLIS);
        if let Some(reason) = prefix_fault(&route.path_prefix) {
            self.fault("path_prefix", FaultKind::BadPrefix { reason: reason.to_owned() });
        }
        for method in &route.methods {
            if !is_method(method) {
                self.fault("methods", FaultKind::BadMethod { method: method.clone() });
            }
        }
        self.headers(route);
    }

    fn headers(&mut self, route: &Route) {
        let mut seen = BTreeSet::new();
        for credential in &route.credentials {
            let header = credential.header.clone();
            if !is_header_name(&header) {
                self.fault("credentials", FaultKind::BadHeader { header });
            } else if is_forbidden_header(&header) {
                self.fault("credentials", FaultKind::ForbiddenHeader { header });
            } else if !seen.insert(&credential.header) {
                self.fault("credentials", FaultKind::DuplicateValue { value: header });
            }
        }
    }

    fn secret(&mut self, secret: &Secret) {
        self.require_name(secret.name.as_str());
        self.require_non_empty("readers", secret.readers.len());
    }

    fn require_name(&mut self, name: &str) {
        if name != self.name {
            self.fault("name", FaultKind::NameMismatch { key: self.name.to_owned() });
        }
    }

    fn require_non_empty(&mut self, key: &str, count: usize) {
        if count == 0 {
            self.fault(key, FaultKind::Empty);
        }
    }

    fn require_range(&mut self, key: &str, number: u64, most: u64) {
        if !(1..=most).contains(&number) {
            self.fault(key, FaultKind::OutOfRange { least: 1, most });
        }
    }

    fn fault(&mut self, key: &str, kind: FaultKind) {
        self.faults.push(Fault {
            bundle: None,
            origin: self.origin.clone(),
            entry: Some(EntryName { kind: self.kind, name: self.name.to_owned() }),
            key: Some(key.to_owned()),
            kind,
        });
    }
}

/// Why `prefix` is not a valid path prefix. Only plain paths are accepted, so that each path has one
/// spelling.
fn prefix_fault(prefix: &str) -> Option<&'static str> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@/".contains(&byte);
    if prefix.len() > MAX_PREFIX_BYTES {
        return Some("is longer than 1024 bytes");
    }
    let Some(path) = prefix.strip_prefix('/') else {
        return Some("must start with `/`");
    };
    if !prefix.bytes().all(is_plain) {
        return Some("contains a character that is not allowed (`%`, `?`, `#`, spaces and others)");
    }
    if !path.is_empty() && path.split('/').any(str::is_empty) {
        return Some("contains an empty segment or ends in `/`");
    }
    if path.split('/').any(|segment| segment == "." || segment == "..") {
        return Some("contains a `.` or `..` segment");
    }
    None
}

fn is_method(method: &str) -> bool {
    !method.is_empty()
        && method != "CONNECT"
        && method.bytes().all(|byte| byte.is_ascii_uppercase() || byte == b'-')
}

fn is_header_name(header: &str) -> bool {
    let is_token =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !header.is_empty() && header.bytes().all(is_token)
}

fn is_forbidden_header(header: &str) -> bool {
    header.starts_with(RESERVED_HEADER_PREFIX) || FORBIDDEN_HEADERS.contains(&header)
}
