//! Which configuration a node holds, who reads the store, and what one node sends another.
//!
//! A few nodes read the store; each tells some others which version it holds, and a node that holds an older one
//! fetches the difference from one of those that told it. A node that finds no reader in touch with the store becomes one. The
//! core has no I/O and reads no clock.

mod held;
mod holders;
mod readers;
mod transfer;

pub use held::{ConfigurationHistory, VersionedConfiguration};
pub use holders::NewerPeers;
pub use readers::{ReaderContext, ReaderRole, ReaderSettings, reader_role};
pub use transfer::{Held, Transfer, TransferError};
