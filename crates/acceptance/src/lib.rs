//! Acceptance of submissions: one compare-and-swap step of the version chain.
//!
//! A submission is checked together with all active bundles, its content is written as immutable objects
//! named by their hash, and one compare-and-swap of the head accepts it. Nothing takes effect before the head
//! is replaced. The chain contains a submission id at most once, which resolves lost responses and races.

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
