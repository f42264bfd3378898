//! Ambiguous routes: two routes that match the same requests of one caller.

use std::collections::BTreeMap;

use umberpond_model::ServiceName;

use super::located::Located;
use super::{EntryKind, Fault, FaultKind};
use crate::Route;

/// Routes of one caller to one service under one path prefix.
type Group<'a> = Vec<&'a Located<'a, Route>>;

/// Adds a fault for each route that matches the same requests of a caller as an earlier route.
pub(super) fn check_ambiguity<'a>(
    routes: impl Iterator<Item = &'a Located<'a, Route>>,
    faults: &mut Vec<Fault>,
) {
    let mut groups: BTreeMap<(&ServiceName, &ServiceName, &str), Group<'a>> = BTreeMap::new();
    for route in routes {
        let value = route.value;
        for caller in &value.callers {
            let group = groups.entry((caller, &value.service, &value.path_prefix)).or_default();
            if let Some(other) = group.iter().find(|other| share_method(value, other.value)) {
                faults.push(ambiguous(route, other, caller));
            }
            group.push(route);
        }
    }
}

/// Whether both routes match a common method. An empty set of methods matches every method.
fn share_method(one: &Route, other: &Route) -> bool {
    one.methods.is_empty() || other.methods.is_empty() || !one.methods.is_disjoint(&other.methods)
}

fn ambiguous(route: &Located<'_, Route>, other: &Located<'_, Route>, caller: &ServiceName) -> Fault {
    let kind = FaultKind::AmbiguousRoute {
        caller: caller.clone(),
        other: other.value.name.clone(),
        origin: other.origin.clone(),
    };
    route.fault(EntryKind::Route, route.value.name.as_str(), "path_prefix", kind)
}
