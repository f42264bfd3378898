//! Generates the random faults of a soak.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use rand::{Rng, RngExt};
use serde::Serialize;

use super::signals::Signal;

/// Duration of a fault, in milliseconds.
const FAULT_MILLIS: std::ops::Range<u64> = 400..4_000;
/// Time between the starts of two faults, in milliseconds. It may be shorter than a fault, so faults overlap.
const PAUSE_MILLIS: std::ops::Range<u64> = 300..2_000;

/// Time between the starts of two series, in milliseconds. Series overlap with one another and with single
/// faults.
const SERIES_PAUSE_MILLIS: std::ops::Range<u64> = 500..3_000;
/// Time between the starts of two faults of a series, in milliseconds.
const SERIES_GAP_MILLIS: std::ops::Range<u64> = 50..800;
/// Duration of a fault in a series, in milliseconds.
const SERIES_FAULT_MILLIS: std::ops::Range<u64> = 200..1_500;
/// Number of nodes that a series hits. It is below the number of all nodes, so that some still serve
/// requests.
const SERIES_NODES: std::ops::Range<usize> = 2..5;

/// Probability that a back end advertises limits at all.
const LIMITED_SHARE: f64 = 0.5;
/// Time before and between the request limits of a back end, in milliseconds.
const SIGNAL_PAUSE_MILLIS: std::ops::Range<u64> = 500..12_000;
/// Duration of a request limit, in milliseconds. Consecutive limits of a back end may follow one another closely.
const LIMIT_MILLIS: std::ops::Range<u64> = 3_000..15_000;
/// Request limits, in thousandths per second.
const LIMITS: [u64; 4] = [400, 2_000, 5_500, 12_300];
/// Indices of the nodes whose back ends leave: `archive-3` and `billing-3`, whose services have others.
const LEAVING_NODES: [usize; 2] = [2, 5];

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Kills the process of a node, and starts a new one when the fault ends.
    Kill,
    /// Stops the process of a node gracefully, and starts a new one when the fault ends.
    PlannedStop,
    /// Suspends the process of a node.
    Pause,
    /// Blocks all traffic to and from a node's listeners.
    Silence,
    /// Blocks traffic to a node's listeners, but not from them.
    CutTowards,
    /// Blocks traffic from a node's listeners, but not to them.
    CutBack,
    /// Delays all traffic to and from a node's listeners.
    Delay,
    /// Resets all connections to a node's listeners for requests and control traffic of other nodes.
    Reset,
    /// Blocks traffic between one node and the store.
    StoreCut,
    /// Resets one node's connections to the store.
    StoreReset,
    /// The store is down for all nodes.
    StoreDown,
    /// The store refuses all requests as overloaded.
    StoreOverloaded,
    /// The store delays its responses.
    StoreSlow,
    /// Changes take effect in the store, but the responses are lost.
    StoreLosesAnswers,
    /// Sends SIGHUP to the process of a node, so that it reloads its settings.
    Reload,
    /// The back end of a node rejects all requests.
    BackEndRefuses,
    /// The back end of a node truncates its responses.
    BackEndCuts,
}

impl FaultKind {
    /// Kinds of single faults. Add new kinds to [`Self::IN_SERIES`] only, so that a seed keeps generating the
    /// same single faults.
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

    /// Kinds of faults that hit several nodes in succession.
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

/// A fault of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Start of the fault, in milliseconds from the start of the load.
    pub at_millis: u64,
    /// Duration, in milliseconds.
    pub millis: u64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Index of the node that it hits.
    pub node: usize,
}

/// Generates the single faults of a soak of `length` on `nodes` nodes. All of them end within `length`.
pub fn random_faults(random: &mut impl Rng, length: Duration, nodes: usize) -> Vec<Fault> {
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

/// Generates the series of faults of a soak of `length` on `nodes` nodes. All faults end within `length`.
pub fn random_series(random: &mut impl Rng, length: Duration, nodes: usize) -> Vec<Fault> {
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

/// A signal that the responses of a back end send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledSignal {
    /// Start of the signal, in milliseconds from the start of the load.
    pub at_millis: u64,
    /// Duration, in milliseconds; a back end that leaves does so until the end.
    pub millis: u64,
    /// What the responses say.
    pub signal: Signal,
}

/// Generates the signals of a soak of `length` on `nodes` nodes, in the order of time for each node. They overlap with
/// those of other nodes and with faults, but a back end sends one signal at a time. Back ends of services that have
/// another one may leave for good.
pub fn random_signals(
    random: &mut impl Rng,
    length: Duration,
    nodes: usize,
) -> BTreeMap<usize, Vec<ScheduledSignal>> {
    let length = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let mut signals: BTreeMap<usize, Vec<ScheduledSignal>> = BTreeMap::new();
    for node in (0..nodes).filter(|node| !LEAVING_NODES.contains(node)) {
        if !random.random_bool(LIMITED_SHARE) {
            continue;
        }
        let mut at_millis = random.random_range(SIGNAL_PAUSE_MILLIS);
        while at_millis < length {
            let millis = random.random_range(LIMIT_MILLIS).min(length - at_millis);
            let signal = Signal::Limited(LIMITS[random.random_range(0..LIMITS.len())]);
            signals.entry(node).or_default().push(ScheduledSignal { at_millis, millis, signal });
            at_millis += millis + random.random_range(SIGNAL_PAUSE_MILLIS);
        }
    }
    for node in LEAVING_NODES.into_iter().filter(|node| *node < nodes) {
        let at_millis = random.random_range(length / 4..length * 3 / 4);
        let leaving = ScheduledSignal { at_millis, millis: length - at_millis, signal: Signal::Leaving };
        signals.insert(node, vec![leaving]);
    }
    signals
}
