//! Client of the store's object API: versioned objects and watches.
//!
//! The platform is the only durable store and bears few readers, so every request of a process passes one
//! [`PlatformGate`]. Every failed change says whether it may have happened; see [`PlatformError`].

mod backoff;
mod client;
mod client_settings;
mod error;
mod exchange;
mod gate;
#[cfg(feature = "testing")]
pub mod memory;
mod object;
mod store;
mod watch;

pub use backoff::{Backoff, BackoffSettings};
pub use client::PlatformClient;
pub use client_settings::ClientSettings;
pub use error::{NotSentCause, PlatformError, UnknownCause};
pub use gate::{GateLimits, PlatformGate};
pub use object::{ListItem, ListPage, Object, ObjectKind, ObjectVersion, Revision, WatchEvent};
pub use store::{ObjectStore, WatchStream};
pub use watch::WatchError;
