//! What a node sends again: the retry budget of each service, and which calls come from repeated runs.
//!
//! A second run of a request makes its calls again, so each repeat is paid for wherever it arrives: by the node that sends a request again, and
//! by the node beside a back end for the calls of repeated runs there ([`RetryLedger`]). A repeat whose calls nobody could pay for is not begun. As long
//! as nobody paid for them, such calls were 325 of the 584 repeats that a service received in ten seconds in which answers were lost (event 4027).

mod call_rates;
mod followed_calls;
mod ledger;
mod open_runs;
mod sharing;
#[cfg(test)]
mod tests;

pub(crate) use ledger::{RetryKind, RetryLedger, RetryPermit, RetryRefusal};
pub(crate) use open_runs::{ActiveRuns, CallOrigin, RunContext, TrackedCall};
