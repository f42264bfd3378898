//! Hollow nodes: the control half of many daemons in one process, over loopback TCP, for scale runs.
//!
//! A hollow node runs the daemon's own overlay and platform actors ([`umberpond_node::ControlNode`]) and has no request
//! path. The process counts control bytes of each node and the time at which each version came in force.

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
pub use plan::{FleetPlan, Seed};
pub use report::{FleetReport, NodeReport, Progress, Sample, StartedFleet, StartedNode};
pub use usage::ProcessUsage;
