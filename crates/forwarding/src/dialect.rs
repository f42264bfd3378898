//! Names of the header fields by which callers, nodes and back ends tell one another about a request.

/// Names of the header fields. Another platform has names of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dialect {
    /// Identity of the request, given by the caller and echoed in every answer.
    pub request_id: &'static str,
    /// Time that the caller will wait, in whole milliseconds.
    pub deadline_millis: &'static str,
    /// Service on whose behalf the request is sent; set by the caller's node.
    pub caller: &'static str,
    /// Life of the back end that is meant; set by the node beside the back end.
    pub expected_instance: &'static str,
    /// Life of the back end that answers.
    pub instance: &'static str,
    /// Says that the back end did not run the request.
    pub not_executed: &'static str,
    /// Load of the back end as `running,waiting,slots`.
    pub load: &'static str,
    /// Proof that the body is the back end's own; absent if back ends don't sign.
    pub signature: Option<&'static str>,
}

impl Dialect {
    /// The product's own names.
    pub const OWN: Self = Self {
        request_id: "umberpond-request",
        deadline_millis: "umberpond-deadline",
        caller: "umberpond-caller-service",
        expected_instance: "umberpond-meant-instance",
        instance: "umberpond-serving-instance",
        not_executed: "umberpond-rejected",
        load: "umberpond-load",
        signature: None,
    };

    /// Fields that a caller may not set: they are removed from what it sends.
    #[must_use]
    pub fn reserved(&self) -> [&'static str; 6] {
        [
            self.deadline_millis,
            self.caller,
            self.expected_instance,
            self.instance,
            self.not_executed,
            self.load,
        ]
    }
}
