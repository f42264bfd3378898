//! Decides which requests a back end gets, in which order, and which are refused.
//!
//! A *run* is the execution of one request by a back end. A *call* is a request that a run sends to another
//! service and waits for; all other requests are *new* requests.
//!
//! All requests to a back end pass through the node beside it, so the queue of that node is authoritative for
//! what runs. The crate performs no I/O and reads no clock: the current time is an argument.

mod admitted_work;
mod advertised_limit;
mod call_failure_estimator;
mod call_level;
mod cold_start_limiter;
mod decision;
mod duplicates;
mod fair_shares;
mod load;
mod queue;
mod queue_key;
mod request_limiter;
mod reserved_slots;
mod service_time;
mod slowdown;
mod start_limits;
mod wait_bounds;
mod work_item;

pub use advertised_limit::{AdvertisedLimit, LimitReport};
pub use call_failure_estimator::{CallFailureEstimator, CallOutcome, PendingRun, RunRefusal};
pub use call_level::CallLevel;
pub use cold_start_limiter::ColdStartLimiter;
pub use decision::{Decision, Dequeued, DisplacedRequest, Refusal, Ticket};
pub use duplicates::DuplicateWindow;
pub use fair_shares::TenantUsage;
pub use load::LoadReport;
pub use queue::WorkQueue;
pub use request_limiter::RequestLimiter;
pub use service_time::ServiceTime;
pub use slowdown::{InvalidSlowdown, Slowdown};
pub use wait_bounds::{Dependent, WaitBounds};
pub use work_item::WorkItem;
