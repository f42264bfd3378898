//! Tenants of one configuration version, with lookup by API key.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use thiserror::Error;
use umberpond_config::{Entries, KeyHash, Tenant};
use umberpond_model::TenantName;

/// Reasons why a request on a non-public route belongs to no tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoTenant {
    /// The request has no key.
    #[error("the request has no key")]
    NoKey,
    /// No tenant has the key.
    #[error("no tenant has the key")]
    UnknownKey,
}

/// The tenants of one configuration version. Immutable.
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

    /// Whether the configuration has no tenants, so that requests need no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Finds the tenant that owns `key`.
    ///
    /// # Errors
    /// Returns [`NoTenant`] if there is no key, or no tenant owns it.
    pub fn find(&self, key: Option<&[u8]>) -> Result<&Arc<Tenant>, NoTenant> {
        let hash = KeyHash::of(key.ok_or(NoTenant::NoKey)?);
        let candidates = self.by_key.get(&hash.prefix()).into_iter().flatten();
        let mut found = candidates.filter(|(known, _)| *known == hash);
        found.next().map(|(_, tenant)| tenant).ok_or(NoTenant::UnknownKey)
    }

    /// Whether there is a tenant with this name.
    #[must_use]
    pub fn knows(&self, name: &TenantName) -> bool {
        self.by_name.contains_key(name)
    }

    /// Iterates over all tenants.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.by_name.values()
    }
}
