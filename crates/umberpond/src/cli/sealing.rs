//! Seals the secrets of a bundle on the operator's machine, which plaintext values never leave.

use std::collections::BTreeMap;
use std::os::unix::ffi::OsStringExt;

use umberpond_config::{Bundle, BundleSource, CheckReport, SealKey, SecretValue};
use umberpond_model::ServiceName;

/// Seals the secrets of `source` with the seal keys of its own services and with `keys`.
///
/// # Errors
/// Returns a fault for each reader without a key and each value that is missing or invalid.
pub(super) fn seal(
    source: &BundleSource,
    keys: &BTreeMap<ServiceName, SealKey>,
) -> Result<Bundle, CheckReport> {
    source.seal(keys, from_environment, &mut rand::rng())
}

fn from_environment(variable: &str) -> Option<SecretValue> {
    std::env::var_os(variable).map(|value| SecretValue::new(value.into_vec()))
}
