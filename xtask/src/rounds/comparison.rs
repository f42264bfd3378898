//! Compares two sets of measured runs.

use std::collections::BTreeMap;

use super::report::{ReportSet, RequestGroup, RunReport};

/// The comparison of two sets of runs, paired by name.
#[derive(Debug)]
pub struct Comparison {
    /// Runs that are in both sets.
    pub runs: Vec<RunPair>,
    /// Names of runs that are in one set only.
    pub unpaired: Vec<String>,
    /// Difference of the worth, over all pairs.
    pub worth: Difference,
    /// Mean share of the worth lost, by reason.
    pub prices: BTreeMap<String, Change>,
    /// Mean share of the credit earned, by kind of request.
    pub kinds: BTreeMap<String, Change>,
}

/// Reports of the same day and seed from both sets.
#[derive(Debug)]
pub struct RunPair {
    /// Name of both reports.
    pub name: String,
    /// Worth of the run.
    pub worth: Change,
    /// The window with the lowest credit in the run after the change.
    pub worst_window: Option<RequestGroup>,
    /// Names of the rules broken in the run after the change.
    pub broken: Vec<String>,
}

/// A figure before and after the change.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Change {
    /// Value before the change.
    pub before: f64,
    /// Value after the change.
    pub after: f64,
}

impl Change {
    /// Value after the change minus the value before it.
    pub fn difference(self) -> f64 {
        self.after - self.before
    }
}

/// Mean difference over several pairs, with its standard error.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Difference {
    /// Mean of the differences.
    pub mean: f64,
    /// Standard error of the mean; 0 with fewer than two pairs.
    pub error: f64,
}

impl Difference {
    /// Computes the mean and standard error of `differences`.
    pub fn of(differences: &[f64]) -> Self {
        let count = differences.len() as f64;
        if differences.is_empty() {
            return Self::default();
        }
        let mean = differences.iter().sum::<f64>() / count;
        if differences.len() < 2 {
            return Self { mean, error: 0.0 };
        }
        let squares: f64 = differences.iter().map(|difference| (difference - mean).powi(2)).sum();
        Self { mean, error: (squares / (count - 1.0) / count).sqrt() }
    }
}

impl Comparison {
    /// Pairs the runs of two sets by their names.
    pub fn of(before: &ReportSet, after: &ReportSet) -> Self {
        let names = before.runs.keys().chain(after.runs.keys());
        let is_paired = |name: &&String| before.runs.contains_key(*name) && after.runs.contains_key(*name);
        let mut unpaired: Vec<String> = names.filter(|name| !is_paired(name)).cloned().collect();
        unpaired.sort();
        let pairs: Vec<(&String, &RunReport, &RunReport)> = before
            .runs
            .iter()
            .filter_map(|(name, earlier)| Some((name, earlier, after.runs.get(name)?)))
            .collect();
        let runs: Vec<RunPair> =
            pairs.iter().map(|(name, earlier, later)| RunPair::of(name, earlier, later)).collect();
        let differences: Vec<f64> = runs.iter().map(|run| run.worth.difference()).collect();
        let prices = means(&pairs, |report| {
            report.prices.iter().map(|price| (price.reason.clone(), price.share)).collect()
        });
        let kinds = means(&pairs, |report| {
            report.kinds.iter().map(|kind| (kind.name.clone(), kind.credit)).collect()
        });
        Self { runs, unpaired, worth: Difference::of(&differences), prices, kinds }
    }
}

impl RunPair {
    fn of(name: &str, before: &RunReport, after: &RunReport) -> Self {
        let windows = after.windows.iter().filter(|window| window.sent > 0);
        let worst = windows.min_by(|left, right| left.credit.total_cmp(&right.credit));
        Self {
            name: name.to_owned(),
            worth: Change { before: before.worth, after: after.worth },
            worst_window: worst.cloned(),
            broken: after.breaks.keys().cloned().collect(),
        }
    }
}

/// Averages the named figures of the reports over all pairs.
fn means(
    pairs: &[(&String, &RunReport, &RunReport)],
    figures: impl Fn(&RunReport) -> Vec<(String, f64)>,
) -> BTreeMap<String, Change> {
    let share = 1.0 / pairs.len().max(1) as f64;
    let mut changes: BTreeMap<String, Change> = BTreeMap::new();
    for (_name, before, after) in pairs {
        for (name, figure) in figures(before) {
            changes.entry(name).or_default().before += figure * share;
        }
        for (name, figure) in figures(after) {
            changes.entry(name).or_default().after += figure * share;
        }
    }
    changes
}
