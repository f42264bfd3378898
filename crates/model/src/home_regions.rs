//! Regions in which requests may be served.

use std::collections::BTreeSet;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::RegionName;

/// The regions in which a request may be served and its body stored; unrestricted if none are named.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HomeRegions(Option<BTreeSet<RegionName>>);

impl HomeRegions {
    /// Restricts requests to `regions`; unrestricted if the set is empty.
    #[must_use]
    pub fn only(regions: BTreeSet<RegionName>) -> Self {
        Self((!regions.is_empty()).then_some(regions))
    }

    /// Whether requests may be served in `region`.
    #[must_use]
    pub fn allow(&self, region: &RegionName) -> bool {
        self.0.as_ref().is_none_or(|regions| regions.contains(region))
    }

    /// Whether requests may be served in any region.
    #[must_use]
    pub const fn are_anywhere(&self) -> bool {
        self.0.is_none()
    }

    /// Regions that both `self` and `other` allow. The intersection may be empty, which allows no region.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(own), Some(others)) => Self(Some(own.intersection(others).cloned().collect())),
            (own, others) => Self(own.as_ref().or(others.as_ref()).cloned()),
        }
    }
}
