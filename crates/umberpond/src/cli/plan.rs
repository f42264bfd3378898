//! `umberpond plan`: shows what applying a bundle would change.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;

use umberpond_config::{Bundle, BundleSource, CheckReport, Plan, join};
use umberpond_model::BundleName;
use umberpond_operator::admin::api::Configuration;

use super::admin_client::{AdminClient, AdminError};
use super::output::Format;
use super::{Exit, apply, flags, runtime, sealing};

/// Settings of `umberpond plan`.
pub(super) struct PlanSettings {
    name: String,
    directory: PathBuf,
    client: AdminClient,
    format: Format,
}

impl From<flags::Plan> for PlanSettings {
    fn from(flags: flags::Plan) -> Self {
        Self {
            name: flags.name,
            directory: flags.dir,
            client: AdminClient::new(flags.node),
            format: Format::from_flag(flags.json),
        }
    }
}

/// Error of making a plan.
enum PlanError {
    InvalidBundle(CheckReport),
    Unreachable(AdminError),
}

impl From<CheckReport> for PlanError {
    fn from(report: CheckReport) -> Self {
        Self::InvalidBundle(report)
    }
}

impl From<AdminError> for PlanError {
    fn from(error: AdminError) -> Self {
        Self::Unreachable(error)
    }
}

/// Compares the newest accepted configuration with the one that applying the bundle would result in.
pub(super) fn run(settings: &PlanSettings) -> Exit {
    let name = match BundleName::new(&settings.name) {
        Ok(name) => name,
        Err(invalid) => {
            eprintln!("{invalid}");
            return Exit::Usage;
        }
    };
    runtime::block_on(async {
        match make_plan(&name, settings).await {
            Ok(plan) => {
                settings.format.print(&plan, ToString::to_string);
                Exit::Ok
            }
            Err(PlanError::InvalidBundle(report)) => {
                settings.format.report(report);
                Exit::Refused
            }
            Err(PlanError::Unreachable(error)) => {
                eprintln!("{:?}", miette::Report::new(error));
                Exit::Unreachable
            }
        }
    })
}

async fn make_plan(name: &BundleName, settings: &PlanSettings) -> Result<Plan, PlanError> {
    let source = BundleSource::load(&settings.directory)?;
    let keys = apply::foreign_reader_keys(&settings.client, &source).await?;
    let bundle = sealing::seal(&source, &keys)?;
    let configuration: Configuration = settings.client.get("/v1/configuration").await?;
    let mut bundles: BTreeMap<BundleName, Arc<Bundle>> =
        configuration.bundles.into_iter().map(|(name, bundle)| (name, Arc::new(bundle))).collect();
    let before = join(&bundles)?;
    bundles.insert(name.clone(), Arc::new(bundle));
    let after = join(&bundles)?;
    Ok(Plan::between(&before, &after))
}
