//! `umberpond status`: the state of a node, or how far a version has come.

use std::fmt::Write;

use umberpond_model::Version;
use umberpond_node::admin::api::{NodeStatus, Progress, ZoneProgress};

use super::admin_client::{AdminClient, AdminError};
use super::output::Format;
use super::{Exit, flags, runtime};

/// Settings of `umberpond status`.
pub(super) struct StatusSettings {
    version: Option<Version>,
    client: AdminClient,
    format: Format,
}

impl From<flags::Status> for StatusSettings {
    fn from(flags: flags::Status) -> Self {
        Self {
            version: flags.version.map(Version),
            client: AdminClient::new(flags.node),
            format: Format::from_flag(flags.json),
        }
    }
}

/// Asks the node and prints its answer.
pub(super) fn run(settings: &StatusSettings) -> Exit {
    let asked = runtime_result(settings);
    match asked {
        Ok(()) => Exit::Ok,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            Exit::Unreachable
        }
    }
}

fn runtime_result(settings: &StatusSettings) -> Result<(), AdminError> {
    let mut result = Ok(());
    runtime::block_on(async {
        result = ask(settings).await;
        Exit::Ok
    });
    result
}

async fn ask(settings: &StatusSettings) -> Result<(), AdminError> {
    match settings.version {
        Some(version) => {
            let progress: Progress = settings.client.get(&format!("/v1/versions/{version}")).await?;
            settings.format.print(&progress, progress_text);
        }
        None => {
            let status: NodeStatus = settings.client.get("/v1/status").await?;
            settings.format.print(&status, status_text);
        }
    }
    Ok(())
}

fn status_text(status: &NodeStatus) -> String {
    let NodeStatus { node, service, locality, versions, readiness, .. } = status;
    let kind = if status.edge { "edge of" } else { "beside" };
    let mut text = format!("{node} ({kind} {service}, {locality}), role {}\n", status.role);
    let readiness = if readiness.ready {
        "ready".to_owned()
    } else {
        format!("not ready, waits for {:?}", readiness.waits_for)
    };
    // Writing to a string can't fail.
    let _ = writeln!(text, "{readiness}; endpoint {:?}", status.endpoint_status);
    let _ = writeln!(
        text,
        "versions: in force {}, held {}, committed {}, floor {}",
        version_text(versions.active),
        version_text(versions.held),
        versions.committed,
        version_text(versions.floor)
    );
    let parent = status.parent.as_ref().map_or("none".to_owned(), ToString::to_string);
    let _ = write!(text, "parent {parent}, {} children", status.children.len());
    text.push_str(&zones_text(&status.zones));
    text
}

fn progress_text(progress: &Progress) -> String {
    let Progress { version, nodes, held, active, .. } = progress;
    let mut text = format!("version {version}: held by {held} and in force on {active} of {nodes} nodes");
    text.push_str(&zones_text(&progress.zones));
    text
}

fn zones_text(zones: &[ZoneProgress]) -> String {
    let mut text = String::new();
    for zone in zones {
        let _ = write!(text, "\n{}: {} nodes", zone.locality, zone.nodes);
        for count in &zone.versions {
            let _ = write!(
                text,
                "\n  version {}: newest held by {}, in force on {}",
                count.version, count.held, count.active
            );
        }
        for laggard in &zone.laggards {
            let active = version_text(laggard.active);
            let _ = write!(text, "\n  {} lags with {active} in force: {}", laggard.node, laggard.reason);
        }
    }
    text
}

fn version_text(version: Option<Version>) -> String {
    version.map_or_else(|| "none".to_owned(), |version| version.to_string())
}
