//! Figures of a run, worked out from what was observed.

use std::collections::BTreeMap;

use serde::Serialize;
use umberpond_hollow::{Activation, Sample};

use super::changes::AcceptedChange;

/// Shortest time over which the busiest node's bytes are averaged, in milliseconds.
const BUSY_WINDOW_MILLIS: u64 = 10_000;

/// Percentiles of a time, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Percentiles {
    /// Half of the values are at most this.
    pub p50: u64,
    /// 99 of 100 values are at most this.
    pub p99: u64,
    /// The greatest value.
    pub max: u64,
    /// Count of values.
    pub count: usize,
}

impl Percentiles {
    /// Of `values`; all zero if there are none.
    pub fn of(mut values: Vec<u64>) -> Self {
        values.sort_unstable();
        let at = |per_cent: usize| {
            let rank = (values.len() * per_cent).div_ceil(100).max(1) - 1;
            values.get(rank).copied().unwrap_or(0)
        };
        Self { p50: at(50), p99: at(99), max: at(100), count: values.len() }
    }
}

/// Convergence of a group of nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Convergence {
    /// From sending the submission until the version or a later one was in force, for each version and node.
    pub from_submission: Percentiles,
    /// The same from the answer of the operator API; a node that was faster counts as 0.
    pub from_answer: Percentiles,
    /// Pairs of version and node for which that never came about.
    pub missing: usize,
    /// Times at which a node went back to an older version.
    pub went_back: usize,
}

impl Convergence {
    /// Of nodes with these activations, for these versions.
    pub fn of(nodes: &[Vec<Activation>], changes: &[AcceptedChange]) -> Self {
        let (mut from_submission, mut from_answer) = (Vec::new(), Vec::new());
        let mut missing = 0;
        for activations in nodes {
            for change in changes {
                let in_force = activations.iter().find(|activation| activation.version >= change.version);
                let Some(in_force) = in_force else {
                    missing += 1;
                    continue;
                };
                from_submission.push(in_force.at_unix_millis.saturating_sub(change.sent_unix_millis));
                from_answer.push(in_force.at_unix_millis.saturating_sub(change.answered_unix_millis));
            }
        }
        let went_back = nodes.iter().map(|activations| went_back(activations)).sum();
        let from_submission = Percentiles::of(from_submission);
        Self { from_submission, from_answer: Percentiles::of(from_answer), missing, went_back }
    }
}

fn went_back(activations: &[Activation]) -> usize {
    activations.windows(2).filter(|pair| pair[1].version < pair[0].version).count()
}

/// Cost of a group of nodes in the measured time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Cost {
    /// Nodes.
    pub nodes: usize,
    /// Control bytes a second, in and out, of the mean node.
    pub mean_bytes_per_second: f64,
    /// Control bytes a second of the node with the highest mean.
    pub highest_mean_bytes_per_second: f64,
    /// Control bytes a second of the busiest node in its busiest ten seconds or more.
    pub busiest_bytes_per_second: f64,
    /// Processor time of the mean node, in per cent of a core.
    pub mean_processor_percent: f64,
    /// Processor time of the busiest process divided by its nodes, in per cent of a core.
    pub highest_processor_percent: f64,
    /// Resident memory of the mean node at the end, in bytes.
    pub mean_resident_bytes: f64,
    /// Resident memory of the largest process divided by its nodes, in bytes.
    pub highest_resident_bytes: f64,
}

impl Cost {
    /// Of processes with these samples, each in order of time, between `from` and `until` (Unix milliseconds).
    #[expect(clippy::cast_precision_loss, reason = "figures for people")]
    pub fn of(processes: &[Vec<Sample>], from: u64, until: u64) -> Self {
        let mut cost = Self::default();
        let (mut bytes, mut processor, mut resident) = (0.0, 0.0, 0.0);
        for samples in processes {
            let samples: Vec<&Sample> =
                samples.iter().filter(|sample| (from..=until).contains(&sample.at_unix_millis)).collect();
            let (Some(first), Some(last)) = (samples.first(), samples.last()) else { continue };
            let nodes = last.control_bytes.len();
            let millis = last.at_unix_millis - first.at_unix_millis;
            if nodes == 0 || millis == 0 {
                continue;
            }
            cost.nodes += nodes;
            for rate in rates(first, last) {
                bytes += rate;
                cost.highest_mean_bytes_per_second = cost.highest_mean_bytes_per_second.max(rate);
            }
            cost.busiest_bytes_per_second = cost.busiest_bytes_per_second.max(busiest(&samples));
            let used = last.usage.processor_millis.saturating_sub(first.usage.processor_millis);
            let percent = used as f64 / millis as f64 * 100.0;
            processor += percent;
            resident += last.usage.resident_bytes as f64;
            let share = nodes as f64;
            cost.highest_processor_percent = cost.highest_processor_percent.max(percent / share);
            cost.highest_resident_bytes =
                cost.highest_resident_bytes.max(last.usage.resident_bytes as f64 / share);
        }
        let nodes = cost.nodes.max(1) as f64;
        cost.mean_bytes_per_second = bytes / nodes;
        cost.mean_processor_percent = processor / nodes;
        cost.mean_resident_bytes = resident / nodes;
        cost
    }
}

/// Bytes a second of each node between two samples.
#[expect(clippy::cast_precision_loss, reason = "figures for people")]
fn rates(first: &Sample, last: &Sample) -> impl Iterator<Item = f64> {
    let seconds = (last.at_unix_millis - first.at_unix_millis) as f64 / 1_000.0;
    let pairs = first.control_bytes.iter().zip(&last.control_bytes);
    pairs.map(move |(before, after)| after.saturating_sub(*before) as f64 / seconds)
}

/// Highest rate of any node over the shortest stretches of samples that are long enough.
fn busiest(samples: &[&Sample]) -> f64 {
    let mut highest: f64 = 0.0;
    for (index, first) in samples.iter().enumerate() {
        let is_long_enough =
            |last: &&&Sample| last.at_unix_millis >= first.at_unix_millis + BUSY_WINDOW_MILLIS;
        if let Some(last) = samples[index..].iter().find(is_long_enough) {
            highest = rates(first, last).fold(highest, f64::max);
        }
    }
    highest
}

/// Requests that the platform had more of, by kind and verb.
pub fn requests_between(
    before: &BTreeMap<String, u64>,
    after: &BTreeMap<String, u64>,
) -> BTreeMap<String, u64> {
    let more = |(name, count): (&String, &u64)| {
        (name.clone(), count.saturating_sub(before.get(name).copied().unwrap_or(0)))
    };
    after.iter().map(more).filter(|(_, count)| *count > 0).collect()
}
