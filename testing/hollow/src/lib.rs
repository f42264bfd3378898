//! Hollow nodes: many whole daemons in one process, over loopback sockets, for scale runs.
//!
//! A hollow node is the daemon itself with a back end that never says anything, so that it has no requests. The
//! process counts control bytes of each node and the time at which each version came in force.

mod activation_log;
mod error;
mod fleet;
mod places;
mod plan;
mod report;
mod usage;

pub use activation_log::{Activation, unix_millis};
pub use error::HollowError;
pub use fleet::Fleet;
pub use places::{Place, Places};
pub use plan::FleetPlan;
pub use report::{FleetReport, NodeReport, Progress, Sample, StartedFleet};
pub use usage::ProcessUsage;
