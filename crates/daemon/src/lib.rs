//! The daemon that runs beside each back end.
//!
//! [`Daemon::start`] opens the listeners and starts the actors and tasks of the membership, the
//! configuration, the back end monitor and the two halves of the request path. The platform-specific parts
//! are parameters: the [`configuration::ConfigurationSource`], the [`MemberDirectory`] and the
//! [`HeaderProfile`](umberpond_forwarding::HeaderProfile). [`Environment`] holds what the simulation
//! replaces.

pub mod back_end;
pub mod configuration;
mod directory;
mod duration;
mod environment;
mod error;
pub mod evacuations;
mod http_server;
mod listeners;
mod membership;
pub mod quarantine;
mod readiness;
pub mod rollouts;
pub mod settings;
mod start;
mod stop;
mod suspension;
pub mod wall_clock;

pub use directory::{DirectoryError, Listing, MemberDirectory};
pub use environment::Environment;
pub use error::StartError;
pub use http_server::{BoxHandler, HttpHandler, HttpRequest, HttpResponse, ORDINARY_BODY_BYTES, serve_http};
pub use listeners::listen;
pub use readiness::Unready;
pub use settings::NodeConfig;
pub use start::{Daemon, Extensions, RunningDaemon};
pub use stop::StopReport;
pub use suspension::{BootClock, MachineClock, NoBootClock};
