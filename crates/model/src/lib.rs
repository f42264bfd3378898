//! Identifiers and records shared by all crates.
//!
//! This crate does no I/O and holds no policy. Each identifier has its own type, so that a service name can't
//! be passed as a node name, and is validated once, when it is parsed.

mod back_end_process;
mod evacuations;
mod hash;
mod home_regions;
mod incarnation;
mod locality;
mod names;
mod rate;
mod record;
mod store_revision;
mod tenant_id;
mod time;
mod version;

pub use back_end_process::BackEndProcess;
pub use evacuations::Evacuations;
pub use hash::ContentHash;
pub use home_regions::HomeRegions;
pub use incarnation::Incarnation;
pub use locality::{Locality, LocalityRule};
pub use names::{
    BundleName, InvalidName, MAX_NAME_BYTES, NodeName, RegionName, ReleaseName, RouteName, SecretName,
    ServiceName, TenantName, ZoneName,
};
pub use rate::{InvalidRate, RequestRate};
pub use record::{Head, VersionRecord};
pub use store_revision::{ORDER_REWRITE_TIME, StoreEra, StoreRevision};
pub use tenant_id::TenantId;
pub use time::Millis;
pub use version::{SubmissionId, Version};
