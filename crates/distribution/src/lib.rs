//! Configuration distribution: which configuration a node holds, which nodes read the store, and how nodes
//! transfer configurations to each other.
//!
//! A few nodes read the store. Each node announces its version to some others; a node with an older version
//! fetches a delta from one of the nodes that announced a newer one. A node that finds no reader in contact
//! with the store becomes a reader itself. This crate does no I/O and reads no clock.

mod history;
mod newer_peers;
mod readers;
mod transfer;

pub use history::{ConfigurationHistory, HistorySize, VersionedConfiguration};
pub use newer_peers::NewerPeers;
pub use readers::{ReaderContext, ReaderRole, ReaderSettings, reader_role};
pub use transfer::{ConfigurationId, Transfer, TransferError};
