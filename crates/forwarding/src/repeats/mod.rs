//! What a node sends again: the retry budget of each service, and which calls come from repeated runs.

mod ledger;
mod open_runs;

pub(crate) use ledger::RetryLedger;
pub(crate) use open_runs::{CallOrigin, OpenRuns};
