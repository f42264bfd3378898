//! Tests of the comparison of two sets of runs.

use super::comparison::{Change, Comparison, Difference};
use super::report::{ReportSet, RunReport};

fn set(runs: &[(&str, f64)]) -> ReportSet {
    let report = |worth: f64| -> RunReport {
        serde_json::from_value(serde_json::json!({
            "G": worth, "ignored": 1, "breaks": {},
            "prices": [["memory", 4.0, 0.1]],
            "classes": [{"name": "status", "n": 10, "in_aim": 8, "late": 1, "refused": 1, "failed": 0, "worth": worth}],
            "windows": [
                {"name": "0", "n": 5, "in_aim": 5, "late": 0, "refused": 0, "failed": 0, "worth": 1.0},
                {"name": "2", "n": 5, "in_aim": 3, "late": 1, "refused": 1, "failed": 0, "worth": 0.6}],
        }))
        .unwrap()
    };
    ReportSet { runs: runs.iter().map(|(name, worth)| ((*name).to_owned(), report(*worth))).collect() }
}

#[test]
fn runs_are_paired_by_name_and_unpaired_runs_are_listed() {
    let before = set(&[("one", 0.5), ("two", 0.6), ("only-before", 0.1)]);
    let after = set(&[("one", 0.6), ("two", 0.8), ("only-after", 0.9)]);
    let comparison = Comparison::of(&before, &after);
    assert_eq!(comparison.runs.len(), 2);
    assert_eq!(comparison.unpaired, ["only-after", "only-before"]);
    assert!((comparison.worth.mean - 0.15).abs() < 1e-9);
    assert!((comparison.worth.error - 0.05).abs() < 1e-9);
    assert_eq!(comparison.runs[0].worst_window.as_ref().unwrap().name, "2");
    assert!((comparison.kinds["status"].difference() - 0.15).abs() < 1e-9);
    assert_eq!(comparison.prices["memory"], Change { before: 0.1, after: 0.1 });
}

#[test]
fn one_pair_has_no_standard_error_and_no_pairs_have_no_difference() {
    assert_eq!(Difference::of(&[0.25]), Difference { mean: 0.25, error: 0.0 });
    assert_eq!(Difference::of(&[]), Difference::default());
}
