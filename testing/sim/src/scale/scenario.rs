//! What happens in a scale run: the ordinary day's changes and failures, and one storm.

use serde::Serialize;
use umberpond_model::Millis;

/// A storm that hits the run once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Storm {
    /// None: ordinary churn only.
    Calm,
    /// All machines of one zone are lost, and replaced later.
    ZoneLost,
    /// One region is cut off from all others and from the platform.
    RegionCut,
    /// The platform answers nothing, then slowly.
    PlatformAway,
    /// All readers die at once.
    ReadersDie,
    /// All processes of one zone restart together while the platform is away.
    ZoneRestart,
    /// Half of all processes restart within a second.
    HalfRestart,
}

impl Storm {
    /// All storms.
    pub const ALL: [Self; 7] = [
        Self::Calm,
        Self::ZoneLost,
        Self::RegionCut,
        Self::PlatformAway,
        Self::ReadersDie,
        Self::ZoneRestart,
        Self::HalfRestart,
    ];

    /// Name on the command line and in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::ZoneLost => "zone-lost",
            Self::RegionCut => "region-cut",
            Self::PlatformAway => "platform-away",
            Self::ReadersDie => "readers-die",
            Self::ZoneRestart => "zone-restart",
            Self::HalfRestart => "half-restart",
        }
    }
}

/// Size and course of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Scenario {
    /// Count of nodes.
    pub nodes: usize,
    /// Count of services.
    pub services: usize,
    /// Count of regions.
    pub regions: usize,
    /// Count of zones.
    pub zones: usize,
    /// Changes of configuration a second, on average (Poisson).
    pub changes_per_second: f64,
    /// Restarts and replacements a day for each 13,000 nodes.
    pub restarts_per_day: f64,
    /// Machine failures a day for each 13,000 nodes.
    pub failures_per_day: f64,
    /// Time before anything is measured: nodes start, the first version comes in force.
    pub warm_up: Millis,
    /// Measured time.
    pub measured: Millis,
    /// The storm, in the middle of the measured time.
    pub storm: Storm,
    /// How long the storm lasts.
    pub storm_time: Millis,
    /// Name of the run.
    pub seed: u64,
}

impl Scenario {
    /// The planned size at the ordinary day's peak (ten times the average rate of change), for `nodes` nodes.
    #[must_use]
    pub fn planned(nodes: usize, seed: u64) -> Self {
        Self {
            nodes,
            services: 420,
            regions: 6,
            zones: 15,
            changes_per_second: 6.0,
            restarts_per_day: 730.0,
            failures_per_day: 20.0,
            warm_up: Millis(60_000),
            measured: Millis(120_000),
            storm: Storm::Calm,
            storm_time: Millis(30_000),
            seed,
        }
    }
}
