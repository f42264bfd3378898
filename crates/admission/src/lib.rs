//! Admission: slots, classes, duplicate detection, deadlines and retry budgets.
//!
//! [`Admission`] is the gate before one back end, in the inbound half of a node. [`RequestAttempts`] decides in the
//! outbound half whether a failed attempt is sent again, within a [`RetryBudget`]. Neither reads a clock or does I/O:
//! the time is handed in, and a queued request waits on a [`Ticket`], which is a plain future.

mod attempt;
mod budget;
mod concurrency;
mod deadline;
mod gate;
mod outcome;
mod permit;
mod queue;
mod refusal;
mod retry;
mod seen;
mod settings;
mod ticket;
mod window;

pub use attempt::{Attempt, KeyDigest, RequestId};
pub use budget::{RetryBudget, RetryBudgetSettings};
pub use deadline::{Deadline, InvalidDeadline, LONGEST_DEADLINE};
pub use gate::{Admission, Admitted, GateStatus, GateView};
pub use outcome::Outcome;
pub use permit::{Completion, Permit};
pub use refusal::{Refusal, RefusalReason};
pub use retry::{AttemptStage, RequestAttempts, RetryDecision};
pub use settings::AdmissionSettings;
pub use ticket::Ticket;
