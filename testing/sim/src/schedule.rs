//! Fault schedules, generated from a seed and shrunk to the shortest that still fails.

use std::fmt;

use quickcheck::{Arbitrary, Gen};
use serde::Serialize;
use umberpond_model::Millis;

/// Faults start within this time after the end of the warm-up.
pub const FAULT_WINDOW: Millis = Millis(20_000);
/// Largest number of faults in one schedule.
const MAX_FAULTS: usize = 6;
/// Shortest duration of a fault.
const MIN_DURATION: Millis = Millis(500);
/// Upper bound of the duration of a fault.
const MAX_DURATION: Millis = Millis(12_000);
/// On average, one fault in this many hits the same place as the fault generated before it, so that faults
/// combine on one node.
const SAME_PLACE_ONE_IN: usize = 3;

/// Effect of a fault. Its place is taken modulo the number of nodes or zones of the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// One process is killed, and restarted with empty state at the end of the fault.
    Kill,
    /// All processes of a zone are killed at once and restarted together.
    HerdRestart,
    /// A zone can reach neither the other zones nor the platform.
    CutZone,
    /// One process keeps running, but all its traffic is blocked.
    Freeze,
    /// The platform is unavailable.
    PlatformDown,
    /// The platform responds late.
    PlatformSlow,
    /// The platform applies changes, but some of its responses are lost.
    LoseAnswers,
    /// The platform ends all watches.
    EndWatches,
    /// Several operators submit at the same time.
    OperatorRace,
    /// Messages of different streams between nodes arrive out of order.
    CrossedUpdates,
    /// One node drains and stops, and is restarted at the end of the fault.
    PlannedStop,
    /// One back end is killed with requests in flight, and restarted at the end of the fault.
    BackEndDeath,
    /// One back end responds late.
    SlowBackEnd,
    /// The platform applies changes late, and all its responses are lost.
    LateLostAnswers,
    /// Every request to one node's inbound listener arrives a second time after a delay.
    DoubledRequests,
    /// A zone misses versions while it is cut off. Then the next zone restarts with empty state and reaches
    /// only the stale zone, so that neither knows the newest version.
    StaleZone,
    /// The responses of one back end advertise a request limit.
    LimitedBackEnd,
    /// The responses of one back end say that it is about to shut down. It is replaced at the end of the fault.
    LeavingBackEnd,
}

impl FaultKind {
    /// The kinds that consist of signals in the responses of back ends; the last ones of [`Self::ALL`].
    pub const SIGNALS: [Self; 2] = [Self::LimitedBackEnd, Self::LeavingBackEnd];

    /// All kinds.
    pub const ALL: [Self; 18] = [
        Self::Kill,
        Self::HerdRestart,
        Self::CutZone,
        Self::Freeze,
        Self::PlatformDown,
        Self::PlatformSlow,
        Self::LoseAnswers,
        Self::EndWatches,
        Self::OperatorRace,
        Self::CrossedUpdates,
        Self::PlannedStop,
        Self::BackEndDeath,
        Self::SlowBackEnd,
        Self::LateLostAnswers,
        Self::DoubledRequests,
        Self::StaleZone,
        Self::LimitedBackEnd,
        Self::LeavingBackEnd,
    ];

    /// Whether some nodes may not reach the store or not receive its responses during the fault.
    #[must_use]
    pub const fn impairs_store(self) -> bool {
        matches!(
            self,
            Self::CutZone
                | Self::Freeze
                | Self::PlatformDown
                | Self::PlatformSlow
                | Self::LoseAnswers
                | Self::LateLostAnswers
                | Self::StaleZone
        )
    }

    /// Whether some nodes can't reach others during the fault.
    #[must_use]
    pub const fn cuts_links(self) -> bool {
        matches!(self, Self::CutZone | Self::StaleZone)
    }

    /// Name used on the command line and in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::HerdRestart => "herd-restart",
            Self::CutZone => "cut-zone",
            Self::Freeze => "freeze",
            Self::PlatformDown => "platform-down",
            Self::PlatformSlow => "platform-slow",
            Self::LoseAnswers => "lose-answers",
            Self::EndWatches => "end-watches",
            Self::OperatorRace => "operator-race",
            Self::CrossedUpdates => "crossed-updates",
            Self::PlannedStop => "planned-stop",
            Self::BackEndDeath => "back-end-death",
            Self::SlowBackEnd => "slow-back-end",
            Self::LateLostAnswers => "late-lost-answers",
            Self::DoubledRequests => "doubled-requests",
            Self::StaleZone => "stale-zone",
            Self::LimitedBackEnd => "limited-back-end",
            Self::LeavingBackEnd => "leaving-back-end",
        }
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A scheduled fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Start time, counted from the end of the warm-up.
    pub at: Millis,
    /// Effect of the fault.
    pub kind: FaultKind,
    /// Duration of the fault.
    pub duration: Millis,
    /// Selects the node, zone or link that the fault hits.
    pub place: usize,
}

impl Fault {
    fn generate(generator: &mut Gen, kinds: &[FaultKind]) -> Self {
        let kind = *generator.choose(kinds).unwrap_or(&FaultKind::Kill);
        let span = MAX_DURATION.0 - MIN_DURATION.0;
        Self {
            at: Millis(u64::arbitrary(generator) % FAULT_WINDOW.0),
            kind,
            duration: Millis(MIN_DURATION.0 + u64::arbitrary(generator) % span),
            place: usize::from(u16::arbitrary(generator)),
        }
    }
}

/// The faults of one run, ordered by start time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Schedule {
    /// The faults.
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// Generates the schedule of `seed`, with faults of `kinds` only.
    #[must_use]
    pub fn from_seed(seed: u64, kinds: &[FaultKind]) -> Self {
        let mut generator = Gen::from_size_and_seed(MAX_FAULTS, seed);
        let count = 1 + usize::arbitrary(&mut generator) % MAX_FAULTS;
        let mut faults: Vec<Fault> = Vec::with_capacity(count);
        for _ in 0..count {
            let mut fault = Fault::generate(&mut generator, kinds);
            let reuses_place = usize::arbitrary(&mut generator) % SAME_PLACE_ONE_IN == 0;
            if let Some(previous) = faults.last().filter(|_| reuses_place) {
                fault.place = previous.place;
            }
            faults.push(fault);
        }
        faults.sort_by_key(|fault| fault.at);
        Self { faults }
    }

    /// End of the last fault, counted from the end of the warm-up.
    #[must_use]
    pub fn end(&self) -> Millis {
        self.faults.iter().map(|fault| Millis(fault.at.0 + fault.duration.0)).max().unwrap_or_default()
    }

    /// Candidates for shrinking: schedules with one fault removed, or with the duration of one fault halved.
    pub fn simpler(&self) -> impl Iterator<Item = Self> + '_ {
        let without_one = (0..self.faults.len()).map(|index| {
            let mut faults = self.faults.clone();
            faults.remove(index);
            Self { faults }
        });
        let with_one_shorter =
            (0..self.faults.len()).filter(|index| self.faults[*index].duration > MIN_DURATION).map(|index| {
                let mut faults = self.faults.clone();
                let halved = Millis(faults[index].duration.0 / 2);
                faults[index].duration = halved.max(MIN_DURATION);
                Self { faults }
            });
        without_one.chain(with_one_shorter)
    }

    /// Shrinks the schedule by steps of [`Schedule::simpler`] until no simpler candidate fails.
    #[must_use]
    pub fn shrink(self, still_fails: impl Fn(&Self) -> bool) -> Self {
        let mut current = self;
        loop {
            let simpler = current.simpler().find(&still_fails);
            let Some(simpler) = simpler else { return current };
            current = simpler;
        }
    }
}
