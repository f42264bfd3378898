//! Connections to the local back end.

mod body;
mod connection;
mod exchange;
mod health;
mod load_field;
mod pool;
mod signals;

pub use body::UpstreamBody;
pub(crate) use exchange::{ExchangeEnd, ExchangeRequest, Exchanger, MISDIRECTED, ResponseListener};
pub use health::Health;
pub(crate) use health::{HealthResponse, probe_health};
pub use load_field::ReportedSlowdown;
pub(crate) use load_field::parse_slowdown;
pub(crate) use pool::{ConnectCheck, UpstreamPool, UpstreamSettings};
pub(crate) use signals::BackEndSignals;
