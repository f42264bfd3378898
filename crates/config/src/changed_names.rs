//! Names of the entries that a change of the configuration sets or removes.

use umberpond_model::{RouteName, SecretName, ServiceName, TenantName};

use crate::{Delta, Entries, Record, Snapshot};

/// What differs between two snapshots, without any values. With the later snapshot, the names of several
/// changes in a row give the [`Delta`] over all of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChangedNames {
    has_new_topology: bool,
    has_new_limits: bool,
    services: Vec<ServiceName>,
    routes: Vec<RouteName>,
    secrets: Vec<SecretName>,
    tenants: Vec<TenantName>,
}

impl ChangedNames {
    /// Returns what differs between `before` and `after`.
    #[must_use]
    pub fn between(before: &Snapshot, after: &Snapshot) -> Self {
        Self {
            has_new_topology: before.topology != after.topology,
            has_new_limits: before.limits != after.limits,
            services: changed(&before.services, &after.services),
            routes: changed(&before.routes, &after.routes),
            secrets: changed(&before.secrets, &after.secrets),
            tenants: changed(&before.tenants, &after.tenants),
        }
    }

    /// Number of names.
    #[must_use]
    pub fn len(&self) -> usize {
        self.services.len() + self.routes.len() + self.secrets.len() + self.tenants.len()
    }

    /// Whether there are no names.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the delta that gives everything named in `changes` the value that it has in `after`. It leads to
    /// `after` from the snapshot that the first of the changes started from, if the last one ended with `after`.
    #[must_use]
    pub fn delta_to<'a>(changes: impl IntoIterator<Item = &'a Self>, after: &Snapshot) -> Delta {
        let mut delta = Delta::default();
        for change in changes {
            if change.has_new_topology {
                delta.topology = Some(after.topology.clone());
            }
            if change.has_new_limits {
                delta.limits = Some(after.limits);
            }
            delta.services.extend(values(&change.services, &after.services));
            delta.routes.extend(values(&change.routes, &after.routes));
            delta.secrets.extend(values(&change.secrets, &after.secrets));
            delta.tenants.extend(values(&change.tenants, &after.tenants));
        }
        delta
    }
}

fn changed<T: Record>(before: &Entries<T>, after: &Entries<T>) -> Vec<T::Name> {
    before.changes_to(after).map(|(name, _entry)| name.clone()).collect()
}

/// The named entries as `after` has them, `None` for those that it lacks.
fn values<'a, T: Record>(
    names: &'a [T::Name],
    after: &'a Entries<T>,
) -> impl Iterator<Item = (T::Name, Option<T>)> {
    names.iter().map(|name| (name.clone(), after.get::<T::Name>(name).map(|entry| T::clone(entry))))
}
