//! The checker: faults of single entries, and of the whole that all bundles in force make together.

mod entries;
mod fault;
mod fault_kind;
mod located;
mod report;
mod routes;
mod whole;

use std::collections::BTreeMap;
use std::sync::Arc;

use umberpond_model::BundleName;

pub use fault::{EntryKind, EntryName, Fault};
pub use fault_kind::FaultKind;
pub use report::CheckReport;

pub(crate) use entries::check_entries;
use whole::Whole;

use crate::{Bundle, Snapshot};

/// Joins all bundles in force into one closed snapshot.
///
/// Checks everything again, whatever the bundles' origin: single entries, names defined by two bundles, references
/// across bundles, localities, readers of secrets and ambiguous routes.
///
/// # Errors
/// Returns every fault found; nothing of the join is usable then.
pub fn join(bundles: &BTreeMap<BundleName, Arc<Bundle>>) -> Result<Snapshot, CheckReport> {
    let mut faults = Vec::new();
    for (name, bundle) in bundles {
        let in_bundle = |fault: Fault| Fault { bundle: Some(name.clone()), ..fault };
        faults.extend(check_entries(bundle).into_iter().map(in_bundle));
    }
    let whole = Whole::of(bundles.iter().map(|(name, bundle)| (Some(name), &**bundle)), &mut faults);
    whole.check(&mut faults);
    whole.check_sealed(&mut faults);
    match CheckReport::of(faults) {
        Some(report) => Err(report),
        None => Ok(whole.snapshot()),
    }
}

/// Checks the references of one bundle as if no other were in force.
pub(crate) fn check_alone(bundle: &Bundle) -> Vec<Fault> {
    let mut faults = Vec::new();
    Whole::of([(None, bundle)], &mut faults).check(&mut faults);
    faults
}
