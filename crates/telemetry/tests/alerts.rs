//! Guards against alerts and dashboard panels that refer to metrics that don't exist.

use std::collections::BTreeSet;
use std::path::Path;

use umberpond_model::Version;
use umberpond_telemetry::{Direction, RequestDetail, Telemetry, VersionStage};

const PREFIX: &str = "umberpond_";

fn file(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(path);
    std::fs::read_to_string(path).unwrap()
}

/// Words of `text` that have the prefix of metric names.
fn names_in(text: &str) -> BTreeSet<String> {
    let words = text.split(|sign: char| !(sign.is_ascii_alphanumeric() || sign == '_'));
    words.filter(|word| word.starts_with(PREFIX)).map(str::to_owned).collect()
}

/// Names of all metrics of a node that has recorded each of them at least once.
fn existing() -> BTreeSet<String> {
    let telemetry = Telemetry::silent();
    let metrics = telemetry.metrics();
    metrics.control(Direction::Out, "heartbeat", 100);
    metrics.set_version(VersionStage::Active, Version(1));
    metrics.set_role("store-reader", true);
    metrics.platform_request("wait", "answered");
    metrics.request("answered", RequestDetail::Status(200));
    metrics.request_time(0.1);
    metrics.cut("timed-out");
    metrics.attempt();
    metrics.set_endpoints(3);
    metrics.set_ready(true);
    names_in(&metrics.encode())
}

#[test]
fn every_metric_of_the_alerts_and_the_dashboard_exists() {
    let existing = existing();
    for page in ["ALERTS.md", "dashboards/umberpond.json"] {
        let used = names_in(&file(page));
        let missing: Vec<&String> = used.difference(&existing).collect();
        assert!(used.len() >= 8, "{page} names {} metrics", used.len());
        assert!(missing.is_empty(), "{page}: {missing:?} are not among {existing:?}");
    }
}

#[test]
fn every_dashboard_panel_has_a_query() {
    let dashboard: serde_json::Value = serde_json::from_str(&file("dashboards/umberpond.json")).unwrap();
    let panels = dashboard["panels"].as_array().unwrap();
    assert!(panels.len() >= 10);
    for panel in panels {
        let query = panel["targets"][0]["expr"].as_str().unwrap_or_default();
        assert!(query.contains(PREFIX), "{}", panel["title"]);
    }
}
