//! What is in force: read from the store by a few nodes, fetched from them by all others, put in force whole.

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
pub(crate) use reader::{ReaderTask, finds_itself_reader, read_store};
pub use source::{ConfigurationSource, Position, SourceError, Sourced, Waited};
