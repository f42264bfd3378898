//! Operator API of a node, and access to the chain of accepted versions in the store.
//!
//! Operators submit bundles to any node; the node's acceptor validates them together with the newest accepted
//! configuration and appends a version to the chain in the store. [`ChainSource`] reads that chain for the
//! daemon, [`StoreDirectory`] is the directory through which nodes discover each other, [`StoreQuarantine`] keeps
//! the requests that are refused because they crash back ends, and [`AdminHandler`] serves the operator API.

pub mod admin;
mod chain_source;
mod collection;
mod directory;
mod quarantine;

pub use admin::AdminHandler;
pub use chain_source::ChainSource;
pub use collection::collect_now_and_then;
pub use directory::StoreDirectory;
pub use quarantine::StoreQuarantine;
