//! The chain as the platform stores it at the end of a run: the reference content of every version.

use std::collections::BTreeSet;
use std::sync::Arc;

use umberpond_acceptance::chain::ChainReader;
use umberpond_config::Snapshot;
use umberpond_model::{ContentHash, ServiceName, SubmissionId, Version};
use umberpond_net::Network;
use umberpond_store::{ClientSettings, GateLimits, PlatformClient, PlatformGate};

use super::layout;

/// One version of the chain.
#[derive(Debug, Clone)]
pub struct ChainVersion {
    /// The submission that produced it.
    pub submission: SubmissionId,
    /// The complete snapshot.
    pub snapshot: Snapshot,
}

/// Every version from 1 on, in order.
pub struct Chain {
    versions: Vec<ChainVersion>,
}

impl Chain {
    /// Reads the complete chain from a platform without faults.
    ///
    /// # Panics
    /// If the chain can't be read, because the run is then invalid.
    pub async fn read(network: Arc<dyn Network>) -> Self {
        let gate = PlatformGate::new(GateLimits::default());
        let client = PlatformClient::new(network, layout::PLATFORM, gate, ClientSettings::default());
        let reader = ChainReader::new(Arc::new(client));
        let head = reader.read_head().await.expect("the platform responds");
        let steps = match head {
            Some(seen) => {
                reader.read_steps_after(Version::GENESIS, &seen.head).await.expect("the chain is complete")
            }
            None => Vec::new(),
        };
        let mut snapshot = Snapshot::default();
        let versions = steps.into_iter().map(|step| {
            snapshot = step.delta.apply(&snapshot);
            ChainVersion { submission: step.record.submission, snapshot: snapshot.clone() }
        });
        Self { versions: versions.collect() }
    }

    /// All versions with their numbers.
    pub fn versions(&self) -> impl Iterator<Item = (Version, &ChainVersion)> {
        (1..).map(Version).zip(&self.versions)
    }

    /// The snapshot that every node must have in force at `version`.
    #[must_use]
    pub fn expected(&self, version: Version) -> Option<&Snapshot> {
        let index = usize::try_from(version.0).ok()?.checked_sub(1)?;
        Some(&self.versions.get(index)?.snapshot)
    }
}

/// Placeholder hash for a version that does not exist.
#[must_use]
pub fn missing_version_hash() -> ContentHash {
    ContentHash::of(b"no such version")
}

/// Number of secrets that a node of `service` must be able to open.
#[must_use]
pub fn needed_secrets(snapshot: &Snapshot, service: &ServiceName) -> usize {
    let callable_routes = snapshot.routes.values().filter(|route| route.callers.contains(service));
    let secrets: BTreeSet<_> =
        callable_routes.flat_map(|route| &route.credentials).map(|credential| &credential.secret).collect();
    secrets.len()
}

/// Number of references to services and secrets that `snapshot` lacks. Independent of the daemon's own check.
#[must_use]
pub fn dangling_references(snapshot: &Snapshot) -> usize {
    let routes = snapshot.routes.values();
    routes
        .map(|route| {
            let lacks_service = usize::from(!snapshot.services.contains_key(&route.service));
            let lacks_secrets =
                route.credentials.iter().filter(|used| !snapshot.secrets.contains_key(&used.secret)).count();
            lacks_service + lacks_secrets
        })
        .sum()
}
