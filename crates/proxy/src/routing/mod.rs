//! The routing table: a snapshot compiled for the request path.

mod compile;
mod credential;
mod table;

pub use compile::CompileError;
pub use credential::{CredentialValue, InvalidCredential};
pub use table::{CompiledRoute, NoRoute, RouteMatch, RoutingTable};
