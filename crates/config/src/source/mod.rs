//! Bundles as operators write them: directories of TOML files. All faults of a bundle are collected in one
//! report.

mod document;
mod entries;
mod files;
mod lines;
mod secret_source;
mod table;

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use rand::CryptoRng;
use umberpond_model::{SecretName, ServiceName};

use document::Collected;
use entries::PLACEHOLDER_NAME;
use files::{Directory, parse_header_value};
pub use files::{MAX_BUNDLE_BYTES, MAX_FILE_BYTES, MAX_FILES, MAX_SECRET_BYTES};
pub use secret_source::{SecretSource, ValueSource};

use crate::check::{check_entries, check_references};
use crate::{
    Bundle, CheckReport, EntryKind, EntryName, Fault, FaultKind, Origin, SealKey, SecretValue, seal,
};

/// A bundle read from its directory, with secrets that are not sealed yet.
#[derive(Debug, Clone)]
pub struct BundleSource {
    /// The entries; the sealed values are empty.
    bundle: Bundle,
    secrets: BTreeMap<SecretName, SecretSource>,
}

/// Which references must resolve inside the bundle.
#[derive(Clone, Copy, PartialEq, Eq)]
enum References {
    /// Other bundles may define the referenced entries.
    MayBeExternal,
    /// The bundle must define all referenced entries.
    MustResolve,
}

impl BundleSource {
    /// Reads and checks the bundle in `directory` as part of a larger configuration: references to services,
    /// secrets and regions that it does not define are checked by [`crate::join`].
    ///
    /// # Errors
    /// Returns all faults at once.
    pub fn load(directory: &Path) -> Result<Self, CheckReport> {
        Self::read(directory, References::MayBeExternal)
    }

    /// Reads and checks the bundle in `directory` as if no other were active.
    ///
    /// # Errors
    /// Returns all faults at once.
    pub fn load_whole(directory: &Path) -> Result<Self, CheckReport> {
        Self::read(directory, References::MustResolve)
    }

    /// Returns the services that read a secret of this bundle and are defined by other bundles, as are their
    /// seal keys.
    #[must_use]
    pub fn foreign_readers(&self) -> BTreeSet<ServiceName> {
        let readers = self.secrets.values().flat_map(|secret| &secret.readers);
        readers.filter(|reader| !self.bundle.services.contains_key(*reader)).cloned().collect()
    }

    /// Seals every secret to each of its readers. `keys` contains the seal keys of services that this bundle
    /// does not define; `environment` looks up an environment variable of the command line.
    ///
    /// # Errors
    /// Returns a fault for each reader without a key and each variable that is unset or has an invalid value.
    pub fn seal<R: CryptoRng + ?Sized>(
        &self,
        keys: &BTreeMap<ServiceName, SealKey>,
        environment: impl Fn(&str) -> Option<SecretValue>,
        rng: &mut R,
    ) -> Result<Bundle, CheckReport> {
        let mut bundle = self.bundle.clone();
        let mut faults = Vec::new();
        for (name, secret) in &mut bundle.secrets {
            let Some(source) = self.secrets.get(name) else { continue };
            let value = match plaintext_value(&source.value, &environment) {
                Ok(value) => value,
                Err(kind) => {
                    faults.push(secret_fault(name, &secret.origin, "environment", kind));
                    continue;
                }
            };
            for (reader, sealed) in &mut secret.value.readers {
                let key = self.seal_key(reader, keys);
                match key.map(|key| seal(name, &value, &key, rng)) {
                    Some(Ok(value)) => *sealed = value,
                    Some(Err(error)) => {
                        let kind = FaultKind::UnreadableValue { reason: error.to_string() };
                        faults.push(secret_fault(name, &secret.origin, "readers", kind));
                    }
                    None => {
                        let kind = FaultKind::ReaderWithoutSealKey { reader: reader.clone() };
                        faults.push(secret_fault(name, &secret.origin, "readers", kind));
                    }
                }
            }
        }
        match CheckReport::of(faults) {
            Some(report) => Err(report),
            None => Ok(bundle),
        }
    }

    fn seal_key(&self, reader: &ServiceName, keys: &BTreeMap<ServiceName, SealKey>) -> Option<SealKey> {
        match self.bundle.services.get(reader) {
            Some(service) => service.value.seal_key,
            None => keys.get(reader).copied(),
        }
    }

    fn read(path: &Path, references: References) -> Result<Self, CheckReport> {
        let directory = Directory::open(path)?;
        let (files, faults) = directory.read();
        let mut collected = Collected { is_partial: !faults.is_empty(), faults, ..Collected::default() };
        for file in &files {
            collected.read(file, &directory);
        }
        let found = check(&collected, references);
        collected.faults.extend(found);
        match CheckReport::of(collected.faults) {
            Some(report) => Err(report),
            None => Ok(Self { bundle: collected.bundle, secrets: collected.secrets }),
        }
    }
}

/// Runs the checker on the collected entries and omits faults that result from faults reported already.
fn check(collected: &Collected, references: References) -> Vec<Fault> {
    let may_be_external = references == References::MayBeExternal || collected.is_partial;
    let of_entries = check_entries(&collected.bundle).into_iter();
    let of_whole = check_references(&collected.bundle).into_iter();
    of_entries
        .filter(|fault| !concerns_placeholder(fault, collected))
        .chain(of_whole.filter(|fault| !(may_be_external && is_external_reference(&fault.kind))))
        .filter(|fault| !refers_to_placeholder(&fault.kind))
        .map(|fault| located(fault, collected))
        .collect()
}

/// Whether the fault concerns the placeholder of a faulty value.
fn concerns_placeholder(fault: &Fault, collected: &Collected) -> bool {
    let may_be_placeholder =
        matches!(fault.kind, FaultKind::Empty | FaultKind::OutOfRange { .. } | FaultKind::BadPrefix { .. });
    let key = fault.entry.clone().zip(fault.key.clone());
    may_be_placeholder && key.is_some_and(|key| collected.faulty_keys.contains(&key))
}

/// Whether another bundle may define the referenced entry.
const fn is_external_reference(kind: &FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::UnknownRegion { .. } | FaultKind::UnknownService { .. } | FaultKind::UnknownSecret { .. }
    )
}

fn refers_to_placeholder(kind: &FaultKind) -> bool {
    match kind {
        FaultKind::UnknownService { service } => service.as_str() == PLACEHOLDER_NAME,
        FaultKind::UnknownSecret { secret } => secret.as_str() == PLACEHOLDER_NAME,
        _ => false,
    }
}

/// Sets the line number of the key and the name as written in a fault of the checker.
fn located(mut fault: Fault, collected: &Collected) -> Fault {
    let Some(mut entry) = fault.entry.take() else {
        return fault;
    };
    if let Some(key) = &fault.key {
        let line = collected.key_lines.get(&(entry.clone(), key.clone()));
        fault.origin.line = line.copied().unwrap_or(fault.origin.line);
    }
    if let Some(written) = collected.written_names.get(&entry.name) {
        entry.name.clone_from(written);
    }
    fault.entry = Some(entry);
    fault
}

fn plaintext_value(
    source: &ValueSource,
    environment: impl Fn(&str) -> Option<SecretValue>,
) -> Result<SecretValue, FaultKind> {
    match source {
        ValueSource::File(value) => Ok(value.clone()),
        ValueSource::Environment(variable) => {
            // The message omits the variable's name, because an operator may have written the value in its
            // place.
            let reason = "the environment variable is not set".to_owned();
            let value = environment(variable).ok_or(FaultKind::UnreadableValue { reason })?;
            parse_header_value(value.expose())
        }
    }
}

fn secret_fault(name: &SecretName, origin: &Origin, key: &str, kind: FaultKind) -> Fault {
    let entry = EntryName { kind: EntryKind::Secret, name: name.to_string() };
    Fault { entry: Some(entry), key: Some(key.to_owned()), ..Fault::of_file(origin.clone(), kind) }
}
