//! Puts versions in force on the request path: opens secrets, compiles the routing table, swaps one pointer.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;
use umberpond_config::{SealKeyPair, Snapshot};
use umberpond_model::{EndpointRecord, EndpointStatus, NodeName, SecretName, ServiceName, Version};
use umberpond_proxy::{CredentialValue, ProxyState, RoutingTable};
use umberpond_telemetry::{Event, Telemetry, VersionStage};

/// The request path's side of the configuration.
pub(crate) struct Activation {
    proxy: Arc<ProxyState>,
    service: ServiceName,
    seal_key: Option<Arc<SealKeyPair>>,
    telemetry: Telemetry,
    active: watch::Sender<Option<Version>>,
    /// Records of the services that local callers use; the overlay tells only what changes.
    records: Mutex<BTreeMap<NodeName, EndpointRecord>>,
}

impl Activation {
    /// Nothing is in force yet.
    pub(crate) fn new(
        proxy: Arc<ProxyState>,
        service: ServiceName,
        seal_key: Option<Arc<SealKeyPair>>,
        telemetry: Telemetry,
    ) -> Self {
        Self {
            proxy,
            service,
            seal_key,
            telemetry,
            active: watch::Sender::new(None),
            records: Mutex::default(),
        }
    }

    /// Version in force.
    pub(crate) fn active(&self) -> watch::Receiver<Option<Version>> {
        self.active.subscribe()
    }

    /// Puts `version` in force as a whole. If it can't be compiled, what is in force stays.
    pub(crate) fn activate(&self, version: Version, snapshot: &Snapshot) {
        let opened = self.open_secrets(snapshot);
        let callers = BTreeSet::from([self.service.clone()]);
        let table = match RoutingTable::compile(version, snapshot, &opened, &callers) {
            Ok(table) => table,
            Err(error) => return self.failed(version, error.to_string()),
        };
        if let Err(stale) = self.proxy.activate(Arc::new(table)) {
            return self.failed(version, stale.to_string());
        }
        self.active.send_replace(Some(version));
        self.telemetry.metrics().set_version(VersionStage::Active, version);
        let content = snapshot.content_hash();
        let routes = snapshot.routes.len() as u64;
        let secrets = opened.len() as u64;
        self.telemetry.emit(Event::VersionActivated { version, content, routes, secrets });
    }

    /// Takes the records that have changed and hands all of them to the request path.
    pub(crate) fn endpoints_changed(&self, changed: Vec<EndpointRecord>) {
        let mut records = self.records.lock();
        self.telemetry.emit(Event::EndpointsChanged { count: changed.len() as u64 });
        for record in changed {
            if record.status == EndpointStatus::Gone {
                records.remove(&record.node);
            } else {
                records.insert(record.node.clone(), record);
            }
        }
        self.telemetry.metrics().set_endpoints(records.len());
        self.proxy.set_endpoints(records.values().cloned().collect());
    }

    fn failed(&self, version: Version, reason: String) {
        self.telemetry.emit(Event::ActivationFailed { version, reason });
    }

    /// Opens the secrets of the routes that local callers use. What can't be opened is told by name and left out;
    /// compiling then fails if a route needs it.
    fn open_secrets(&self, snapshot: &Snapshot) -> BTreeMap<SecretName, CredentialValue> {
        let mut opened = BTreeMap::new();
        for secret in self.needed_secrets(snapshot) {
            match self.open_secret(snapshot, &secret) {
                Ok(value) => {
                    opened.insert(secret, value);
                }
                Err(reason) => {
                    self.telemetry.emit(Event::SecretNotOpened { secret, reason: reason.to_string() })
                }
            }
        }
        opened
    }

    fn needed_secrets(&self, snapshot: &Snapshot) -> BTreeSet<SecretName> {
        let called = snapshot.routes.values().filter(|route| route.callers.contains(&self.service));
        called.flat_map(|route| &route.credentials).map(|credential| credential.secret.clone()).collect()
    }

    fn open_secret(&self, snapshot: &Snapshot, name: &SecretName) -> Result<CredentialValue, SecretFault> {
        let key = self.seal_key.as_ref().ok_or(SecretFault::NoSealKey)?;
        let secret = snapshot.secrets.get(name).ok_or(SecretFault::Absent)?;
        let sealed = secret.readers.get(&self.service).ok_or(SecretFault::NotSealedToService)?;
        let value = key.open(name, sealed)?;
        Ok(CredentialValue::new(value.expose())?)
    }
}

/// Why a secret could not be opened. Tells nothing of its value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum SecretFault {
    #[error("this node has no seal key")]
    NoSealKey,
    #[error("the snapshot lacks it")]
    Absent,
    #[error("it is not sealed to this node's service")]
    NotSealedToService,
    #[error(transparent)]
    NotOpened(#[from] umberpond_config::OpenError),
    #[error(transparent)]
    NoHeaderValue(#[from] umberpond_proxy::InvalidCredential),
}
