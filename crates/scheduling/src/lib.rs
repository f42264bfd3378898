//! Decides which requests a back end gets, in which order, and which are refused.
//!
//! The node beside a back end is the only way to it, so this is the one authority on what runs. The core has no I/O
//! and reads no clock: the present time is an argument.

mod admitted_work;
mod call_level;
mod call_outlook;
mod cold_start_limiter;
mod decision;
mod duplicates;
mod fair_shares;
mod kept_slots;
mod load;
mod place;
mod queue;
mod service_time;
mod slowdown;
mod wait_bounds;
mod work_item;

pub use call_level::CallLevel;
pub use call_outlook::{CallFailureEstimator, CallOutcome, PendingRun, RunRefusal};
pub use cold_start_limiter::ColdStartLimiter;
pub use decision::{Decision, Dequeued, DisplacedRequest, Refusal, Ticket};
pub use duplicates::DuplicateWindow;
pub use fair_shares::TenantUsage;
pub use load::LoadReport;
pub use queue::WorkQueue;
pub use service_time::ServiceTime;
pub use slowdown::{InvalidSlowdown, Slowdown};
pub use wait_bounds::{Dependent, WaitBounds};
pub use work_item::WorkItem;
