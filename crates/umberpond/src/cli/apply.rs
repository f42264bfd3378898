//! `umberpond apply`: submits a bundle.

use std::collections::BTreeMap;
use std::path::PathBuf;

use bytes::Bytes;
use http::Method;
use umberpond_config::{Bundle, BundleSource, SealKey};
use umberpond_daemon::settings::parse_duration;
use umberpond_model::{BundleName, ServiceName, SubmissionId};
use umberpond_operator::admin::api::{ServiceSealKey, SubmissionResult};

use super::admin_client::{AdminClient, AdminError};
use super::flags;
use super::output::Format;
use super::submission::{self, SubmissionOutput};
use super::{Exit, progress, runtime, sealing};

/// Settings of `umberpond apply`.
pub(super) struct ApplySettings {
    name: String,
    directory: PathBuf,
    change: ChangeSettings,
}

/// Settings shared by `apply` and `withdraw`.
pub(super) struct ChangeSettings {
    pub(super) wait: Option<String>,
    pub(super) submission: Option<String>,
    pub(super) client: AdminClient,
    pub(super) format: Format,
}

impl From<flags::Apply> for ApplySettings {
    fn from(flags: flags::Apply) -> Self {
        let change = ChangeSettings {
            wait: flags.wait,
            submission: flags.submission,
            client: AdminClient::new(flags.node),
            format: Format::from_flag(flags.json),
        };
        Self { name: flags.name, directory: flags.dir, change }
    }
}

/// Loads and seals the bundle, then submits it.
pub(super) fn run(settings: &ApplySettings) -> Exit {
    let format = settings.change.format;
    let source = match BundleSource::load(&settings.directory) {
        Ok(source) => source,
        Err(report) => {
            format.report(report);
            return Exit::Refused;
        }
    };
    runtime::block_on(async {
        let keys = match foreign_reader_keys(&settings.change.client, &source).await {
            Ok(keys) => keys,
            Err(error) => {
                eprintln!("{:?}", miette::Report::new(error));
                return Exit::Unreachable;
            }
        };
        match sealing::seal(&source, &keys) {
            Ok(bundle) => submit(&settings.name, Some(&bundle), &settings.change).await,
            Err(report) => {
                format.report(report);
                Exit::Refused
            }
        }
    })
}

/// Returns the seal keys of readers that other bundles define; sends no request if there are none.
pub(super) async fn foreign_reader_keys(
    client: &AdminClient,
    source: &BundleSource,
) -> Result<BTreeMap<ServiceName, SealKey>, AdminError> {
    if source.foreign_readers().is_empty() {
        return Ok(BTreeMap::new());
    }
    let keys: Vec<ServiceSealKey> = client.get("/v1/seal-keys").await?;
    Ok(keys.into_iter().map(|key| (key.service, key.seal_key)).collect())
}

/// Submits the bundle, or withdraws it if there is none; waits if `--wait` is given, and prints the result.
pub(super) async fn submit(name: &str, bundle: Option<&Bundle>, settings: &ChangeSettings) -> Exit {
    let name = match BundleName::new(name) {
        Ok(name) => name,
        Err(invalid) => {
            eprintln!("{invalid}");
            return Exit::Usage;
        }
    };
    let Some(submission) = submission::submission_id(settings.submission.as_deref()) else {
        eprintln!("a submission identifier has up to 32 hex digits");
        return Exit::Usage;
    };
    let limit = match settings.wait.as_deref().map(parse_duration).transpose() {
        Ok(limit) => limit,
        Err(invalid) => {
            eprintln!("--wait: {invalid}");
            return Exit::Usage;
        }
    };
    let result = match send(&name, submission, bundle, &settings.client).await {
        Ok(result) => result,
        Err(error) => return submission::print_failure(settings.format, submission, error),
    };
    let progress = match (&result, limit) {
        (SubmissionResult::Accepted { version, .. }, Some(limit)) => {
            progress::wait(&settings.client, *version, limit, settings.format).await
        }
        _ => None,
    };
    let has_waited = limit.is_some() && matches!(result, SubmissionResult::Accepted { .. });
    let has_progress = progress.is_some();
    let exit = submission::print_result(settings.format, SubmissionOutput { result, progress });
    if has_waited && !has_progress { Exit::NotActive } else { exit }
}

async fn send(
    name: &BundleName,
    submission: SubmissionId,
    bundle: Option<&Bundle>,
    client: &AdminClient,
) -> Result<SubmissionResult, AdminError> {
    let path = format!("/v1/bundles/{name}?submission={submission}");
    let (method, body) = match bundle {
        Some(bundle) => (Method::PUT, Bytes::from(bundle.to_bytes())),
        None => (Method::DELETE, Bytes::new()),
    };
    let response = client.send(method, &path, body).await?;
    submission::read_result(client, &response)
}
