//! Connections to the next hop, and what is known about each exchange on them.

mod attempt_body;
mod connection;
mod pool;
mod upstream;
mod write_gate;

pub(crate) use attempt_body::{AttemptBody, BodyFault, RequestBody};
pub(crate) use pool::{Pool, PoolLimits};
pub(crate) use upstream::{Exchange, ExchangeFailure, UpstreamBody};
