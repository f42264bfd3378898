//! What a back end says in a response about the requests that it wants to receive from now on.

use umberpond_http1::Fields;
use umberpond_model::RequestRate;
use umberpond_scheduling::LimitReport;

use crate::header_profile::HeaderProfile;

/// Lowest request limit that is enforced, in requests per second. Only responses show whether the limit still
/// holds, so a back end that advertises a lower limit, or 0, still gets a request from time to time.
const MIN_REQUEST_LIMIT: f64 = 0.1;
/// Lowest response status that reports a failure. A failure response may lack the usual header fields.
const FIRST_FAILURE_STATUS: u16 = 500;

/// Signals in the header fields of one response of a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BackEndSignals {
    /// What the response says about the request limit.
    pub(crate) limit: LimitReport,
    /// Whether the value of the request limit is invalid.
    pub(crate) has_invalid_limit: bool,
    /// Whether the back end is about to shut down.
    pub(crate) is_leaving: bool,
}

impl BackEndSignals {
    /// Reads the signals of a response with this status and these header fields.
    pub(crate) fn read(header_profile: &HeaderProfile, status: u16, fields: &Fields) -> Self {
        let field_limits: Vec<Option<RequestRate>> = limits(header_profile, fields).collect();
        let lowest = field_limits.iter().flatten().min();
        let limit = match lowest {
            Some(rate) => LimitReport::Limited(*rate),
            None if field_limits.is_empty() && !is_failure(header_profile, status, fields) => {
                LimitReport::Unlimited
            }
            None => LimitReport::Unknown,
        };
        Self {
            limit,
            has_invalid_limit: field_limits.contains(&None),
            is_leaving: header_profile.leaving.is_in(fields),
        }
    }
}

/// Whether a response reports that the back end failed to run the request or rejected it.
fn is_failure(header_profile: &HeaderProfile, status: u16, fields: &Fields) -> bool {
    status >= FIRST_FAILURE_STATUS || header_profile.not_executed.is_in(fields)
}

/// All request limits in a response, `None` for each invalid one.
fn limits(header_profile: &HeaderProfile, fields: &Fields) -> impl Iterator<Item = Option<RequestRate>> {
    fields.get_all(header_profile.request_limit).map(|value| parse_limit(value))
}

fn parse_limit(value: &[u8]) -> Option<RequestRate> {
    let per_second: f64 = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    if per_second.is_nan() || per_second < 0.0 {
        return None;
    }
    RequestRate::per_second(per_second.max(MIN_REQUEST_LIMIT)).ok()
}

#[cfg(test)]
mod tests;
