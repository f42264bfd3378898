//! The request path: inbound and outbound halves over hyper.
//!
//! A request goes caller -> outbound half of the caller's node -> inbound half of the node beside the back end
//! -> back end, and its answer comes back the same way. [`ProxyState`] holds what both halves share,
//! [`serve_outbound`] and [`serve_inbound`] serve one listener each until they are told to drain.
//!
//! Every answer carries an [`Outcome`]: *answered*, *rejected* (it is known that the request did not run) or
//! *unknown*. Nothing here reads a wall clock or an unseeded random source, so the same code runs in simulation.

mod backend;
mod clock;
mod headers;
mod identity;
mod inbound;
mod observer;
mod outbound;
mod outcome;
mod random;
mod refusal;
mod routing;
mod serve;
mod server;
mod settings;
mod shutdown;
mod state;
mod wire;

pub use backend::{BackendHealth, check_backend};
pub use clock::ProcessClock;
pub(crate) use clock::millis;
pub use headers::names as header_names;
pub use identity::NodeIdentity;
pub use observer::{
    AttemptFailure, CutReason, NoObserver, Phases, RefusalReason, RequestEvent, RequestObserver, RetryReason,
    Stage,
};
pub use outcome::Outcome;
pub use routing::{
    CompileError, CompiledRoute, CredentialValue, InvalidCredential, NoRoute, RouteMatch, RoutingTable,
};
pub use serve::{serve_inbound, serve_outbound};
pub use settings::{BackendSettings, ProxySettings};
pub use shutdown::{DrainHandle, DrainReport, ShutdownPhase, ShutdownSignal, shutdown_channel};
pub use state::{ProxyEnvironment, ProxyState, StaleVersion};
pub use umberpond_admission::RequestId;
