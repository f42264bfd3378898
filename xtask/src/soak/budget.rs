//! Whether all nodes together sent no more again than the retry budget allows, by what callers sent and back ends ran.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time::Instant;
use umberpond_model::ServiceName;
use umberpond_standins::backend::Ledger;
use umberpond_standins::caller::Answer;
use umberpond_standins::{RetryAllowance, ServiceTimes};

/// The budget of nodes whose settings don't name one.
const ALLOWANCE: RetryAllowance =
    RetryAllowance { ratio: 0.1, extra: 10.0, window_millis: 10_000, clock_error_millis: 200 };

/// What callers sent and back ends ran, on one clock.
#[derive(Debug)]
pub struct RetryRecord {
    began: Instant,
    times: BTreeMap<ServiceName, ServiceTimes>,
}

impl RetryRecord {
    /// An empty record; its times count from `began`.
    pub fn new(began: Instant) -> Self {
        Self { began, times: BTreeMap::new() }
    }

    /// Takes in the calls of a caller that started at `started_at`.
    pub fn add_calls(&mut self, started_at: Instant, answers: &[Answer]) {
        let offset = self.millis(started_at);
        for answer in answers {
            let times = self.times.entry(answer.service.clone()).or_default();
            times.requests.push(offset + answer.due_millis);
        }
    }

    /// Takes in what back ends ran, each with the moment at which it had started.
    pub fn add_runs(&mut self, ledgers: &[(Instant, Ledger)]) {
        let mut ran: BTreeSet<&str> = BTreeSet::new();
        for (started_at, ledger) in ledgers {
            let offset = self.millis(*started_at);
            let times = self.times.entry(ledger.service.clone()).or_default();
            // Which of the runs was the first doesn't matter: they are close together, and their count is the same.
            let repeated = ledger.entries.iter().filter(|entry| !ran.insert(&entry.path));
            times.repeats.extend(repeated.map(|entry| offset + entry.started_millis));
        }
    }

    /// The windows in which a service received more repeats than are allowed, for people.
    pub fn overspent(&self) -> Vec<String> {
        let of_service = |(service, times): (&ServiceName, &ServiceTimes)| {
            let overspent = ALLOWANCE.overspent(times);
            let worst = overspent.into_iter().max_by_key(|window| window.repeats)?;
            let (repeats, requests) = (worst.repeats, worst.requests);
            Some(format!("{service}: {repeats} repeats in 10 s for {requests} requests"))
        };
        self.times.iter().filter_map(of_service).collect()
    }

    /// Runs beyond the first of each request.
    pub fn repeats(&self) -> usize {
        self.times.values().map(|times| times.repeats.len()).sum()
    }

    fn millis(&self, at: Instant) -> u64 {
        u64::try_from(at.saturating_duration_since(self.began).as_millis()).unwrap_or(u64::MAX)
    }
}
