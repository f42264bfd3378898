//! Client of the store's object API: versioned objects and watches.
//!
//! The platform is the only durable store and supports few concurrent readers, so one [`PlatformGate`] limits
//! all requests of a process. The error of a failed change states whether it may have taken effect; see
//! [`PlatformError`].

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
