//! The admin listener: operators, metrics, liveness and readiness.

pub mod api;
mod bundles;
mod configuration;
mod routes;
mod server;
mod status;
mod witnesses;

pub(crate) use routes::Routes;
pub(crate) use server::serve;
