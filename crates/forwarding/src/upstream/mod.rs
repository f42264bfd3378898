//! Connections to the local back end.

mod body;
mod connection;
mod exchange;
mod health;
mod load_field;
mod pool;

pub use body::UpstreamBody;
pub(crate) use exchange::{ExchangeEnd, ExchangeRequest, Exchanger, MISDIRECTED};
pub use health::Health;
pub(crate) use health::probe_health;
pub use load_field::ReportedSlowdown;
pub(crate) use load_field::{LoadListener, parse_slowdown};
pub(crate) use pool::{ConnectCheck, UpstreamPool, UpstreamSettings};
