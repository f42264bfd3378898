//! The checker: finds faults of single entries and of the configuration that all active bundles form
//! together.

mod entries;
mod fault;
mod fault_kind;
mod joined;
mod located;
mod report;
mod routes;

use std::collections::BTreeMap;
use std::sync::Arc;

use umberpond_model::BundleName;

pub use fault::{EntryKind, EntryName, Fault};
pub use fault_kind::FaultKind;
pub use report::CheckReport;

pub(crate) use entries::check_entries;
use joined::JoinedBundles;

use crate::{Bundle, Snapshot};

/// Joins all active bundles into one closed snapshot.
///
/// Repeats all checks regardless of the bundles' origin: single entries, names defined by two bundles,
/// references between bundles, localities, readers of secrets and ambiguous routes.
///
/// # Errors
/// Returns all faults; no snapshot is created then.
pub fn join(bundles: &BTreeMap<BundleName, Arc<Bundle>>) -> Result<Snapshot, CheckReport> {
    let mut faults = Vec::new();
    for (name, bundle) in bundles {
        let in_bundle = |fault: Fault| Fault { bundle: Some(name.clone()), ..fault };
        faults.extend(check_entries(bundle).into_iter().map(in_bundle));
    }
    let joined = JoinedBundles::of(bundles.iter().map(|(name, bundle)| (Some(name), &**bundle)), &mut faults);
    joined.check(&mut faults);
    joined.check_sealed(&mut faults);
    match CheckReport::of(faults) {
        Some(report) => Err(report),
        None => Ok(joined.snapshot()),
    }
}

/// Checks the references of one bundle as if no other were active.
pub(crate) fn check_references(bundle: &Bundle) -> Vec<Fault> {
    let mut faults = Vec::new();
    JoinedBundles::of([(None, bundle)], &mut faults).check(&mut faults);
    faults
}
