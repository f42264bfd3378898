//! Checks that nodes keep to what back ends say in their responses: request limits, and that they are leaving.
//! Counts only requests that entered at the edge node that faults don't hit, since a restart or a pause excuses
//! a node.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use umberpond_standins::backend::Ledger;
use umberpond_standins::caller::{Answer, Outcome};

/// Time from the start of a limit until it has to hold.
const REACTION_TIME: Duration = Duration::from_secs(3);
/// A node counts as informed this long after it has forwarded a response with the signal.
const INFORMED_AFTER: Duration = Duration::from_millis(500);
/// Time for which a leaving back end may get new requests after such a response was forwarded.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Multiple of the limit that is tolerated in a window.
const TOLERATED_FACTOR: f64 = 1.5;
/// Number of requests that are tolerated in a window in addition.
const TOLERATED_EXTRA: f64 = 5.0;

/// What the responses of a back end say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// It accepts so many requests from all nodes together, in thousandths per second.
    Limited(u64),
    /// It is about to shut down.
    Leaving,
}

/// A signal that a back end has sent.
#[derive(Debug, Clone)]
pub struct SentSignal {
    /// Name of the back end.
    pub back_end: String,
    /// What it said.
    pub signal: Signal,
    /// When it began to say so.
    pub from: Instant,
    /// When it ceased to say so; absent if it did not.
    pub until: Option<Instant>,
}

/// A call through the edge node.
#[derive(Debug, Clone, Copy)]
struct EdgeCall {
    sent_at: Instant,
    /// When its response was complete; absent if it got none.
    answered_at: Option<Instant>,
}

/// A request through the edge node that a back end ran.
#[derive(Debug, Clone, Copy)]
struct EdgeRun {
    call: EdgeCall,
    /// When it started.
    at: Instant,
    /// Request limit in its response, in thousandths per second.
    advertised_limit: Option<u64>,
    /// Whether its response said that the back end is leaving.
    said_leaving: bool,
}

impl EdgeRun {
    /// Whether its response carried `signal`.
    fn carried(&self, signal: Signal) -> bool {
        match signal {
            Signal::Limited(thousandths) => self.advertised_limit == Some(thousandths),
            Signal::Leaving => self.said_leaving,
        }
    }
}

/// The calls through the edge node, by path.
#[derive(Debug, Default)]
pub struct EdgeCalls {
    by_path: BTreeMap<String, EdgeCall>,
}

impl EdgeCalls {
    /// Adds the calls of a caller that started at `started_at` and sends to the edge node.
    pub fn add(&mut self, started_at: Instant, answers: &[Answer]) {
        for answer in answers {
            let sent_at = started_at + Duration::from_millis(answer.due_millis);
            let took = Duration::from_micros(answer.latency_micros);
            let answered_at = (answer.outcome == Outcome::Answered).then(|| sent_at + took);
            self.by_path.insert(answer.path.clone(), EdgeCall { sent_at, answered_at });
        }
    }

    /// Describes each signal that was not kept to. The ledgers come with the start times of their back ends.
    pub fn violations(&self, signals: &[SentSignal], ledgers: &[(Instant, Ledger)]) -> Vec<String> {
        let described = signals.iter().filter_map(|signal| {
            let (started_at, ledger) =
                ledgers.iter().find(|(_started_at, ledger)| ledger.backend == signal.back_end)?;
            self.violation(signal, &self.runs(*started_at, ledger))
        });
        described.collect()
    }

    /// The requests through the edge node that a back end ran.
    fn runs(&self, started_at: Instant, ledger: &Ledger) -> Vec<EdgeRun> {
        let runs = ledger.entries.iter().filter_map(|entry| {
            let call = self.by_path.get(&entry.path)?;
            Some(EdgeRun {
                call: *call,
                at: started_at + Duration::from_millis(entry.started_millis),
                advertised_limit: entry.advertised_limit,
                said_leaving: entry.said_leaving,
            })
        });
        runs.collect()
    }

    fn violation(&self, sent: &SentSignal, runs: &[EdgeRun]) -> Option<String> {
        let until = sent.until.unwrap_or_else(Instant::now);
        let during: Vec<_> = runs.iter().filter(|run| (sent.from..until).contains(&run.at)).collect();
        let informing = during.iter().filter(|run| run.carried(sent.signal));
        let forwarded_at = informing.filter_map(|run| run.call.answered_at).min()?;
        match sent.signal {
            Signal::Limited(thousandths) => {
                let held_from = (sent.from + REACTION_TIME).max(forwarded_at + INFORMED_AFTER);
                let counted = during.iter().map(|run| run.at).filter(|at| *at >= held_from);
                let most = max_in_window(counted.collect());
                let is_exceeded = most > tolerated(thousandths);
                let limit = thousandths as f64 / 1_000.0;
                is_exceeded
                    .then(|| format!("{}: {most} requests in 4 s at a limit of {limit}/s", sent.back_end))
            }
            Signal::Leaving => {
                let closed_from = forwarded_at + DRAIN_TIME;
                let count = during.iter().filter(|run| run.call.sent_at > closed_from).count();
                (count > 0)
                    .then(|| format!("{}: {count} requests after it said that it leaves", sent.back_end))
            }
        }
    }
}

/// Largest number of times within any [`WINDOW`].
fn max_in_window(mut times: Vec<Instant>) -> usize {
    times.sort();
    let within = |first: usize| times[first..].iter().filter(|at| **at - times[first] < WINDOW).count();
    (0..times.len()).map(within).max().unwrap_or(0)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small and positive")]
fn tolerated(thousandths: u64) -> usize {
    let limit = thousandths as f64 / 1_000.0;
    (TOLERATED_FACTOR * limit * WINDOW.as_secs_f64() + TOLERATED_EXTRA) as usize
}

#[cfg(test)]
mod tests;
