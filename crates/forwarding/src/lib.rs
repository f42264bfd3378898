//! The request path: from a caller over two nodes to a back end and back.
//!
//! A request goes caller -> outbound half of the caller's node -> inbound half of the back end's node -> back
//! end. [`Outbound`] matches the request to a route, chooses back ends and replies to the caller. [`Inbound`]
//! is the only way to its back end: it admits requests, queues them and passes them to the back end. Each
//! exchange between two nodes has its own connection (module `hop`), so that no request waits for the bytes
//! of another one, and an exchange is cancelled by closing the connection.
//!
//! Every attempt ends as *answered*, *not run* (proven) or *unknown*. A reply guarantees that the request did
//! not run only if that is proven. Only requests that are proven not to have run and idempotent requests are
//! retried.

mod body;
mod calls;
mod clock;
mod header_profile;
mod hop;
mod inbound;
mod message;
mod outbound;
mod outcome;
mod quarantine;
mod quotas;
mod retries;
mod routing;
mod server;
mod shutdown_limit;
mod suspended_time;
mod upstream;

pub use header_profile::{HeaderMatcher, HeaderProfile, ResponseHeaders};
pub use inbound::{BackEnd, BackEndFinding, Inbound, InboundSettings};
pub use outbound::{Outbound, OutboundIdentity, OutboundSettings, StaleVersion};
pub use outcome::{NotRunReason, UnknownReason};
pub use quarantine::{FindingSource, Quarantine, TrialClaim};
pub use quotas::QuotaGate;
pub use routing::{
    CompileError, CompiledRoute, NoRoute, NoTenant, OpenedSecrets, RoutingTable, SplitSequences, TenantTable,
    WeightedService,
};
pub use server::{ServerControl, ServerPhase, serve_inbound, serve_outbound};
pub use upstream::{Health, ReportedSlowdown};
