//! Selects the back end of a request, and decides whether a request is retried.
//!
//! This crate performs no I/O and reads no clock: the current time and the random number generator are
//! arguments.

mod budget;
mod choice;
mod endpoint;
mod releases;
mod retry_priority;
mod route_times;
mod sampling;
mod selector;

pub use budget::{RetryBudget, RetryBudgetSettings};
pub use choice::{Choice, Query};
pub use endpoint::{Endpoint, Observation};
pub use releases::{ReleaseGroup, ReleaseShare};
pub use retry_priority::{OtherCalls, RetryDemand, RetryInitiator, RetryPriority};
pub use sampling::SamplingSettings;
pub use selector::{ResponseTimes, Selector, SelectorSettings};
