//! The request path: from a caller over two nodes to a back end and back.
//!
//! A request goes caller -> outbound half of the caller's node -> inbound half of the node beside the back end ->
//! back end. [`Outbound`] finds the route, chooses back ends and answers; [`Inbound`] is the only way to its back
//! end: it admits, queues and hands over. Between two nodes each exchange has a connection for itself
//! (module `hop`), so that no request waits for another one's bytes, and giving it up is closing the connection.
//!
//! Every attempt ends as *answered*, *not run* (proved) or *unknown*. Only what is proved not to have run is refused
//! with a promise, and only that or an idempotent request is sent again.

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
mod suspended_time;
mod upstream;

pub use header_profile::{HeaderMatcher, HeaderProfile, ResponseHeaders};
pub use inbound::{BackEnd, Inbound, InboundSettings};
pub use outbound::{Outbound, OutboundIdentity, OutboundSettings, StaleVersion};
pub use outcome::{NotRunReason, UnknownReason};
pub use quarantine::{FindingSource, Quarantine};
pub use quotas::QuotaGate;
pub use routing::{
    CompileError, CompiledRoute, NoRoute, NoTenant, OpenedSecrets, RoutingTable, SplitSequences, TenantTable,
    WeightedService,
};
pub use server::{ServerControl, ServerPhase, serve_inbound, serve_outbound};
pub use upstream::{Health, ReportedSlowdown};
