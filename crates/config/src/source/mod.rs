//! Bundles as operators write them: a directory of TOML files, read whole, with all faults in one report.

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
use entries::STAND_IN_NAME;
use files::{Directory, fit_value};
pub use files::{MAX_BUNDLE_BYTES, MAX_FILE_BYTES, MAX_FILES, MAX_SECRET_BYTES};
pub use secret_source::{SecretSource, ValueSource};

use crate::check::{check_alone, check_entries};
use crate::{
    Bundle, CheckReport, EntryKind, EntryName, Fault, FaultKind, Origin, SealKey, SecretValue, seal,
};

/// A bundle as read from its directory, its secrets not yet sealed.
#[derive(Debug, Clone)]
pub struct BundleSource {
    /// The entries; the sealed values are empty.
    bundle: Bundle,
    secrets: BTreeMap<SecretName, SecretSource>,
}

/// Which references must resolve inside the bundle.
#[derive(Clone, Copy, PartialEq, Eq)]
enum References {
    /// Other bundles may define what this one lacks.
    MayLeadOut,
    /// The bundle is all there is.
    MustResolve,
}

impl BundleSource {
    /// Reads and checks the bundle in `directory` as a part of a whole: references to services, secrets and regions
    /// that it doesn't define are left to [`crate::join`].
    ///
    /// # Errors
    /// Returns all faults at once.
    pub fn load(directory: &Path) -> Result<Self, CheckReport> {
        Self::read(directory, References::MayLeadOut)
    }

    /// Reads and checks the bundle in `directory` as if no other were in force.
    ///
    /// # Errors
    /// Returns all faults at once.
    pub fn load_whole(directory: &Path) -> Result<Self, CheckReport> {
        Self::read(directory, References::MustResolve)
    }

    /// Services that read a secret of this bundle and whose seal keys other bundles define.
    #[must_use]
    pub fn foreign_readers(&self) -> BTreeSet<ServiceName> {
        let readers = self.secrets.values().flat_map(|secret| &secret.readers);
        readers.filter(|reader| !self.bundle.services.contains_key(*reader)).cloned().collect()
    }

    /// Seals every secret to each of its readers. `keys` holds the seal keys of services that this bundle doesn't
    /// define; `environment` looks up a variable of the command line's environment.
    ///
    /// # Errors
    /// Returns a fault for each reader without a key and each variable that is absent or unfit.
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
            let value = match clear_value(&source.value, &environment) {
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

/// Runs the checker over what was read, and leaves out what follows from faults that are reported already.
fn check(collected: &Collected, references: References) -> Vec<Fault> {
    let may_lead_out = references == References::MayLeadOut || collected.is_partial;
    let of_entries = check_entries(&collected.bundle).into_iter();
    let of_whole = check_alone(&collected.bundle).into_iter();
    of_entries
        .filter(|fault| !concerns_stand_in_value(fault, collected))
        .chain(of_whole.filter(|fault| !(may_lead_out && leads_out(&fault.kind))))
        .filter(|fault| !refers_to_stand_in(&fault.kind))
        .map(|fault| located(fault, collected))
        .collect()
}

/// Whether the checker saw a value that only stands in for a faulty one.
fn concerns_stand_in_value(fault: &Fault, collected: &Collected) -> bool {
    let may_stand_in =
        matches!(fault.kind, FaultKind::Empty | FaultKind::OutOfRange { .. } | FaultKind::BadPrefix { .. });
    let key = fault.entry.clone().zip(fault.key.clone());
    may_stand_in && key.is_some_and(|key| collected.faulty_keys.contains(&key))
}

/// Whether another bundle may define what the reference names.
const fn leads_out(kind: &FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::UnknownRegion { .. } | FaultKind::UnknownService { .. } | FaultKind::UnknownSecret { .. }
    )
}

fn refers_to_stand_in(kind: &FaultKind) -> bool {
    match kind {
        FaultKind::UnknownService { service } => service.as_str() == STAND_IN_NAME,
        FaultKind::UnknownSecret { secret } => secret.as_str() == STAND_IN_NAME,
        _ => false,
    }
}

/// Puts the line of the key and the name as written into a fault of the checker.
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

fn clear_value(
    source: &ValueSource,
    environment: impl Fn(&str) -> Option<SecretValue>,
) -> Result<SecretValue, FaultKind> {
    match source {
        ValueSource::File(value) => Ok(value.clone()),
        ValueSource::Environment(variable) => {
            // The variable isn't named: somebody may have written the value in its place.
            let reason = "the environment variable is not set".to_owned();
            let value = environment(variable).ok_or(FaultKind::UnreadableValue { reason })?;
            fit_value(value.expose())
        }
    }
}

fn secret_fault(name: &SecretName, origin: &Origin, key: &str, kind: FaultKind) -> Fault {
    let entry = EntryName { kind: EntryKind::Secret, name: name.to_string() };
    Fault { entry: Some(entry), key: Some(key.to_owned()), ..Fault::of_file(origin.clone(), kind) }
}
