//! The request path: inbound and outbound halves over hyper.
//!
//! A request goes caller -> outbound half of the caller's node -> inbound half of the node beside the back end
//! -> back end, and its answer comes back the same way. [`ProxyState`] holds what both halves share,
//! [`serve_outbound`] and [`serve_inbound`] serve one listener each until they are told to drain.
//!
//! Every answer carries an [`Outcome`]: *answered*, *rejected* (it is known that the request did not run) or
//! *unknown*. Nothing here reads a wall clock or an unseeded random source, so the same code runs in simulation.

// The request path itself follows; until then parts of the state are unused.
#![allow(dead_code)]

mod backend;
mod clock;
mod headers;
mod identity;
mod observer;
mod outcome;
mod request_id;
mod routing;
mod serve;
mod settings;
mod shutdown;
mod state;

pub use backend::BackendHealth;
pub use clock::ProcessClock;
pub use headers::names as header_names;
pub use identity::NodeIdentity;
pub use observer::{
    AttemptFailure, CutReason, NoObserver, Phases, RefusalReason, RequestEvent, RequestObserver, RetryReason,
    Stage,
};
pub use outcome::Outcome;
pub use request_id::RequestId;
pub use routing::{
    CompileError, CompiledRoute, CredentialValue, InvalidCredential, NoRoute, RouteMatch, RoutingTable,
};
pub use serve::{check_backend, serve_inbound, serve_outbound};
pub use settings::{BackendSettings, ProxySettings};
pub use shutdown::{DrainHandle, DrainReport, ShutdownPhase, ShutdownSignal, shutdown_channel};
pub use state::{ProxyEnvironment, ProxyState, StaleVersion};
