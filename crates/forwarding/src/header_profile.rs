//! Names of the header fields that callers, nodes and back ends exchange.

use umberpond_http1::Fields;

/// Matches a header field by its presence or by its value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderMatcher {
    /// Name of the field.
    pub name: &'static str,
    /// Value to match; `None` matches any value.
    pub value: Option<&'static str>,
}

impl HeaderMatcher {
    /// Whether `fields` contain a matching field.
    #[must_use]
    pub fn is_in(&self, fields: &Fields) -> bool {
        let mut found = fields.get_all(self.name);
        found.any(|found| self.value.is_none_or(|value| found.eq_ignore_ascii_case(value.as_bytes())))
    }
}

/// Names of the header fields that nodes add to each response to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Outcome of the request: `answered`, `rejected` or `unknown`.
    pub outcome: &'static str,
    /// Why a node replied without a response of a back end, as an identifier.
    pub reason: &'static str,
    /// Node that served the request.
    pub served_by: &'static str,
    /// Locality in which it was served, as `region/zone`.
    pub locality: &'static str,
    /// Version of the configuration that contains the route.
    pub version: &'static str,
}

/// Names of the header fields of a platform, and its conventions for them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderProfile {
    /// Request id, set by the caller and forwarded.
    pub request_id: &'static str,
    /// Separator between the id of a request and the suffix in the ids of calls that its run makes; `None` if
    /// calls can't be distinguished from other requests. The calls of a retried run count as retries at the
    /// called service.
    pub call_separator: Option<u8>,
    /// Whether back ends repeat the request id in their responses, so that a response without it is invalid.
    pub echoes_request_id: bool,
    /// Idempotency key set by the caller: a request with this key must run only once, even if the caller
    /// repeats it. `None` if callers have no such key.
    pub caller_key: Option<&'static str>,
    /// Timeout of the caller in whole milliseconds.
    pub deadline_millis: &'static str,
    /// Service on whose behalf the request is sent; set by the caller's node.
    pub caller: &'static str,
    /// API key of the tenant on whose behalf the request is sent. It is not forwarded beyond the node at
    /// which the request enters.
    pub tenant_key: &'static str,
    /// Name of that tenant; set by the nodes.
    pub tenant: &'static str,
    /// Back-end instance for which the request is intended; set by the back end's node.
    pub expected_instance: &'static str,
    /// Back-end instance that responds.
    pub instance: &'static str,
    /// Indicates that the back end did not run the request.
    pub not_executed: HeaderMatcher,
    /// Load of the back end as `running,waiting,slots`, with an optional fourth value for its slowdown: the
    /// current service time in hundredths of the usual one.
    pub load: &'static str,
    /// Remaining warm-up time of a back end in whole milliseconds, in its health responses; `None` if back
    /// ends don't report it.
    pub warmup_millis: Option<&'static str>,
    /// Requests per second that the back end accepts from all nodes together, in its responses, while it
    /// limits them.
    pub request_limit: &'static str,
    /// Indicates that the back end is about to shut down.
    pub leaving: HeaderMatcher,
    /// Signature by which the back end proves the body is its own; `None` if back ends don't sign.
    pub signature: Option<&'static str>,
    /// Header fields added to each response to a caller; `None` if callers don't know such fields.
    pub response_headers: Option<ResponseHeaders>,
}

impl HeaderProfile {
    /// The default names.
    pub const DEFAULT: Self = Self {
        request_id: "umberpond-request-id",
        call_separator: Some(b'.'),
        echoes_request_id: false,
        caller_key: Some("idempotency-key"),
        deadline_millis: "umberpond-deadline",
        caller: "umberpond-caller",
        tenant_key: "umberpond-key",
        tenant: "umberpond-tenant",
        expected_instance: "umberpond-meant-instance",
        instance: "umberpond-instance",
        not_executed: HeaderMatcher { name: "umberpond-outcome", value: Some("rejected") },
        load: "umberpond-load",
        warmup_millis: Some("umberpond-cold-millis"),
        request_limit: "umberpond-request-limit",
        leaving: HeaderMatcher { name: "umberpond-leaving", value: Some("1") },
        signature: None,
        response_headers: Some(ResponseHeaders {
            outcome: "umberpond-outcome",
            reason: "umberpond-reason",
            served_by: "umberpond-served-by",
            locality: "umberpond-locality",
            version: "umberpond-config-version",
        }),
    };

    /// Fields that callers may not set: they are removed from requests of callers.
    #[must_use]
    pub fn reserved(&self) -> [&'static str; 8] {
        [
            self.deadline_millis,
            self.caller,
            self.tenant_key,
            self.tenant,
            self.expected_instance,
            self.instance,
            self.not_executed.name,
            self.load,
        ]
    }
}
