//! Status of the node and progress of versions.

use http::StatusCode;
use umberpond_model::{Locality, Version};
use umberpond_overlay::{LagReason, OverlayStatus, Report, Role};
use umberpond_telemetry::VersionStage;

use super::api::{LaggingNode, NodeStatus, Progress, VersionProgress, VersionStages, ZoneProgress};
use super::server::Answer;
use crate::platform::find_reader;
use crate::role_name::role_name;
use crate::shared::NodeShared;

/// Metrics in the Prometheus text format, brought up to date first.
pub(super) async fn metrics(shared: &NodeShared) -> Answer {
    let metrics = shared.environment.telemetry.metrics();
    if let Some(status) = shared.overlay_status().await {
        metrics.set_version(VersionStage::Held, status.held.unwrap_or_default());
        metrics.set_version(VersionStage::Committed, status.committed);
        metrics.set_version(VersionStage::Floor, status.floor.unwrap_or_default());
    }
    Answer::text(StatusCode::OK, metrics.encode())
}

/// State of the node.
pub(super) async fn node(shared: &NodeShared) -> Answer {
    match shared.overlay_status().await {
        Some(status) => Answer::json(StatusCode::OK, &node_status(shared, &status)),
        None => busy(),
    }
}

fn busy() -> Answer {
    Answer::refusal(StatusCode::SERVICE_UNAVAILABLE, "the overlay does not answer in time").retry_after(1)
}

/// State of the node, as told to operators.
pub(crate) fn node_status(shared: &NodeShared, overlay: &OverlayStatus) -> NodeStatus {
    NodeStatus {
        node: overlay.node.clone(),
        service: shared.config.service.clone(),
        edge: shared.config.is_edge(),
        locality: overlay.locality.clone(),
        incarnation: shared.environment.incarnation,
        uptime_millis: shared.environment.now().0,
        endpoint_status: shared.proxy.endpoint_status(),
        readiness: shared.readiness(),
        role: role_name(overlay.role).to_owned(),
        parent: overlay.parent.clone(),
        children: overlay.children.iter().map(|child| child.node.clone()).collect(),
        versions: VersionStages {
            held: overlay.held,
            active: shared.proxy.active_version(),
            committed: overlay.committed,
            floor: overlay.floor,
        },
        platform_available: overlay.platform_available,
        endpoint_records: overlay.endpoint_records,
        zones: zones(overlay),
    }
}

fn zones(overlay: &OverlayStatus) -> Vec<ZoneProgress> {
    overlay.zones.iter().map(|(locality, report)| zone(locality, report)).collect()
}

fn zone(locality: &Locality, report: &Report) -> ZoneProgress {
    let versions = report.versions.iter().map(|count| VersionProgress {
        version: count.version,
        held: count.held,
        active: count.active,
    });
    let laggards = report.laggards.iter().map(|laggard| LaggingNode {
        node: laggard.node.clone(),
        held: laggard.held,
        active: laggard.active,
        reason: lag_reason(laggard.reason).to_owned(),
    });
    ZoneProgress {
        locality: locality.clone(),
        nodes: report.nodes(),
        versions: versions.collect(),
        laggards: laggards.collect(),
    }
}

const fn lag_reason(reason: LagReason) -> &'static str {
    match reason {
        LagReason::NoFloorProof => "its version floor is not proved yet",
        LagReason::AwaitsTransfer => "it waits for a whole transfer",
        LagReason::AwaitsCommit => "it holds the version, which is not committed yet",
        LagReason::Disconnected => "its connection was lost",
        LagReason::Slow => "updates to it are not acknowledged in time",
    }
}

/// How far `version` has come. Only readers know; another node points to one.
pub(super) async fn progress(shared: &NodeShared, path: &str, version: Version) -> Answer {
    let Some(overlay) = shared.overlay_status().await else { return busy() };
    if overlay.role == Role::Reader {
        return Answer::json(StatusCode::OK, &progress_of(&overlay, version));
    }
    match find_reader(&shared.client, &shared.config.node).await {
        Some(reader) => Answer::redirect(format!("http://{}{path}", reader.admin)),
        None => Answer::refusal(StatusCode::SERVICE_UNAVAILABLE, "no reader is known yet").retry_after(1),
    }
}

fn progress_of(overlay: &OverlayStatus, version: Version) -> Progress {
    let mut whole = Report::default();
    for report in overlay.zones.values() {
        whole.add(report);
    }
    let nodes = whole.nodes();
    let active = whole.running(version);
    Progress {
        version,
        nodes,
        held: whole.holding(version),
        active,
        everywhere: nodes > 0 && active >= nodes,
        zones: zones(overlay),
    }
}
