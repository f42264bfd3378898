//! What a back end can be told to do wrong.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize};

/// Faults in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// The health endpoint says the contrary of the truth.
    pub health_lies: bool,
    /// Outstanding work that the load endpoint reports in place of the truth.
    pub load_lies: Option<u64>,
    /// Age of what the health and load endpoints report.
    pub report_lag: Duration,
    /// Time added to the service time of each request.
    pub delay: Duration,
    /// Every answer is cut off after that many bytes.
    pub cut_after_bytes: Option<usize>,
    /// All work is refused as by a back end without a free slot.
    pub refuse: bool,
    /// New work is refused, and the health endpoint says so; what runs is finished.
    pub drain: bool,
    /// Requests accepted from all nodes together, in thousandths per second, which all answers advertise.
    pub request_limit: Option<u64>,
    /// All answers say that it is about to shut down, and the health endpoint says so; it serves on.
    pub leaving: bool,
}

/// An order to change the faults; what is absent stays as it is, and `null` ends a fault that has a value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultChange {
    /// Whether the health endpoint says the contrary of the truth.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub health_lies: Option<bool>,
    /// Outstanding work to report, or `null` for the truth.
    #[serde(skip_serializing_if = "Option::is_none", deserialize_with = "present")]
    pub load_lies: Option<Option<u64>>,
    /// Milliseconds by which the health and load endpoints lag.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub report_lag_millis: Option<u64>,
    /// Milliseconds added to each service time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_millis: Option<u64>,
    /// Start cold again now, for so many milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_start_millis: Option<u64>,
    /// Bytes after which answers are cut, or `null` for whole answers.
    #[serde(skip_serializing_if = "Option::is_none", deserialize_with = "present")]
    pub cut_after_bytes: Option<Option<usize>>,
    /// Whether to refuse all work.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<bool>,
    /// Whether to drain.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drain: Option<bool>,
    /// Request limit to advertise, in thousandths per second, or `null` for none.
    #[serde(skip_serializing_if = "Option::is_none", deserialize_with = "present")]
    pub request_limit: Option<Option<u64>>,
    /// Whether to say that it is about to shut down.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaving: Option<bool>,
}

/// Tells a field that is there as `null` from one that is absent.
fn present<'de, T: Deserialize<'de>, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Option<T>>, D::Error> {
    Option::<T>::deserialize(deserializer).map(Some)
}

impl Faults {
    /// Takes over what `change` orders of the lasting faults.
    pub fn update(&mut self, change: &FaultChange) {
        self.health_lies = change.health_lies.unwrap_or(self.health_lies);
        self.load_lies = change.load_lies.unwrap_or(self.load_lies);
        self.report_lag = change.report_lag_millis.map_or(self.report_lag, Duration::from_millis);
        self.delay = change.delay_millis.map_or(self.delay, Duration::from_millis);
        self.cut_after_bytes = change.cut_after_bytes.unwrap_or(self.cut_after_bytes);
        self.refuse = change.refuse.unwrap_or(self.refuse);
        self.drain = change.drain.unwrap_or(self.drain);
        self.request_limit = change.request_limit.unwrap_or(self.request_limit);
        self.leaving = change.leaving.unwrap_or(self.leaving);
    }
}
