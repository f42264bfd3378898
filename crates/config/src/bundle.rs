//! Bundles in the form in which they are submitted and stored: checked entries with all secrets sealed.

use std::collections::{BTreeMap, BTreeSet};

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use umberpond_model::{RegionName, RouteName, SecretName, ServiceName, ZoneName};

use crate::encoding::{self, DecodeError};
use crate::{Route, Secret, Service, Sourced};

/// A named set of entries that is submitted and withdrawn as a unit. Contains no plaintext secret.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Bundle {
    /// Regions and their zones.
    pub topology: BTreeMap<RegionName, Sourced<BTreeSet<ZoneName>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Sourced<Service>>,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, Sourced<Route>>,
    /// Secrets by name, sealed.
    pub secrets: BTreeMap<SecretName, Sourced<Secret>>,
}

impl Bundle {
    /// Encodes the bundle; [`Bundle::from_bytes`] decodes it.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        encoding::encode(self)
    }

    /// Decodes the output of [`Bundle::to_bytes`]. The bytes may come from an untrusted source;
    /// [`crate::join`] checks the content.
    ///
    /// # Errors
    /// Returns [`DecodeError`] for an unknown schema, damaged bytes or a name that breaks the naming rule.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, DecodeError> {
        let bundle: Self = encoding::decode(bytes)?;
        // Decoding bypasses the constructors that validate names.
        let has_valid_names = bundle.names().all(|name| ServiceName::new(name).is_ok());
        if has_valid_names { Ok(bundle) } else { Err(DecodeError::InvalidName) }
    }

    /// Every name that the bundle defines or references. The same naming rule applies to all kinds.
    fn names(&self) -> impl Iterator<Item = &str> {
        let regions = self.topology.iter().flat_map(|(region, zones)| {
            let zones = zones.value.iter().map(ZoneName::as_str);
            zones.chain([region.as_str()])
        });
        let services = self.services.iter().flat_map(|(key, service)| {
            let rules = service.value.allowed.iter();
            let localities = rules.flat_map(|rule| {
                let zone = rule.zone.as_ref().map(ZoneName::as_str);
                zone.into_iter().chain([rule.region.as_str()])
            });
            localities.chain([key.as_str(), service.value.name.as_str()])
        });
        let routes = self.routes.iter().flat_map(|(key, route)| {
            let callers = route.value.callers.iter().map(ServiceName::as_str);
            let secrets = route.value.credentials.iter().map(|credential| credential.secret.as_str());
            let own = [key.as_str(), route.value.name.as_str(), route.value.service.as_str()];
            callers.chain(secrets).chain(own)
        });
        let secrets = self.secrets.iter().flat_map(|(key, secret)| {
            let readers = secret.value.readers.keys().map(ServiceName::as_str);
            readers.chain([key.as_str(), secret.value.name.as_str()])
        });
        regions.chain(services).chain(routes).chain(secrets)
    }
}
