//! `umberpond status`: prints the state of a node, or the activation progress of a version.

use std::fmt::Write;

use umberpond_model::Version;
use umberpond_operator::admin::api::{BackEndStatus, MemberStatus, NodeStatus, Progress};

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

/// Requests the status from the node and prints it.
pub(super) fn run(settings: &StatusSettings) -> Exit {
    let result = block_on_print_status(settings);
    match result {
        Ok(()) => Exit::Ok,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            Exit::Unreachable
        }
    }
}

fn block_on_print_status(settings: &StatusSettings) -> Result<(), AdminError> {
    let mut result = Ok(());
    runtime::block_on(async {
        result = print_status(settings).await;
        Exit::Ok
    });
    result
}

async fn print_status(settings: &StatusSettings) -> Result<(), AdminError> {
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
    let NodeStatus { node, service, locality, readiness, .. } = status;
    let role = if status.reads_store { ", reads the store" } else { "" };
    let mut text = format!("{node} (beside {service}, {locality}{role})\n");
    match &readiness.reason {
        None => text.push_str("ready"),
        // Writing to a `String` can't fail.
        Some(reason) => drop(write!(text, "not ready: {reason}")),
    }
    let _ = write!(text, "; active version {}", version_text(status.version));
    if let Some(back_end) = &status.back_end {
        let _ = write!(text, "\nback end {}", back_end_text(back_end));
    }
    text.push_str(&members_text(&status.members));
    text
}

fn progress_text(progress: &Progress) -> String {
    let Progress { version, nodes, active, silent, .. } = progress;
    let mut text = format!("version {version}: active on {active} of {nodes} nodes");
    if *silent > 0 {
        let _ = write!(text, "; {silent} more are silent");
    }
    text.push_str(&members_text(&progress.behind));
    text
}

fn members_text(members: &[MemberStatus]) -> String {
    let mut text = String::new();
    for member in members {
        let version = version_text(member.version);
        let _ = write!(
            text,
            "\n{} ({}): {}, active version {version}",
            member.node, member.locality, member.reachability
        );
        if let Some(back_end) = &member.back_end {
            let _ = write!(text, ", back end {}", back_end_text(back_end));
        }
    }
    text
}

fn back_end_text(back_end: &BackEndStatus) -> String {
    let BackEndStatus { instance, service, state, running, waiting, slots } = back_end;
    format!("{instance} of {service}: {state}, {running} of {slots} slots in use, {waiting} requests wait")
}

fn version_text(version: Option<Version>) -> String {
    version.map_or_else(|| "none".to_owned(), |version| version.to_string())
}
