//! The configuration of a node. A few nodes read it from the store and all others fetch it from them; each
//! node activates it as a whole.

mod activation;
mod actor;
mod message;
mod peers;
mod reader;
mod source;

pub use activation::Activation;
pub(crate) use actor::{ConfigurationActor, ConfigurationArguments};
pub(crate) use message::ConfigurationMessage;
pub(crate) use peers::serve_peers;
pub(crate) use reader::{ReaderTask, is_store_reader, read_store};
pub use source::{ConfigurationSource, SourceError, Sourced, Waited};
