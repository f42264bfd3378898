//! Chooses the back end of a request, and decides whether a request is sent again.
//!
//! The core has no I/O and reads no clock: the present time and the random numbers are arguments.

mod budget;
mod choice;
mod draw;
mod endpoint;
mod releases;
mod retry_priority;
mod route_times;
mod selector;

pub use budget::{RetryBudget, RetryBudgetSettings};
pub use choice::{Choice, Query};
pub use draw::SamplingSettings;
pub use endpoint::{Endpoint, Observation};
pub use releases::{ReleaseGroup, ReleaseShare};
pub use retry_priority::{OtherCalls, RetryInitiator, RetryPriority, RetryStakes};
pub use selector::{ResponseTimes, Selector, SelectorSettings};
