//! `umberpond submission`: prints the outcome of a submission. Also prints the results of `apply` and
//! `withdraw`.

use bytes::Bytes;
use http::{Method, Response};
use serde::Serialize;
use umberpond_model::{SubmissionId, Version};
use umberpond_operator::admin::api::{Progress, SubmissionResult};

use super::admin_client::{AdminClient, AdminError};
use super::flags;
use super::output::Format;
use super::{Exit, runtime};

/// Settings of `umberpond submission`.
pub(super) struct SubmissionSettings {
    id: String,
    method: Method,
    client: AdminClient,
    format: Format,
}

impl From<flags::Submission> for SubmissionSettings {
    fn from(flags: flags::Submission) -> Self {
        let client = AdminClient::new(flags.node);
        let method = if flags.abandon { Method::DELETE } else { Method::GET };
        Self { id: flags.id, method, client, format: Format::from_flag(flags.json) }
    }
}

/// Requests the outcome of the submission from the node, or abandons the submission.
pub(super) fn run(settings: &SubmissionSettings) -> Exit {
    let Ok(submission) = settings.id.parse::<SubmissionId>() else {
        eprintln!("`{}` is no submission identifier: it has up to 32 hex digits", settings.id);
        return Exit::Usage;
    };
    runtime::block_on(async {
        let path = format!("/v1/submissions/{submission}");
        let response = settings.client.send(settings.method.clone(), &path, Bytes::new()).await;
        match response.and_then(|response| read_result(&settings.client, &response)) {
            Ok(result) => print_result(settings.format, SubmissionOutput { result, progress: None }),
            Err(error) => {
                eprintln!("{:?}", miette::Report::new(error));
                Exit::Unreachable
            }
        }
    })
}

/// Output of `apply`, `withdraw` and `submission`.
#[derive(Debug, Clone, Serialize)]
pub(super) struct SubmissionOutput {
    /// Result of the submission.
    #[serde(flatten)]
    pub(super) result: SubmissionResult,
    /// Activation progress of the version at the end of `--wait`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) progress: Option<Progress>,
}

/// Deserializes the result of a submission, regardless of the status code.
pub(super) fn read_result(
    client: &AdminClient,
    response: &Response<Bytes>,
) -> Result<SubmissionResult, AdminError> {
    client.read(response).map_err(|_| client.error_of(response))
}

/// Prints a result and returns the corresponding exit code.
pub(super) fn print_result(format: Format, output: SubmissionOutput) -> Exit {
    let exit = exit_code(&output);
    format.print(&output, |output| text_of(&output.result));
    exit
}

const fn exit_code(output: &SubmissionOutput) -> Exit {
    match (&output.result, &output.progress) {
        (SubmissionResult::Accepted { .. }, Some(progress)) if !progress.everywhere => Exit::NotActive,
        (SubmissionResult::Accepted { .. }, _) => Exit::Ok,
        (SubmissionResult::Invalid { .. } | SubmissionResult::Conflict { .. }, _) => Exit::Refused,
        (SubmissionResult::NotAccepted { .. }, _) => Exit::NotAccepted,
        (SubmissionResult::Unknown { .. }, _) => Exit::Unknown,
    }
}

fn text_of(result: &SubmissionResult) -> String {
    match result {
        SubmissionResult::Accepted { version, submission } => {
            format!("accepted as version {version} (submission {submission})")
        }
        SubmissionResult::Invalid { report, .. } => {
            format!("refused, nothing changed\n{:?}", miette::Report::new(report.clone()))
        }
        SubmissionResult::Conflict { reason, winner, report, .. } => {
            conflict_text(reason, *winner, report.as_ref())
        }
        SubmissionResult::NotAccepted { reason, retry_after_millis, .. } => {
            format!("not accepted, nothing changed: {reason}; try again after {retry_after_millis} ms")
        }
        SubmissionResult::Unknown { submission } => {
            format!("unknown: ask again with `umberpond submission {submission}`")
        }
    }
}

fn conflict_text(
    reason: &str,
    winner: Option<Version>,
    report: Option<&umberpond_config::CheckReport>,
) -> String {
    let mut text = format!("conflict, nothing changed: {reason}");
    if let Some(winner) = winner {
        text.push_str(&format!("\nversion {winner} won"));
    }
    if let Some(report) = report {
        text.push_str(&format!("\n{:?}", miette::Report::new(report.clone())));
    }
    text
}

/// Returns the submission identifier given by a flag, or a new one; `None` if the flag is invalid.
pub(super) fn submission_id(flag: Option<&str>) -> Option<SubmissionId> {
    match flag {
        Some(text) => text.parse().ok(),
        None => Some(SubmissionId(rand::random())),
    }
}

/// Prints the failure of a change request and returns the corresponding exit code.
pub(super) fn print_failure(format: Format, submission: SubmissionId, error: AdminError) -> Exit {
    match error {
        AdminError::IncompleteResponse { .. } | AdminError::TimedOut { .. } => {
            eprintln!("{:?}", miette::Report::new(error));
            let result = SubmissionResult::Unknown { submission };
            print_result(format, SubmissionOutput { result, progress: None })
        }
        AdminError::ConnectFailed { .. } | AdminError::InvalidResponse { .. } => {
            eprintln!("{:?}", miette::Report::new(error));
            Exit::Unreachable
        }
        AdminError::Refused { .. } => {
            eprintln!("{:?}", miette::Report::new(error));
            Exit::Refused
        }
    }
}
