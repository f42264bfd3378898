//! Leases: a name held by one holder until it lapses or is released.

use std::collections::BTreeMap;
use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;

/// A lease that somebody else holds.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("held by {holder}")]
pub struct HeldByOther {
    /// Who holds it.
    pub holder: String,
}

#[derive(Debug)]
struct Lease {
    holder: String,
    expires: Instant,
}

/// Every lease that was granted and not released.
#[derive(Debug, Default)]
pub struct Leases {
    leases: BTreeMap<String, Lease>,
}

impl Leases {
    /// Grants or renews a lease for `duration` from `now`.
    ///
    /// # Errors
    /// [`HeldByOther`] while it is another's and has not lapsed.
    pub fn acquire(
        &mut self,
        now: Instant,
        name: &str,
        holder: &str,
        duration: Duration,
    ) -> Result<(), HeldByOther> {
        if let Some(lease) = self.leases.get(name)
            && lease.holder != holder
            && lease.expires > now
        {
            return Err(HeldByOther { holder: lease.holder.clone() });
        }
        let lease = Lease { holder: holder.to_owned(), expires: now + duration };
        self.leases.insert(name.to_owned(), lease);
        Ok(())
    }

    /// Releases a lease if `holder` has it.
    pub fn release(&mut self, name: &str, holder: &str) {
        if self.leases.get(name).is_some_and(|lease| lease.holder == holder) {
            self.leases.remove(name);
        }
    }

    /// Lapses every lease at once, whatever its duration.
    pub fn lapse_all(&mut self) {
        self.leases.clear();
    }

    /// Holder by name of each lease that has not lapsed at `now`.
    pub fn holders(&self, now: Instant) -> BTreeMap<String, String> {
        self.leases
            .iter()
            .filter(|(_, lease)| lease.expires > now)
            .map(|(name, lease)| (name.clone(), lease.holder.clone()))
            .collect()
    }
}
