//! `umberpond replace-witnesses`: an operator gives witnesses up that have ended for good.

use std::collections::BTreeSet;
use std::fmt::Write as _;

use bytes::Bytes;
use http::Method;
use umberpond_model::{InvalidName, NodeName, SubmissionId, Version};
use umberpond_node::admin::api::{ReplacementRequest, SubmissionResult, WitnessPlan};

use super::admin_client::{AdminClient, AdminError};
use super::output::Format;
use super::submission::{self, SubmissionOutput};
use super::{Exit, flags, runtime};

/// What forcing asserts, and what follows if that is wrong.
const RISK: &str = "\
THE RISK. By forcing you assert that no process of the nodes named as lost runs or can go on (a suspended machine\n\
can), and that none is started before this command has answered. If that is wrong, and they are cut off from the\n\
platform, a node that restarts on their side can put an older version in force, until the cut ends.\n\
Stop the machines first, then force.";

/// Settings of `umberpond replace-witnesses`.
pub(super) struct ReplaceWitnessesSettings {
    lost: Vec<String>,
    forced_for: Option<Version>,
    submission: Option<String>,
    client: AdminClient,
    format: Format,
}

impl From<flags::ReplaceWitnesses> for ReplaceWitnessesSettings {
    fn from(flags: flags::ReplaceWitnesses) -> Self {
        Self {
            lost: flags.lost,
            forced_for: flags.force_version.map(Version),
            submission: flags.submission,
            client: AdminClient::new(flags.node),
            format: Format::from_flag(flags.json),
        }
    }
}

/// Asks the node to replace the lost witnesses and prints its answer: the plan and its risk, unless it was forced.
pub(super) fn run(settings: &ReplaceWitnessesSettings) -> Exit {
    let lost = match names(&settings.lost) {
        Ok(lost) if lost.is_empty() => {
            eprintln!("--lost names the witnesses that have ended for good");
            return Exit::Usage;
        }
        Ok(lost) => lost,
        Err(invalid) => {
            eprintln!("--lost: {invalid}");
            return Exit::Usage;
        }
    };
    let Some(submission) = submission::submission_id(settings.submission.as_deref()) else {
        eprintln!("a submission identifier has up to 32 hex digits");
        return Exit::Usage;
    };
    let request = ReplacementRequest { lost, forced_for: settings.forced_for };
    runtime::block_on(async {
        match send(&request, submission, &settings.client).await {
            Ok(result) => tell(settings.format, &request, result),
            Err(error) => submission::tell_failure(settings.format, submission, error),
        }
    })
}

fn names(flags: &[String]) -> Result<BTreeSet<NodeName>, InvalidName> {
    flags.iter().flat_map(|flag| flag.split(',')).map(|name| NodeName::new(name.trim())).collect()
}

async fn send(
    request: &ReplacementRequest,
    submission: SubmissionId,
    client: &AdminClient,
) -> Result<SubmissionResult, AdminError> {
    let path = format!("/v1/witnesses/replace?submission={submission}");
    // Names and a number always have a JSON form.
    let body = serde_json::to_vec(request).unwrap_or_default();
    let answer = client.send(Method::POST, &path, Bytes::from(body)).await?;
    submission::read_result(client, &answer)
}

fn tell(format: Format, request: &ReplacementRequest, result: SubmissionResult) -> Exit {
    let forcing = match &result {
        SubmissionResult::NotForced { plan, .. } => Some(forcing_text(request, plan)),
        _ => None,
    };
    let exit = submission::tell(format, SubmissionOutput { result, progress: None });
    if let Some(text) = forcing {
        eprintln!("{text}");
    }
    exit
}

/// The risk, and the command that takes it.
fn forcing_text(request: &ReplacementRequest, plan: &WitnessPlan) -> String {
    let lost = joined(request.lost.iter());
    let version = plan.witnesses_since;
    format!("{RISK}\nTo go on: umberpond replace-witnesses --lost {lost} --force-version {version}")
}

/// What the replacement would do, for people.
pub(super) fn plan_text(plan: &WitnessPlan) -> String {
    let mut text = format!("the set in question is that of version {}\n", plan.witnesses_since);
    // Writing to a string can't fail.
    let _ = write!(text, "witnesses from the new version on: {}", joined(plan.witnesses.iter()));
    if !plan.previous_witnesses.is_empty() {
        let previous = joined(plan.previous_witnesses.iter());
        let _ = write!(text, "\na majority of these must hold it too: {previous}");
    }
    if !plan.still_listed.is_empty() {
        let listed = joined(plan.still_listed.iter());
        let _ = write!(text, "\nSTILL ON THE MACHINE LIST, are they lost? {listed}");
    }
    text
}

fn joined<'a>(names: impl Iterator<Item = &'a NodeName>) -> String {
    names.map(NodeName::as_str).collect::<Vec<_>>().join(",")
}
