//! Retries of requests: the retry budget of each service, and the detection of calls made by retried runs.
//!
//! A second run of a request makes its calls again, so each retry is charged to a budget wherever it arrives:
//! the node that resends a request charges it, and the node in front of a back end charges the calls of
//! retried runs there ([`RetryLedger`]). A retry is not started if no budget covers its calls. While such
//! calls were charged to no budget, they were 325 of the 584 retries that a service received in ten seconds
//! during which responses were lost (event 4027).

mod active_runs;
mod call_rates;
mod ledger;
mod sharing_nodes;
#[cfg(test)]
mod tests;
mod tracked_calls;

pub(crate) use active_runs::{ActiveRuns, CallOrigin, RunContext, TrackedCall};
pub(crate) use ledger::{RetryKind, RetryLedger, RetryPermit, RetryRefusal};
