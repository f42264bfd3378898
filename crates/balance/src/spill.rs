//! When work spills from a nearer tier of localities to a farther one, with hysteresis.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use umberpond_model::Locality;

use crate::BalancerSettings;

/// Weight of the newest pick in the smoothed utilisation.
const UTILISATION_GAIN: f64 = 1.0 / 16.0;

/// How far an endpoint is from the caller's node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Tier {
    /// Same zone.
    Zone,
    /// Another zone of the same region.
    Region,
    /// Another allowed region.
    Elsewhere,
}

impl Tier {
    pub(crate) const COUNT: usize = 3;

    pub(crate) fn between(own: &Locality, other: &Locality) -> Self {
        if own == other {
            Self::Zone
        } else if own.region == other.region {
            Self::Region
        } else {
            Self::Elsewhere
        }
    }
}

/// Smoothed utilisation of one tier. Updates may be lost between threads, which costs only smoothness.
#[derive(Debug, Default)]
pub(crate) struct SpillState {
    utilisation_bits: AtomicU64,
    spilling: AtomicBool,
}

impl SpillState {
    /// Takes in the utilisation of the endpoint that won in this tier; returns whether the tier spills.
    pub(crate) fn on_pick(&self, utilisation: f64, settings: &BalancerSettings) -> bool {
        let before = f64::from_bits(self.utilisation_bits.load(Ordering::Relaxed));
        let smoothed = before + (utilisation - before) * UTILISATION_GAIN;
        self.utilisation_bits.store(smoothed.to_bits(), Ordering::Relaxed);
        if smoothed >= settings.spill_start {
            self.spilling.store(true, Ordering::Relaxed);
        } else if smoothed <= settings.spill_stop {
            self.spilling.store(false, Ordering::Relaxed);
        }
        self.spilling.load(Ordering::Relaxed)
    }
}
