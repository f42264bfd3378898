//! Delays between zones, and cuts.

use umberpond_model::{Millis, Timestamp};

/// One-way delay inside a zone.
pub(super) const SAME_ZONE: Millis = Millis(1);
/// One-way delay between zones of a region.
const SAME_REGION: Millis = Millis(2);
/// One-way delay between regions.
const OTHER_REGION: Millis = Millis(40);

/// A cut between a group of zones and all others.
#[derive(Debug, Clone)]
struct Cut {
    zones: Vec<usize>,
    until: Timestamp,
}

/// Delays and cuts. Zone `z` lies in region `z % regions`.
#[derive(Debug)]
pub struct Links {
    regions: usize,
    cuts: Vec<Cut>,
}

impl Links {
    /// Links without cuts.
    #[must_use]
    pub const fn new(regions: usize) -> Self {
        Self { regions, cuts: Vec::new() }
    }

    /// Cuts `zones` off from all other zones until `until`.
    pub fn cut(&mut self, zones: Vec<usize>, until: Timestamp) {
        self.cuts.push(Cut { zones, until });
    }

    /// One-way delay between two zones.
    #[must_use]
    pub const fn delay(&self, from: usize, to: usize) -> Millis {
        if from == to {
            SAME_ZONE
        } else if from % self.regions == to % self.regions {
            SAME_REGION
        } else {
            OTHER_REGION
        }
    }

    /// When the two zones can reach each other: `now`, or the end of the last cut between them.
    #[must_use]
    pub fn open_at(&self, now: Timestamp, from: usize, to: usize) -> Timestamp {
        let separates = |cut: &&Cut| cut.zones.contains(&from) != cut.zones.contains(&to);
        self.cuts.iter().filter(separates).map(|cut| cut.until).max().unwrap_or(now).max(now)
    }

    /// Whether a zone is cut off from the platform, which stands in zone 0.
    #[must_use]
    pub fn reaches_platform(&self, now: Timestamp, zone: usize) -> bool {
        self.open_at(now, zone, 0) == now
    }
}
