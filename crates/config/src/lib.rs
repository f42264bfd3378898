//! Bundles, the checker, compiled snapshots, scopes and deltas.
//!
//! Operators write a *bundle* (a directory of TOML files). All bundles in force are joined, checked as a whole
//! and compiled into one closed [`Snapshot`]; a node holds the part of it that its [`Scope`] covers.

mod delta;
mod entry;
mod route;
mod scope;
mod secret;
mod service;
mod snapshot;

pub use delta::Delta;
pub use entry::Entry;
pub use route::{HeaderCredential, RequestClass, Route};
pub use scope::Scope;
pub use secret::{SealedValue, Secret};
pub use service::{SealKey, Service};
pub use snapshot::{Snapshot, Topology};
