//! What operators ask of a node, and the chain of accepted versions as the source of configurations.
//!
//! Operators submit bundles to any node; the node's acceptor checks them with everything in force and appends a
//! version to the chain in the store. [`ChainSource`] reads that chain for the daemon, [`StoreDirectory`] is where its
//! nodes find one another, and [`AdminHandler`] answers the operators.

pub mod admin;
mod chain_source;
mod collection;
mod directory;

pub use admin::AdminHandler;
pub use chain_source::ChainSource;
pub use collection::collect_now_and_then;
pub use directory::StoreDirectory;
