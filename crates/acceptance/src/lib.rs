//! Acceptance of submissions: one compare-and-swap step of the version chain.
//!
//! A submission is checked together with everything in force, its content is written as immutable objects named
//! by their hash, and one compare-and-swap of the head accepts it. Until the head moves nothing has happened.
//! A submission id stands at most once in the chain; that is what resolves lost answers and races.

mod acceptor;
mod attempt;
mod base;
pub mod chain;
mod collect;
mod content;
mod encoding;
mod error;
mod objects;
mod prepare;
mod shared;
mod submission;
mod swap;

pub use acceptor::{Acceptor, AcceptorContext};
pub use collect::{CollectError, CollectReport, CollectSettings, MIN_KEPT_VERSIONS, collect};
pub use error::ChainError;
pub use objects::{CHECKPOINT_VERSIONS, EarlierVersion, Manifest, PAGE_VERSIONS, RecordObject, Step};
pub use shared::{AcceptorSettings, UnixClock};
pub use submission::{
    AbandonError, Abandonment, Accepted, Change, NotAcceptedReason, Resolution, SubmitError, Winner,
};
