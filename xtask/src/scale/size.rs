//! How large a scale run is.

use std::time::Duration;

use serde::Serialize;
use umberpond_hollow::Places;

use crate::flags::Scale;

/// Regions and zones of the planned size.
const REGIONS: usize = 6;
const ZONES: usize = 15;

/// Services of the planned size.
const MAX_SERVICES: usize = 420;

const DEFAULT_REAL: usize = 6;
const DEFAULT_HOLLOW: usize = 200;
const DEFAULT_SECONDS: u64 = 60;
const DEFAULT_CHANGES_PER_SECOND: f64 = 1.0;
const DEFAULT_PER_PROCESS: usize = 100;
const DEFAULT_START_SECONDS: u64 = 5;

/// Real nodes killed in the run: one in this many, at least one.
const REAL_PER_KILL: usize = 20;

/// Size and course of a run.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Size {
    /// Real nodes.
    pub real: usize,
    /// Hollow nodes.
    pub hollow: usize,
    /// Hollow nodes of one process.
    pub per_process: usize,
    /// Seconds over which the hollow nodes start.
    pub start_seconds: u64,
    /// Measured seconds.
    pub seconds: u64,
    /// Changes a second, on average.
    pub changes_per_second: f64,
    /// Regions, zones and services.
    pub places: Places,
}

impl From<&Scale> for Size {
    fn from(options: &Scale) -> Self {
        let real = options.real.unwrap_or(DEFAULT_REAL).max(1);
        let hollow = options.hollow.unwrap_or(DEFAULT_HOLLOW);
        // The real nodes, through which changes are submitted, stand in as many zones as they can.
        let zones = ZONES.min(real);
        let services = (real + hollow).div_ceil(zones).clamp(2, MAX_SERVICES);
        Self {
            real,
            hollow,
            per_process: options.per_process.unwrap_or(DEFAULT_PER_PROCESS).max(1),
            start_seconds: options.start_seconds.unwrap_or(DEFAULT_START_SECONDS),
            seconds: options.seconds.unwrap_or(DEFAULT_SECONDS),
            changes_per_second: options.changes.unwrap_or(DEFAULT_CHANGES_PER_SECOND),
            places: Places { regions: REGIONS.min(zones), zones, services },
        }
    }
}

impl Size {
    /// The measured time.
    pub const fn measured(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    /// Real nodes that are killed; one always stays.
    pub fn kills(&self) -> usize {
        (self.real / REAL_PER_KILL).max(1).min(self.real - 1)
    }

    /// First number and count of the hollow nodes of each process.
    pub fn fleets(&self) -> Vec<(usize, usize)> {
        let starts = (0..self.hollow).step_by(self.per_process);
        starts.map(|start| (self.real + start, self.per_process.min(self.hollow - start))).collect()
    }
}
