//! Localities in which traffic would become allowed. Rules are compared by the zones that they cover, so that
//! a zone added to a region counts for every service that may use the whole region.

use std::collections::BTreeSet;

use serde::Serialize;
use umberpond_model::{Locality, RouteName, ServiceName};

use super::Changes;
use crate::Snapshot;

/// The traffic concerned.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// All traffic to a service.
    Service(ServiceName),
    /// The traffic of a route that would go to another service.
    Route(RouteName),
}

/// Traffic that would become allowed in further localities.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct NewLocalities {
    /// The traffic concerned.
    pub subject: Subject,
    /// The newly allowed localities.
    pub localities: Vec<Locality>,
}

/// Returns all existing services and routes whose traffic would become allowed in a new locality.
pub(super) fn new_localities(before: &Snapshot, after: &Snapshot) -> Vec<NewLocalities> {
    let mut found = Vec::new();
    for service in before.services.keys().filter(|name| after.services.contains_key(*name)) {
        let new = difference(&allowed_zones(after, service), &allowed_zones(before, service));
        push_non_empty(&mut found, Subject::Service(service.clone()), new);
    }
    for (name, old) in &before.routes {
        let Some(route) = after.routes.get(name) else { continue };
        if route.service != old.service {
            let new = difference(&allowed_zones(after, &route.service), &allowed_zones(before, &old.service));
            push_non_empty(&mut found, Subject::Route(name.clone()), new);
        }
    }
    found
}

/// Returns the added and removed zones.
pub(super) fn zone_changes(before: &Snapshot, after: &Snapshot) -> Changes<Locality> {
    let (before, after) = (zones(before), zones(after));
    Changes { added: difference(&after, &before), removed: difference(&before, &after), changed: Vec::new() }
}

/// Returns the zones in which a service may be served.
fn allowed_zones(snapshot: &Snapshot, service: &ServiceName) -> BTreeSet<Locality> {
    let Some(service) = snapshot.services.get(service) else {
        return BTreeSet::new();
    };
    zones(snapshot).into_iter().filter(|locality| service.allows(locality)).collect()
}

fn zones(snapshot: &Snapshot) -> BTreeSet<Locality> {
    let mut localities = BTreeSet::new();
    for (region, zones) in &snapshot.topology {
        let of_region = zones.iter().map(|zone| Locality { region: region.clone(), zone: zone.clone() });
        localities.extend(of_region);
    }
    localities
}

fn difference(one: &BTreeSet<Locality>, other: &BTreeSet<Locality>) -> Vec<Locality> {
    one.difference(other).cloned().collect()
}

fn push_non_empty(found: &mut Vec<NewLocalities>, subject: Subject, localities: Vec<Locality>) {
    if !localities.is_empty() {
        found.push(NewLocalities { subject, localities });
    }
}
