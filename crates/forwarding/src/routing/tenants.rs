//! The tenants of one version, found by their keys.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use thiserror::Error;
use umberpond_config::{Entries, KeyHash, Tenant};
use umberpond_model::TenantName;

/// Why a request on a route that is not public is of no tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoTenant {
    /// It carries no key.
    #[error("it carries no key")]
    NoKey,
    /// No tenant has the key.
    #[error("no tenant has the key")]
    UnknownKey,
}

/// The tenants of one version. Immutable.
#[derive(Debug, Default)]
pub struct TenantTable {
    by_key: HashMap<u64, Vec<(KeyHash, Arc<Tenant>)>>,
    by_name: BTreeMap<TenantName, Arc<Tenant>>,
}

impl TenantTable {
    pub(super) fn compile(tenants: &Entries<Tenant>) -> Self {
        let mut table = Self::default();
        for tenant in tenants.values() {
            let tenant = Arc::new(Tenant::clone(tenant));
            for key in &tenant.keys {
                table.by_key.entry(key.prefix()).or_default().push((*key, Arc::clone(&tenant)));
            }
            table.by_name.insert(tenant.name.clone(), tenant);
        }
        table
    }

    /// Whether the configuration has no tenants, so that no request needs a key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The tenant that has `key`.
    ///
    /// # Errors
    /// Returns [`NoTenant`] if there is no key, or none has it.
    pub fn find(&self, key: Option<&[u8]>) -> Result<&Arc<Tenant>, NoTenant> {
        let hash = KeyHash::of(key.ok_or(NoTenant::NoKey)?);
        let candidates = self.by_key.get(&hash.prefix()).into_iter().flatten();
        let mut found = candidates.filter(|(known, _)| *known == hash);
        found.next().map(|(_, tenant)| tenant).ok_or(NoTenant::UnknownKey)
    }

    /// Whether there is a tenant called `name`.
    #[must_use]
    pub fn knows(&self, name: &TenantName) -> bool {
        self.by_name.contains_key(name)
    }

    /// All tenants.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.by_name.values()
    }
}
