//! Localities: where a process runs, and where traffic of a service may go.

use std::fmt;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::{RegionName, ZoneName};

/// The region and zone in which a process runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Locality {
    /// Region of the process.
    pub region: RegionName,
    /// Zone of the process, unique inside the region.
    pub zone: ZoneName,
}

impl fmt::Display for Locality {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.region, self.zone)
    }
}

/// One allowed locality of a service: a whole region, or one zone of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalityRule {
    /// Region that is allowed.
    pub region: RegionName,
    /// The only allowed zone of the region; all its zones if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneName>,
}

impl LocalityRule {
    /// Whether this rule allows `locality`.
    #[must_use]
    pub fn allows(&self, locality: &Locality) -> bool {
        self.region == locality.region && self.zone.as_ref().is_none_or(|zone| *zone == locality.zone)
    }
}

impl fmt::Display for LocalityRule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.zone {
            Some(zone) => write!(formatter, "{}/{zone}", self.region),
            None => write!(formatter, "{}/*", self.region),
        }
    }
}
