//! Identifiers and records shared by every slice.
//!
//! Nothing in this crate does I/O or decides anything. Each identifier is a type of its own, so that a
//! service name can't be passed where a node name is meant, and each is checked once, where it enters.

mod hash;
mod incarnation;
mod life;
mod locality;
mod names;
mod record;
mod time;
mod version;

pub use hash::ContentHash;
pub use incarnation::Incarnation;
pub use life::BackEndLife;
pub use locality::{Locality, LocalityRule};
pub use names::{
    BundleName, InvalidName, MAX_NAME_BYTES, NodeName, RegionName, ReleaseName, RouteName, SecretName,
    ServiceName, ZoneName,
};
pub use record::{Head, VersionRecord};
pub use time::Millis;
pub use version::{SubmissionId, Version};
