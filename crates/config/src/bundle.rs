//! Bundles as they are submitted and stored: checked files with every secret sealed.

use std::collections::{BTreeMap, BTreeSet};

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use umberpond_model::{RegionName, RouteName, SecretName, ServiceName, ZoneName};

use crate::encoding::{self, DecodeError};
use crate::{Route, Secret, Service, Sourced};

/// One named set of files that is submitted and withdrawn as a whole. Holds no clear secret.
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
    /// The bundle as bytes; [`Bundle::from_bytes`] reads it back.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        encoding::encode(self)
    }

    /// Reads what [`Bundle::to_bytes`] wrote. The content may come from anywhere: [`crate::join`] checks it.
    ///
    /// # Errors
    /// Returns [`DecodeError`] for an unknown schema or damaged bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, DecodeError> {
        encoding::decode(bytes)
    }
}
