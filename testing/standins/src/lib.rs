//! Small stand-ins for the outside: platform, back end and caller.
//!
//! Each runs over [`umberpond_net::Network`] and measures time with `tokio::time` alone, so the simulation can run
//! it over in-memory links on a paused clock. Each can be told to fail, by a library call or over HTTP.

pub mod backend;
pub mod caller;
mod content;
mod http_answer;
mod http_server;
pub mod platform;
pub mod program;
mod reconcile;
mod retry_window;

pub use content::{AnswerContent, Upload};
pub use http_answer::{AnswerBody, BodyCut};
pub use reconcile::{AllowedLocalities, Finding, FindingKind, Reconciliation, reconcile};
pub use retry_window::{OverspentWindow, RetryAllowance, ServiceTimes};
