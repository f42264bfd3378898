//! Which route a request takes.

mod compile;
mod table;

pub use compile::{CompileError, OpenedSecrets};
pub use table::{CompiledRoute, NoRoute, RoutingTable, WeightedService};
