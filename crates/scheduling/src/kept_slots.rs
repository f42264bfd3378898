//! Slots that new requests leave to calls.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after which offered calls are half forgotten.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Most of the slots that are kept, so that callers of a called service are served too.
const MOST_KEPT_SHARE: f64 = 0.5;

/// Work of calls of one rank.
#[derive(Debug, Clone, Copy)]
struct OfferedWork {
    /// Seconds of service, each counted less with time.
    seconds: f64,
    at: Instant,
}

impl OfferedWork {
    fn seconds(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.seconds * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

/// Slots that new requests leave to calls, in the measure in which calls have come.
///
/// A run holds its slot while its call waits for one. New requests that take longer than calls would fill all slots, and each call would wait for the end
/// of one.
#[derive(Debug, Default)]
pub(crate) struct KeptSlots {
    is_on: bool,
    offered: BTreeMap<u8, OfferedWork>,
    /// New requests that the back end works on.
    new_running: u32,
}

impl KeptSlots {
    /// Sets whether slots are kept.
    pub(crate) const fn switch(&mut self, is_on: bool) {
        self.is_on = is_on;
    }

    /// Takes in a call of `rank` that takes `service` in the back end.
    pub(crate) fn on_call_offered(&mut self, now: Instant, rank: u8, service: Duration) {
        let offered = self.offered.entry(rank).or_insert(OfferedWork { seconds: 0.0, at: now });
        let seconds = offered.seconds(now) + service.as_secs_f64();
        *offered = OfferedWork { seconds, at: now };
    }

    /// Whether a new request of `rank` may take one of `slots`. Calls of less urgent runs keep nothing from it.
    pub(crate) fn may_start_new(&self, now: Instant, rank: u8, slots: u32) -> bool {
        self.new_running < slots - self.kept(now, rank, slots)
    }

    /// Takes in that a new request has got a slot.
    pub(crate) const fn on_new_started(&mut self) {
        self.new_running += 1;
    }

    /// Takes in that a new request has left its slot.
    pub(crate) const fn on_new_finished(&mut self) {
        self.new_running = self.new_running.saturating_sub(1);
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "at most the number of slots"
    )]
    fn kept(&self, now: Instant, rank: u8, slots: u32) -> u32 {
        if !self.is_on {
            return 0;
        }
        let seconds: f64 = self.offered.range(..=rank).map(|(_, offered)| offered.seconds(now)).sum();
        let mean_life = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let busy = (seconds / mean_life).round();
        busy.min((f64::from(slots) * MOST_KEPT_SHARE).floor()) as u32
    }
}
