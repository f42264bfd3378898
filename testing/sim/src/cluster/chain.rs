//! The chain as the platform holds it at the end of a run: what every version truly is.

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
    /// The submission that became it.
    pub submission: SubmissionId,
    /// The whole snapshot.
    pub snapshot: Snapshot,
}

/// Every version from 1 on, in order.
pub struct Chain {
    versions: Vec<ChainVersion>,
}

impl Chain {
    /// Reads the whole chain from a platform without faults.
    ///
    /// # Panics
    /// If the chain can't be read, which would void the run's verdict.
    pub async fn read(network: Arc<dyn Network>) -> Self {
        let gate = PlatformGate::new(GateLimits::default());
        let client = PlatformClient::new(network, layout::PLATFORM, gate, ClientSettings::default());
        let reader = ChainReader::new(Arc::new(client));
        let head = reader.read_head().await.expect("the platform answers");
        let steps = match head {
            Some(seen) => {
                reader.read_steps_after(Version::GENESIS, &seen.head).await.expect("the chain is whole")
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

    /// What every node must have in force at `version`.
    #[must_use]
    pub fn expected(&self, version: Version) -> Option<&Snapshot> {
        let index = usize::try_from(version.0).ok()?.checked_sub(1)?;
        Some(&self.versions.get(index)?.snapshot)
    }
}

/// Hash that stands for a version that does not exist.
#[must_use]
pub fn no_content() -> ContentHash {
    ContentHash::of(b"no such version")
}

/// Count of the secrets that a node of `service` must be able to open.
#[must_use]
pub fn needed_secrets(snapshot: &Snapshot, service: &ServiceName) -> usize {
    let called = snapshot.routes.values().filter(|route| route.callers.contains(service));
    let secrets: BTreeSet<_> =
        called.flat_map(|route| &route.credentials).map(|credential| &credential.secret).collect();
    secrets.len()
}

/// References to services and secrets that `snapshot` lacks, counted without the daemon's own closure check.
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
