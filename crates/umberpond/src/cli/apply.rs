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

/// Settings that `apply` and `withdraw` share.
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

/// Reads, checks and seals the bundle, then submits it.
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
        let keys = match keys_of_foreign_readers(&settings.change.client, &source).await {
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

/// Seal keys of readers that other bundles define; asks the node only if there are such readers.
pub(super) async fn keys_of_foreign_readers(
    client: &AdminClient,
    source: &BundleSource,
) -> Result<BTreeMap<ServiceName, SealKey>, AdminError> {
    if source.foreign_readers().is_empty() {
        return Ok(BTreeMap::new());
    }
    let keys: Vec<ServiceSealKey> = client.get("/v1/seal-keys").await?;
    Ok(keys.into_iter().map(|key| (key.service, key.seal_key)).collect())
}

/// Puts a bundle, or withdraws it if there is none, waits if asked to, and prints the result.
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
        Err(error) => return submission::tell_failure(settings.format, submission, error),
    };
    let progress = match (&result, limit) {
        (SubmissionResult::Accepted { version, .. }, Some(limit)) => {
            progress::wait(&settings.client, *version, limit, settings.format).await
        }
        _ => None,
    };
    let has_waited = limit.is_some() && matches!(result, SubmissionResult::Accepted { .. });
    let was_told = progress.is_some();
    let exit = submission::tell(settings.format, SubmissionOutput { result, progress });
    if has_waited && !was_told { Exit::NotInForce } else { exit }
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
    let answer = client.send(method, &path, body).await?;
    submission::read_result(client, &answer)
}
