//! Accepting connections and serving requests on them: the part that both halves share.

mod body;
mod caller_body;
mod check;
mod connection;
mod head_scanner;
mod listener;
mod open_request;
mod tracker;
mod watched_stream;

pub(crate) use body::ProxyBody;
pub(crate) use caller_body::CallerBody;
pub(crate) use check::{CheckedRequest, Malformed, single};
pub(crate) use connection::{Half, Server};
pub(crate) use listener::serve_listener;
pub(crate) use open_request::{Held, OpenRequest};
pub(crate) use tracker::InFlight;
