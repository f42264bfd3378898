//! Announcements and health checks of the back end beside this node, and the state derived from them.

mod announcement;
mod assignment;
mod check;
mod departures;
mod effect;
mod monitor;
mod probe;
mod process;
mod request_limits;
mod tracker;
mod warmth;

pub use announcement::{AnnouncedState, Announcement};
pub use assignment::{BackEndAssignment, ForeignAnnouncement};
pub use check::CheckSettings;
pub(crate) use check::check_periodically;
pub(crate) use departures::DepartureLog;
pub use departures::{DepartureError, DepartureStore};
pub use effect::{CloseReason, Effect, IgnoreReason, IgnoredAnnouncement};
pub use monitor::BackEndMonitor;
pub(crate) use probe::find_at_restart;
pub(crate) use request_limits::{check_low_limits, publish_request_limits};
pub use tracker::BackEndTracker;
pub(crate) use warmth::follow_warmth;
