//! What all nodes together may send again, checked from outside by what was sent and what ran.

/// When requests for one service were sent, and when they ran beyond the first time, in milliseconds.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    /// Each request.
    pub requests: Vec<u64>,
    /// Each run of a request but its first one.
    pub repeats: Vec<u64>,
}

/// The retry budget of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top.
    pub extra: f64,
    /// Length of a window, in milliseconds.
    pub window_millis: u64,
    /// Greatest difference between the clocks by which the times were taken, in milliseconds: requests of a window count if they are so much
    /// earlier or later.
    pub clock_error_millis: u64,
}

/// A window with more repeats than are allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverspentWindow {
    /// Its begin, in milliseconds.
    pub from_millis: u64,
    /// Repeats in it.
    pub repeats: u32,
    /// Requests that count for it.
    pub requests: u32,
}

impl RetryAllowance {
    /// The windows with more repeats than their requests allow. The requests are those of the window, of the one before it or of the one half a
    /// window before it, whichever are most: a repeat may follow its request in the next one.
    #[must_use]
    pub fn overspent(&self, times: &ServiceTimes) -> Vec<OverspentWindow> {
        times.repeats.iter().filter_map(|from| self.judge(times, *from)).collect()
    }

    fn judge(&self, times: &ServiceTimes, from: u64) -> Option<OverspentWindow> {
        let window = self.window_millis;
        let error = self.clock_error_millis;
        let repeats = count(&times.repeats, from, window);
        let begins = [0, window / 2, window].map(|earlier| from.saturating_sub(earlier + error));
        let counts = begins.map(|begin| count(&times.requests, begin, window + 2 * error));
        let requests = counts.into_iter().max().unwrap_or_default();
        let allowed = self.ratio * f64::from(requests) + self.extra;
        (f64::from(repeats) > allowed).then_some(OverspentWindow { from_millis: from, repeats, requests })
    }
}

/// Count of `times` in the window of `length` that begins at `from`.
fn count(times: &[u64], from: u64, length: u64) -> u32 {
    let is_inside = |at: &&u64| **at >= from && **at < from + length;
    u32::try_from(times.iter().filter(is_inside).count()).unwrap_or(u32::MAX)
}
