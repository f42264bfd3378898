//! Identifiers and records shared by every slice.
//!
//! Nothing in this crate does I/O or decides anything. Each identifier is a type of its own, so that a
//! service name can't be passed where a node name is meant, and each is checked once, where it enters.

mod evacuations;
mod hash;
mod homes;
mod incarnation;
mod life;
mod locality;
mod names;
mod rate;
mod record;
mod tenant_number;
mod time;
mod version;

pub use evacuations::Evacuations;
pub use hash::ContentHash;
pub use homes::HomeRegions;
pub use incarnation::Incarnation;
pub use life::BackEndProcess;
pub use locality::{Locality, LocalityRule};
pub use names::{
    BundleName, InvalidName, MAX_NAME_BYTES, NodeName, RegionName, ReleaseName, RouteName, SecretName,
    ServiceName, TenantName, ZoneName,
};
pub use rate::{InvalidRate, RequestRate};
pub use record::{Head, VersionRecord};
pub use tenant_number::TenantId;
pub use time::Millis;
pub use version::{SubmissionId, Version};
