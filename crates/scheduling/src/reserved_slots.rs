//! Reserves slots for calls.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Half-life of the offered call work.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Maximum fraction of the slots that is reserved, so that the callers of a called service are served as
/// well.
const MAX_RESERVED_SHARE: f64 = 0.5;

/// Work of the calls of one priority.
#[derive(Debug, Clone, Copy)]
struct OfferedWork {
    /// Seconds of service, exponentially decayed.
    seconds: f64,
    at: Instant,
}

impl OfferedWork {
    fn seconds(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.seconds * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

/// Slots reserved for calls in proportion to the recently offered call work.
///
/// A run holds its slot while its call waits for one. Without a reservation, new requests that take longer
/// than calls would fill all slots, and each call would have to wait for one of them to finish.
#[derive(Debug, Default)]
pub(crate) struct ReservedSlots {
    is_enabled: bool,
    offered: BTreeMap<u8, OfferedWork>,
    /// New requests that are running.
    new_running: u32,
}

impl ReservedSlots {
    /// Enables or disables the reservation.
    pub(crate) const fn set_enabled(&mut self, is_enabled: bool) {
        self.is_enabled = is_enabled;
    }

    /// Records an offered call of `priority` with the expected service time `service`.
    pub(crate) fn on_call_offered(&mut self, now: Instant, priority: u8, service: Duration) {
        let offered = self.offered.entry(priority).or_insert(OfferedWork { seconds: 0.0, at: now });
        let seconds = offered.seconds(now) + service.as_secs_f64();
        *offered = OfferedWork { seconds, at: now };
    }

    /// Whether a new request of `priority` may take one of `slots`. Calls of lower priorities reserve no slots
    /// against it.
    pub(crate) fn may_start_new(&self, now: Instant, priority: u8, slots: u32) -> bool {
        self.new_running < slots - self.reserved(now, priority, slots)
    }

    /// Records that a new request got a slot.
    pub(crate) const fn on_new_started(&mut self) {
        self.new_running += 1;
    }

    /// Records that a new request released its slot.
    pub(crate) const fn on_new_finished(&mut self) {
        self.new_running = self.new_running.saturating_sub(1);
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "at most the number of slots"
    )]
    fn reserved(&self, now: Instant, priority: u8, slots: u32) -> u32 {
        if !self.is_enabled {
            return 0;
        }
        let seconds: f64 = self.offered.range(..=priority).map(|(_, offered)| offered.seconds(now)).sum();
        let time_constant = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let busy = (seconds / time_constant).round();
        busy.min((f64::from(slots) * MAX_RESERVED_SHARE).floor()) as u32
    }
}
