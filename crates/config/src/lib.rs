//! Bundles, the checker, compiled snapshots, scopes and deltas.
//!
//! Operators write a *bundle* (a directory of TOML files). All active bundles are joined, checked together
//! and compiled into one closed [`Snapshot`]; a node holds the part of it that its [`Scope`] covers.

mod bundle;
mod changed_names;
mod check;
mod closure;
mod content_hasher;
mod content_set;
mod delta;
mod encoding;
mod entries;
mod entry;
mod limits;
mod origin;
mod plan;
mod record;
mod route;
mod route_index;
mod scope;
mod seal_key;
mod sealing;
mod secret;
mod secret_value;
mod service;
mod snapshot;
mod source;
mod tenant;
mod touched;

pub use bundle::Bundle;
pub use changed_names::ChangedNames;
pub use check::{CheckReport, EntryKind, EntryName, Fault, FaultKind, join};
pub use closure::ClosureError;
pub use delta::Delta;
pub use encoding::DecodeError;
pub use entries::Entries;
pub use entry::Entry;
pub use limits::RequestLimits;
pub use origin::{Origin, Sourced};
pub use plan::{AffectedScope, Changes, NewLocalities, Plan, Subject};
pub use record::{NoIndex, Record, RecordIndex};
pub use route::{Destination, HeaderCredential, RequestClass, Route, RouteAccess, RoutePolicy};
pub use route_index::RouteIndex;
pub use scope::Scope;
pub use seal_key::{InvalidSealKey, SEAL_KEY_BYTES, SealKey};
pub use sealing::{OpenError, SealError, SealKeyPair, seal};
pub use secret::{SealedValue, Secret};
pub use secret_value::SecretValue;
pub use service::Service;
pub use snapshot::{Snapshot, Topology};
pub use source::{
    BundleSource, MAX_BUNDLE_BYTES, MAX_FILE_BYTES, MAX_FILES, MAX_SECRET_BYTES, SecretSource, ValueSource,
};
pub use tenant::{KeyHash, Quota, Tenant};
pub use touched::ChangedScopes;
