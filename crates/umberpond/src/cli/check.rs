//! `umberpond check`: checks bundles without a node.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde::Serialize;
use umberpond_config::{Bundle, BundleSource, CheckReport, SealKey, SealKeyPair, SecretValue, join};
use umberpond_model::{BundleName, ServiceName};

use super::output::Format;
use super::{Exit, flags};

/// Settings of `umberpond check`.
pub(super) struct CheckSettings {
    directories: Vec<PathBuf>,
    format: Format,
}

impl From<flags::Check> for CheckSettings {
    fn from(flags: flags::Check) -> Self {
        Self { directories: flags.dirs, format: Format::from_flag(flags.json) }
    }
}

/// Output if no fault was found.
#[derive(Debug, Serialize)]
struct CheckOutput {
    services: usize,
    routes: usize,
    secrets: usize,
}

/// Checks each bundle, then the configuration that they form together.
pub(super) fn run(settings: &CheckSettings) -> Exit {
    let names = match names_of(&settings.directories) {
        Ok(names) => names,
        Err(directory) => {
            eprintln!("give directories whose last parts are distinct bundle names; `{directory}` is none");
            return Exit::Usage;
        }
    };
    match check(&names) {
        Ok(output) => {
            settings.format.print(&output, |output| {
                let CheckOutput { services, routes, secrets } = output;
                format!("no faults: {services} services, {routes} routes, {secrets} secrets")
            });
            Exit::Ok
        }
        Err(report) => {
            settings.format.report(report);
            Exit::Refused
        }
    }
}

fn names_of(directories: &[PathBuf]) -> Result<BTreeMap<BundleName, &Path>, String> {
    let mut names = BTreeMap::new();
    for directory in directories {
        let displayed = || directory.display().to_string();
        let canonical = directory.canonicalize().unwrap_or_else(|_| directory.clone());
        let last = canonical.file_name().and_then(|name| name.to_str()).ok_or_else(displayed)?;
        let name = BundleName::new(last).map_err(|_| displayed())?;
        if names.insert(name, directory.as_path()).is_some() {
            return Err(displayed());
        }
    }
    if names.is_empty() { Err(String::new()) } else { Ok(names) }
}

fn check(names: &BTreeMap<BundleName, &Path>) -> Result<CheckOutput, CheckReport> {
    let sources = load_all(names)?;
    let placeholder_key = SealKeyPair::generate(&mut rand::rng()).public();
    // The first pass only collects the seal keys of all services; the second one uses them.
    let keys = seal_keys(&seal_all(&sources, |source| {
        source.foreign_readers().into_iter().map(|reader| (reader, placeholder_key)).collect()
    })?);
    let bundles = seal_all(&sources, |_| keys.clone())?;
    let snapshot = join(&bundles)?;
    Ok(CheckOutput {
        services: snapshot.services.len(),
        routes: snapshot.routes.len(),
        secrets: snapshot.secrets.len(),
    })
}

fn load_all(names: &BTreeMap<BundleName, &Path>) -> Result<BTreeMap<BundleName, BundleSource>, CheckReport> {
    let loads_alone = names.len() == 1;
    collect(names.iter().map(|(name, directory)| {
        let source =
            if loads_alone { BundleSource::load_whole(directory) } else { BundleSource::load(directory) };
        (name.clone(), source)
    }))
}

fn seal_all(
    sources: &BTreeMap<BundleName, BundleSource>,
    keys: impl Fn(&BundleSource) -> BTreeMap<ServiceName, SealKey>,
) -> Result<BTreeMap<BundleName, Arc<Bundle>>, CheckReport> {
    // A check does not need the secrets from the environment; any value works.
    let any_value = |_: &str| Some(SecretValue::new(b"checked".to_vec()));
    collect(sources.iter().map(|(name, source)| {
        let bundle = source.seal(&keys(source), any_value, &mut rand::rng());
        (name.clone(), bundle.map(Arc::new))
    }))
}

/// Collects all results, or the faults of all of them.
fn collect<T>(
    results: impl Iterator<Item = (BundleName, Result<T, CheckReport>)>,
) -> Result<BTreeMap<BundleName, T>, CheckReport> {
    let mut whole = BTreeMap::new();
    let mut faults = Vec::new();
    for (name, result) in results {
        match result {
            Ok(value) => {
                whole.insert(name, value);
            }
            Err(report) => faults.extend(report.faults.into_iter().map(|mut fault| {
                fault.bundle.get_or_insert_with(|| name.clone());
                fault
            })),
        }
    }
    match CheckReport::of(faults) {
        Some(report) => Err(report),
        None => Ok(whole),
    }
}

fn seal_keys(bundles: &BTreeMap<BundleName, Arc<Bundle>>) -> BTreeMap<ServiceName, SealKey> {
    let services = bundles.values().flat_map(|bundle| &bundle.services);
    services.filter_map(|(name, service)| Some((name.clone(), service.value.seal_key?))).collect()
}
