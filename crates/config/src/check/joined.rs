//! Checks that need all joined bundles.

use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet};

use umberpond_model::{BundleName, LocalityRule, RegionName, RouteName, SecretName, ServiceName, ZoneName};

use super::located::Located;
use super::routes::check_ambiguity;
use super::{EntryKind, Fault, FaultKind};
use crate::{Bundle, Entries, Entry, Record, RequestLimits, Route, Secret, Service, Snapshot, Sourced};

/// All entries of the joined bundles, each name once.
pub(super) struct JoinedBundles<'a> {
    regions: BTreeMap<&'a RegionName, Located<'a, BTreeSet<ZoneName>>>,
    services: BTreeMap<&'a ServiceName, Located<'a, Service>>,
    routes: BTreeMap<&'a RouteName, Located<'a, Route>>,
    secrets: BTreeMap<&'a SecretName, Located<'a, Secret>>,
}

impl<'a> JoinedBundles<'a> {
    /// Collects the entries of all bundles. If two bundles define the same name, the later one has a fault.
    pub(super) fn of(
        bundles: impl IntoIterator<Item = (Option<&'a BundleName>, &'a Bundle)>,
        faults: &mut Vec<Fault>,
    ) -> Self {
        let mut joined = Self {
            regions: BTreeMap::new(),
            services: BTreeMap::new(),
            routes: BTreeMap::new(),
            secrets: BTreeMap::new(),
        };
        for (bundle, content) in bundles {
            collect(EntryKind::Region, bundle, &content.topology, &mut joined.regions, faults);
            collect(EntryKind::Service, bundle, &content.services, &mut joined.services, faults);
            collect(EntryKind::Route, bundle, &content.routes, &mut joined.routes, faults);
            collect(EntryKind::Secret, bundle, &content.secrets, &mut joined.secrets, faults);
        }
        joined
    }

    /// Checks every reference between entries.
    pub(super) fn check(&self, faults: &mut Vec<Fault>) {
        for service in self.services.values() {
            self.check_localities(service, faults);
        }
        for secret in self.secrets.values() {
            self.check_readers(secret, faults);
        }
        for route in self.routes.values() {
            self.check_route(route, faults);
        }
        check_ambiguity(self.routes.values(), faults);
    }

    /// Creates the snapshot of all collected entries.
    pub(super) fn snapshot(&self) -> Snapshot {
        let topology =
            self.regions.iter().map(|(name, region)| ((*name).clone(), region.value.clone())).collect();
        Snapshot {
            topology,
            limits: RequestLimits::default(),
            services: compile(&self.services),
            routes: compile(&self.routes),
            secrets: compile(&self.secrets),
            tenants: Entries::default(),
        }
    }

    fn check_localities(&self, service: &Located<'a, Service>, faults: &mut Vec<Fault>) {
        for rule in &service.value.allowed {
            if let Some(kind) = self.locality_fault(rule) {
                let name = service.value.name.as_str();
                faults.push(service.fault(EntryKind::Service, name, "allowed", kind));
            }
        }
    }

    fn locality_fault(&self, rule: &LocalityRule) -> Option<FaultKind> {
        let region = rule.region.clone();
        let Some(zones) = self.regions.get(&region) else {
            return Some(FaultKind::UnknownRegion { region });
        };
        let zone = rule.zone.clone()?;
        (!zones.value.contains(&zone)).then_some(FaultKind::UnknownZone { region, zone })
    }

    fn check_readers(&self, secret: &Located<'a, Secret>, faults: &mut Vec<Fault>) {
        for reader in secret.value.readers.keys() {
            let kind = match self.services.get(reader) {
                None => FaultKind::UnknownService { service: reader.clone() },
                Some(service) if service.value.seal_key.is_none() => {
                    FaultKind::ReaderWithoutSealKey { reader: reader.clone() }
                }
                Some(_) => continue,
            };
            faults.push(secret.fault(EntryKind::Secret, secret.value.name.as_str(), "readers", kind));
        }
    }

    /// Checks that each value is sealed to its reader's current key.
    pub(super) fn check_sealed(&self, faults: &mut Vec<Fault>) {
        for secret in self.secrets.values() {
            for (reader, sealed) in &secret.value.readers {
                let key = self.services.get(reader).and_then(|service| service.value.seal_key);
                if key.is_some_and(|key| !sealed.is_sealed_to(&key)) {
                    let kind = FaultKind::SealedToOtherKey { reader: reader.clone() };
                    faults.push(secret.fault(EntryKind::Secret, secret.value.name.as_str(), "readers", kind));
                }
            }
        }
    }

    fn check_route(&self, route: &Located<'a, Route>, faults: &mut Vec<Fault>) {
        let value = route.value;
        let mut fault = |key: &str, kind| {
            faults.push(route.fault(EntryKind::Route, value.name.as_str(), key, kind));
        };
        if !self.services.contains_key(&value.service) {
            fault("service", FaultKind::UnknownService { service: value.service.clone() });
        }
        for caller in value.callers.iter().filter(|caller| !self.services.contains_key(caller)) {
            fault("callers", FaultKind::UnknownService { service: caller.clone() });
        }
        for credential in &value.credentials {
            for kind in self.credential_faults(value, &credential.secret) {
                fault("credentials", kind);
            }
        }
    }

    fn credential_faults(&self, route: &Route, name: &SecretName) -> Vec<FaultKind> {
        let Some(secret) = self.secrets.get(name) else {
            return vec![FaultKind::UnknownSecret { secret: name.clone() }];
        };
        let lacks_value = |caller: &&ServiceName| !secret.value.readers.contains_key(*caller);
        let not_reader = |caller: &ServiceName| FaultKind::CallerNotReader {
            caller: caller.clone(),
            secret: name.clone(),
        };
        route.callers.iter().filter(lacks_value).map(not_reader).collect()
    }
}

fn collect<'a, K: Ord + Borrow<str>, T>(
    kind: EntryKind,
    bundle: Option<&'a BundleName>,
    entries: &'a BTreeMap<K, Sourced<T>>,
    joined: &mut BTreeMap<&'a K, Located<'a, T>>,
    faults: &mut Vec<Fault>,
) {
    for (name, entry) in entries {
        let located = Located { bundle, origin: &entry.origin, value: &entry.value };
        let Some(first) = joined.get(name) else {
            joined.insert(name, located);
            continue;
        };
        let Some(first_bundle) = first.bundle else { continue };
        let defined_twice =
            FaultKind::DefinedTwice { bundle: first_bundle.clone(), origin: first.origin.clone() };
        faults.push(located.fault(kind, name.borrow(), "name", defined_twice));
    }
}

fn compile<T: Record>(entries: &BTreeMap<&T::Name, Located<'_, T>>) -> Entries<T> {
    entries.iter().map(|(name, entry)| ((*name).clone(), Entry::new(entry.value.clone()))).collect()
}
