//! Names of the header fields by which callers, nodes and back ends tell one another about a request.

use umberpond_http1::Fields;

/// A header field that says something by being there, or by its value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderMatcher {
    /// Name of the field.
    pub name: &'static str,
    /// The value that says it; any if absent.
    pub value: Option<&'static str>,
}

impl HeaderMatcher {
    /// Whether `fields` say it.
    #[must_use]
    pub fn is_in(&self, fields: &Fields) -> bool {
        let mut found = fields.get_all(self.name);
        found.any(|found| self.value.is_none_or(|value| found.eq_ignore_ascii_case(value.as_bytes())))
    }
}

/// What every answer tells its caller beside the back end's own words.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// What is known about the request: `answered`, `rejected` or `unknown`.
    pub outcome: &'static str,
    /// Why a node answered by itself, as one word.
    pub reason: &'static str,
    /// Node that served the request.
    pub served_by: &'static str,
    /// Where it was served, as `region/zone`.
    pub locality: &'static str,
    /// Version of the configuration by which the route was found.
    pub version: &'static str,
}

/// Names of the header fields. Another platform has names of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderProfile {
    /// Identity of the request, given by the caller and passed on.
    pub request_id: &'static str,
    /// What stands between the identity of a request and the rest of that of a call which its run makes; absent if calls can't be
    /// told from other requests. The calls of a repeated run count as repeats of the called service.
    pub call_separator: Option<u8>,
    /// Whether back ends repeat it in their answers, so that an answer without it is none.
    pub echoes_request_id: bool,
    /// The caller's own key, under which a request must run once even if the caller repeats it; absent if callers
    /// have none.
    pub caller_key: Option<&'static str>,
    /// Time that the caller will wait, in whole milliseconds.
    pub deadline_millis: &'static str,
    /// Service on whose behalf the request is sent; set by the caller's node.
    pub caller: &'static str,
    /// Key of the tenant on whose behalf the request is sent. It goes no further than the node at which the request enters.
    pub tenant_key: &'static str,
    /// Name of that tenant; set by the nodes.
    pub tenant: &'static str,
    /// Life of the back end that is meant; set by the node beside the back end.
    pub expected_instance: &'static str,
    /// Life of the back end that answers.
    pub instance: &'static str,
    /// Says that the back end did not run the request.
    pub not_executed: HeaderMatcher,
    /// Load of the back end as `running,waiting,slots`, and a fourth value if it tells its slowdown: how long work takes there at this moment, in hundredths of the
    /// usual time.
    pub load: &'static str,
    /// How much longer a back end is cold, in whole milliseconds, in its health answers; absent if back ends don't tell.
    pub warmup_millis: Option<&'static str>,
    /// Proof that the body is the back end's own; absent if back ends don't sign.
    pub signature: Option<&'static str>,
    /// What every answer tells its caller; absent if callers know no such fields.
    pub marks: Option<ResponseHeaders>,
}

impl HeaderProfile {
    /// The product's own names.
    pub const OWN: Self = Self {
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
        signature: None,
        marks: Some(ResponseHeaders {
            outcome: "umberpond-outcome",
            reason: "umberpond-reason",
            served_by: "umberpond-served-by",
            locality: "umberpond-locality",
            version: "umberpond-config-version",
        }),
    };

    /// Fields that a caller may not set: they are removed from what it sends.
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
