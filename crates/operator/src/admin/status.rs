//! State of a node, and activation progress of a version.

use http::StatusCode;
use umberpond_membership::{BackEndRecord, BackEndState, MemberPhase, MemberView, Reachability};
use umberpond_model::Version;
use umberpond_scheduling::LoadReport;

use super::api::{BackEndStatus, MemberStatus, NodeStatus, Progress, Readiness};
use super::response::ApiResponse;
use super::shared::AdminShared;

/// Maximum number of nodes listed as being behind.
const MAX_BEHIND: usize = 20;

/// Returns whether the node is ready for callers, with a matching status code.
pub(super) fn readiness(shared: &AdminShared) -> ApiResponse {
    let readiness = readiness_of(shared);
    let status = if readiness.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    ApiResponse::json(status, &readiness)
}

fn readiness_of(shared: &AdminShared) -> Readiness {
    match shared.daemon.readiness() {
        Ok(()) => Readiness { ready: true, reason: None },
        Err(unready) => Readiness { ready: false, reason: Some(unready.to_string()) },
    }
}

/// Returns the metrics in the Prometheus text format.
pub(super) fn metrics(shared: &AdminShared) -> ApiResponse {
    ApiResponse::text(StatusCode::OK, shared.daemon.metrics())
}

/// Returns the state of the node.
pub(super) async fn node(shared: &AdminShared) -> ApiResponse {
    let daemon = &shared.daemon;
    let config = daemon.config();
    let members = daemon.members().await;
    let own = daemon.back_end().record();
    let status = NodeStatus {
        node: config.node.clone(),
        service: config.service.clone(),
        locality: config.locality.clone(),
        readiness: readiness_of(shared),
        version: active(shared),
        reads_store: daemon.reads_store().await,
        back_end: own.as_ref().map(|record| back_end(record, &daemon.load())),
        members: members.iter().map(member).collect(),
    };
    ApiResponse::json(StatusCode::OK, &status)
}

/// Returns on how many nodes `version` is active, as known to this node.
pub(super) async fn progress(shared: &AdminShared, version: Version) -> ApiResponse {
    let is_active = |active: Option<Version>| active.is_some_and(|active| active >= version);
    let mut members = shared.daemon.members().await;
    members.retain(|member| member.record.phase != MemberPhase::Left);
    let (silent, not_silent): (Vec<MemberView>, Vec<MemberView>) =
        members.into_iter().partition(|member| member.reachability == Reachability::Silent);
    let behind: Vec<&MemberView> =
        not_silent.iter().filter(|member| !is_active(member.configuration.version)).collect();
    let nodes = not_silent.len() + 1;
    let own_behind = usize::from(!is_active(active(shared)));
    let active_count = nodes - behind.len() - own_behind;
    let progress = Progress {
        version,
        nodes: count(nodes),
        active: count(active_count),
        everywhere: active_count == nodes,
        silent: count(silent.len()),
        behind: behind.into_iter().take(MAX_BEHIND).map(member).collect(),
    };
    ApiResponse::json(StatusCode::OK, &progress)
}

fn active(shared: &AdminShared) -> Option<Version> {
    shared.daemon.activation().active().map(|active| active.version)
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn member(view: &MemberView) -> MemberStatus {
    let reachability = match view.reachability {
        Reachability::Reachable => "reachable",
        Reachability::OneWay => "one-way",
        Reachability::Silent => "silent",
    };
    MemberStatus {
        node: view.record.node.clone(),
        locality: view.record.locality.clone(),
        reachability: reachability.to_owned(),
        version: view.configuration.version,
        back_end: view.record.back_end.as_ref().map(|record| back_end(record, &view.load)),
    }
}

fn back_end(record: &BackEndRecord, load: &LoadReport) -> BackEndStatus {
    let state = match record.state {
        BackEndState::Ready => "ready",
        BackEndState::Draining => "draining",
        BackEndState::Unreachable => "unreachable",
    };
    BackEndStatus {
        instance: record.instance.clone(),
        service: record.service.clone(),
        state: state.to_owned(),
        running: load.running,
        waiting: load.waiting,
        slots: record.slots,
    }
}
