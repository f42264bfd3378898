//! Matches requests to routes.

mod compile;
mod split;
mod table;
mod tenants;

pub use compile::{CompileError, OpenedSecrets};
pub use split::SplitSequences;
pub use table::{CompiledRoute, NoRoute, RoutingTable, WeightedService};
pub use tenants::{NoTenant, TenantTable};
