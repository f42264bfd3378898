//! The request limit that a back end advertises in its responses.

use std::time::{Duration, Instant};

use umberpond_model::RequestRate;

/// Time for which a response that confirms or ends a remembered limit is awaited.
const PROVISIONAL_TIME: Duration = Duration::from_secs(1);

/// What one response says about the request limit of the back end that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitReport {
    /// The back end accepts this many requests from all nodes together.
    Limited(RequestRate),
    /// The back end does not limit its requests.
    Unlimited,
    /// Nothing: the value is invalid, or the response lacks the usual fields because it reports a failure.
    Unknown,
}

/// The request limit of one back-end process, as far as its responses tell. It is in effect from the first
/// response with a limit until a response without one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdvertisedLimit {
    rate: Option<RequestRate>,
    /// When the first response with the limit arrived; absent without a limit.
    since: Option<Instant>,
    /// Whether a response has told whether there is a limit.
    is_confirmed: bool,
}

impl AdvertisedLimit {
    /// The rate limit in effect.
    #[must_use]
    pub const fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Whether only another node remembers the limit, which may have ended, and a response is expected soon.
    #[must_use]
    pub fn is_provisional(&self, now: Instant) -> bool {
        !self.is_confirmed && self.since.is_some_and(|since| now < since + PROVISIONAL_TIME)
    }

    /// Applies the report of a response to a request that was sent at `sent_at`. Returns whether the rate has
    /// changed, or is confirmed for the first time.
    ///
    /// A response without a limit to a request that was sent before the limit was known changes nothing: it may
    /// have been generated earlier than the response that advertised the limit.
    pub fn on_response(&mut self, now: Instant, sent_at: Instant, report: LimitReport) -> bool {
        let rate = match report {
            LimitReport::Limited(rate) => Some(rate),
            LimitReport::Unlimited if self.since.is_none_or(|since| since <= sent_at) => None,
            LimitReport::Unlimited | LimitReport::Unknown => return false,
        };
        let was_remembered = self.rate.is_some() && !self.is_confirmed;
        self.is_confirmed = true;
        self.set(now, rate) || was_remembered
    }

    /// Applies the limit that another node remembers from a response of the same process. Returns whether the
    /// rate has changed. It has no effect once a response has told the limit to this node.
    pub fn on_remembered(&mut self, now: Instant, rate: RequestRate) -> bool {
        if self.is_confirmed || self.rate.is_some_and(|known| known <= rate) {
            return false;
        }
        self.set(now, Some(rate))
    }

    fn set(&mut self, now: Instant, rate: Option<RequestRate>) -> bool {
        self.since = rate.map(|_| self.since.unwrap_or(now));
        std::mem::replace(&mut self.rate, rate) != rate
    }
}
