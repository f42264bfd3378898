//! Which faults a soak plays, drawn from its seed.

use std::fmt;
use std::time::Duration;

use rand::{Rng, RngExt};
use serde::Serialize;

/// Shortest and longest time of a fault, in milliseconds.
const FAULT_MILLIS: std::ops::Range<u64> = 400..4_000;
/// Shortest and longest pause before the next fault, in milliseconds. Faults overlap.
const PAUSE_MILLIS: std::ops::Range<u64> = 300..2_000;

/// Shortest and longest time between two series, in milliseconds. Series overlap with one another and with single faults.
const SERIES_PAUSE_MILLIS: std::ops::Range<u64> = 500..3_000;
/// Shortest and longest time between two faults of a series, in milliseconds.
const SERIES_GAP_MILLIS: std::ops::Range<u64> = 50..800;
/// Shortest and longest time of a fault of a series, in milliseconds.
const SERIES_FAULT_MILLIS: std::ops::Range<u64> = 200..1_500;
/// Least and most nodes that a series hits; fewer than all, so that somebody serves.
const SERIES_NODES: std::ops::Range<usize> = 2..5;

/// What a fault does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process of a node is killed, and started anew at the end.
    Kill,
    /// The process of a node is told to stop, and started anew once it has ended.
    PlannedStop,
    /// The process of a node is paused.
    Pause,
    /// Nothing passes to or from a node's listeners.
    Silence,
    /// Nothing passes to a node's listeners; its answers do.
    CutTowards,
    /// A node's listeners are reached; their answers are not heard.
    CutBack,
    /// Everything to and from a node's listeners is late.
    Delay,
    /// All connections to a node's listeners are reset.
    Reset,
    /// A node can't reach the store, while others do.
    StoreCut,
    /// A node's connections to the store are reset.
    StoreReset,
    /// The store answers nobody.
    StoreDown,
    /// The store refuses everybody as overloaded.
    StoreOverloaded,
    /// The store answers late.
    StoreSlow,
    /// Changes take effect in the store, and their answers are lost.
    StoreLosesAnswers,
    /// The process of a node is told that its settings have changed.
    Reload,
    /// The back end of a node turns all work away.
    BackEndRefuses,
    /// The answers of a node's back end break off.
    BackEndCuts,
}

impl FaultKind {
    /// The kinds that come one by one. New kinds come in series only, so that a seed plays the faults that it always did.
    const SINGLE: [Self; 14] = [
        Self::Kill,
        Self::PlannedStop,
        Self::Pause,
        Self::Silence,
        Self::CutTowards,
        Self::CutBack,
        Self::Delay,
        Self::Reset,
        Self::StoreCut,
        Self::StoreReset,
        Self::StoreDown,
        Self::StoreOverloaded,
        Self::StoreSlow,
        Self::StoreLosesAnswers,
    ];

    /// The kinds that hit some nodes one after the other.
    const IN_SERIES: [Self; 7] = [
        Self::PlannedStop,
        Self::Kill,
        Self::Pause,
        Self::Reset,
        Self::Reload,
        Self::BackEndRefuses,
        Self::BackEndCuts,
    ];
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Milliseconds from the begin of the load.
    pub at_millis: u64,
    /// How long it lasts, in milliseconds.
    pub millis: u64,
    /// What it does.
    pub kind: FaultKind,
    /// Number of the node that it hits.
    pub node: usize,
}

/// The faults of a soak of `length` on `nodes` nodes; all are over at its end.
pub fn draw(random: &mut impl Rng, length: Duration, nodes: usize) -> Vec<Fault> {
    let length = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let mut faults = Vec::new();
    let mut at_millis = 0;
    loop {
        at_millis += random.random_range(PAUSE_MILLIS);
        let millis = random.random_range(FAULT_MILLIS);
        if at_millis + millis > length {
            return faults;
        }
        let kind = FaultKind::SINGLE[random.random_range(0..FaultKind::SINGLE.len())];
        faults.push(Fault { at_millis, millis, kind, node: random.random_range(0..nodes) });
    }
}

/// The series of faults of a soak of `length` on `nodes` nodes; all are over at its end.
pub fn draw_series(random: &mut impl Rng, length: Duration, nodes: usize) -> Vec<Fault> {
    let length = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let mut faults = Vec::new();
    let mut series_at = 0;
    while series_at < length {
        series_at += random.random_range(SERIES_PAUSE_MILLIS);
        let kind = FaultKind::IN_SERIES[random.random_range(0..FaultKind::IN_SERIES.len())];
        let first = random.random_range(0..nodes);
        let gap = random.random_range(SERIES_GAP_MILLIS);
        for number in 0..random.random_range(SERIES_NODES) {
            let at_millis = series_at + gap * number as u64;
            let millis = random.random_range(SERIES_FAULT_MILLIS);
            let node = (first + number) % nodes;
            if at_millis + millis <= length {
                faults.push(Fault { at_millis, millis, kind, node });
            }
        }
    }
    faults
}
