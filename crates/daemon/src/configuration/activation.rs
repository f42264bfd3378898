//! Activates configurations on this node.

use std::sync::Arc;

use parking_lot::Mutex;
use umberpond_config::{SealKeyPair, Snapshot};
use umberpond_distribution::VersionedConfiguration;
use umberpond_forwarding::{OpenedSecrets, Outbound, RoutingTable};
use umberpond_model::ServiceName;
use umberpond_telemetry::{Event, Telemetry, VersionStage};

/// Activates configurations and holds the active one.
pub struct Activation {
    outbound: Arc<Outbound>,
    seal_key: Option<Arc<SealKeyPair>>,
    telemetry: Telemetry,
    active: Mutex<Option<VersionedConfiguration>>,
}

impl std::fmt::Debug for Activation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Activation").finish_non_exhaustive()
    }
}

impl Activation {
    pub(crate) const fn new(
        outbound: Arc<Outbound>,
        seal_key: Option<Arc<SealKeyPair>>,
        telemetry: Telemetry,
    ) -> Self {
        Self { outbound, seal_key, telemetry, active: Mutex::new(None) }
    }

    /// The active configuration.
    #[must_use]
    pub fn active(&self) -> Option<VersionedConfiguration> {
        self.active.lock().clone()
    }

    /// Health check path of the back end of `service`.
    #[must_use]
    pub fn health_path(&self, service: &ServiceName) -> Option<String> {
        let active = self.active.lock();
        active.as_ref()?.snapshot.services.get(service)?.health_path.clone()
    }

    /// Number of slots of a back end of `service`, if the configuration specifies one.
    #[must_use]
    pub fn slots(&self, service: &ServiceName) -> Option<u32> {
        let active = self.active.lock();
        let service = active.as_ref()?.snapshot.services.get(service)?;
        let slots = service.slots.min(service.connections);
        (slots > 0).then_some(slots)
    }

    /// Informs the request path that the back end beside this node may belong to another service now.
    pub(crate) fn on_back_end_changed(&self) {
        self.outbound.on_back_end_changed();
    }

    /// Activates `offered` as a whole; `false` if that failed, in which case nothing changes.
    pub(crate) fn activate(&self, offered: &VersionedConfiguration) -> bool {
        let opened = self.open_secrets(&offered.snapshot);
        let caller = self.outbound.caller();
        let table = match RoutingTable::compile(offered.version, &offered.snapshot, &opened, &caller) {
            Ok(table) => table,
            Err(error) => {
                let reason = error.to_string();
                self.telemetry.emit(Event::ActivationFailed { version: offered.version, reason });
                return false;
            }
        };
        let mut active = self.active.lock();
        if self.outbound.activate(Arc::new(table)).is_err() {
            return false;
        }
        let is_first = active.replace(offered.clone()).is_none();
        self.telemetry.metrics().set_version(VersionStage::Active, offered.version);
        self.telemetry.metrics().set_configuration_entries(offered.snapshot.entry_count());
        self.telemetry.emit(Event::VersionActivated {
            version: offered.version,
            content: offered.hash,
            routes: offered.snapshot.routes.len() as u64,
            secrets: offered.snapshot.secrets.len() as u64,
        });
        if is_first {
            self.telemetry.metrics().set_ready(true);
            self.telemetry.emit(Event::BecameReady { version: offered.version });
        }
        true
    }

    /// Decrypts the secrets that this node's service may read.
    fn open_secrets(&self, snapshot: &Snapshot) -> OpenedSecrets {
        let caller = self.outbound.caller();
        let mut opened = OpenedSecrets::new();
        let Some(key) = &self.seal_key else { return opened };
        for (name, secret) in &snapshot.secrets {
            let Some(sealed) = secret.readers.get(&*caller) else { continue };
            match key.open(name, sealed) {
                Ok(value) => {
                    opened.insert(name.clone(), value.expose().to_vec());
                }
                Err(error) => {
                    let reason = error.to_string();
                    self.telemetry.emit(Event::SecretNotOpened { secret: name.clone(), reason });
                }
            }
        }
        opened
    }
}
