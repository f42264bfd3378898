//! Checks that all nodes together retried no more requests than the retry budget allows. The check compares
//! the requests that callers sent with the requests that back ends ran.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time::Instant;
use umberpond_model::ServiceName;
use umberpond_standins::backend::Ledger;
use umberpond_standins::caller::Answer;
use umberpond_standins::{RetryAllowance, ServiceTimes};

/// The default retry budget, which the nodes use as their settings don't set one.
const ALLOWANCE: RetryAllowance =
    RetryAllowance { ratio: 0.1, extra: 10.0, window_millis: 10_000, clock_error_millis: 200 };

/// Times of the requests that callers sent and of the retries that back ends ran, on a common clock.
#[derive(Debug)]
pub struct RetryRecord {
    epoch: Instant,
    times: BTreeMap<ServiceName, ServiceTimes>,
}

impl RetryRecord {
    /// Creates an empty record whose times count from `epoch`.
    pub fn new(epoch: Instant) -> Self {
        Self { epoch, times: BTreeMap::new() }
    }

    /// Adds the calls of a caller that started at `started_at`.
    pub fn add_calls(&mut self, started_at: Instant, answers: &[Answer]) {
        let offset = self.millis(started_at);
        for answer in answers {
            let times = self.times.entry(answer.service.clone()).or_default();
            times.requests.push(offset + answer.due_millis);
        }
    }

    /// Adds the ledgers of back ends, each with the time at which the back end started.
    pub fn add_runs(&mut self, ledgers: &[(Instant, Ledger)]) {
        let mut ran: BTreeSet<&str> = BTreeSet::new();
        for (started_at, ledger) in ledgers {
            let offset = self.millis(*started_at);
            let times = self.times.entry(ledger.service.clone()).or_default();
            // Ledgers are added one after another, so the run counted as the first is not always the
            // earliest. That does not matter: the runs of a request are close together, and the number of
            // retries is the same.
            let repeated = ledger.entries.iter().filter(|entry| !ran.insert(&entry.path));
            times.repeats.extend(repeated.map(|entry| offset + entry.started_millis));
        }
    }

    /// Describes, for each service that received more retries than allowed, its worst window.
    pub fn violations(&self) -> Vec<String> {
        let of_service = |(service, times): (&ServiceName, &ServiceTimes)| {
            let overspent = ALLOWANCE.overspent(times);
            let worst = overspent.into_iter().max_by_key(|window| window.repeats)?;
            let (repeats, requests) = (worst.repeats, worst.requests);
            Some(format!("{service}: {repeats} retries in 10 s for {requests} requests"))
        };
        self.times.iter().filter_map(of_service).collect()
    }

    /// Number of runs beyond the first of each request.
    pub fn repeats(&self) -> usize {
        self.times.values().map(|times| times.repeats.len()).sum()
    }

    fn millis(&self, at: Instant) -> u64 {
        u64::try_from(at.saturating_duration_since(self.epoch).as_millis()).unwrap_or(u64::MAX)
    }
}
