//! Identifiers and records shared by every slice.
//!
//! Nothing in this crate does I/O or decides anything. Each identifier is a type of its own, so that a
//! service name can't be passed where a node name is meant, and each is checked once, where it enters.

mod endpoint;
mod hash;
mod locality;
mod names;
mod overlay;
mod record;
mod time;
mod version;

pub use endpoint::{EndpointKey, EndpointRecord, EndpointStatus, Incarnation, RecordOrder};
pub use hash::ContentHash;
pub use locality::{Locality, LocalityRule};
pub use names::{
    BundleName, InvalidName, MAX_NAME_BYTES, NodeName, RegionName, RouteName, SecretName, ServiceName,
    ZoneName,
};
pub use overlay::{Member, Nonce};
pub use record::{Head, VersionRecord};
pub use time::{Millis, ONE_SECOND, Timestamp};
pub use version::{SubmissionId, Version};
