//! A caller: open-loop load from a seed, and a record of every answer.

mod answer;
mod call;
mod connections;
mod plan;
mod report;

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use umberpond_net::Network;

pub use answer::{Answer, Outcome};
pub use plan::{CallKind, InvalidPlan, LoadPlan, Spacing};
pub use report::{CallerReport, Latencies};

use call::Call;
use connections::Connections;

/// A caller that carries out one plan.
pub struct Caller {
    connections: Arc<Connections>,
    plan: LoadPlan,
}

impl Caller {
    /// Checks the plan.
    ///
    /// # Errors
    /// [`InvalidPlan`] if it can't be carried out.
    pub fn new(network: Arc<dyn Network>, plan: LoadPlan) -> Result<Self, InvalidPlan> {
        plan.check()?;
        Ok(Self { connections: Arc::new(Connections::new(network)), plan })
    }

    /// Makes every call of the plan and waits for the last one to end. Dropping the future cancels all calls.
    pub async fn run(self) -> CallerReport {
        let mut rng = ChaCha8Rng::seed_from_u64(self.plan.seed);
        let kinds: Vec<_> = self.plan.mix.iter().cloned().map(Arc::new).collect();
        let mut sent_by_kind = vec![0_usize; kinds.len()];
        let started = Instant::now();
        let end = started + Duration::from_millis(self.plan.duration_millis);
        let patience = Duration::from_millis(self.plan.patience_millis);
        let mut due = started + self.plan.gap(&mut rng);
        let mut number = 0_u64;
        let mut calls = JoinSet::new();
        while due < end {
            sleep_until(due).await;
            let index = self.plan.pick(&mut rng);
            let kind = Arc::clone(&kinds[index]);
            let target = kind.targets[sent_by_kind[index] % kind.targets.len()];
            sent_by_kind[index] += 1;
            let key = format!("{}-{number}", self.plan.label);
            let due_millis = u64::try_from((due - started).as_millis()).unwrap_or(u64::MAX);
            let call = Call { kind, key, target, due, due_millis };
            calls.spawn(numbered(number, call, Arc::clone(&self.connections), patience));
            number += 1;
            due += self.plan.gap(&mut rng);
        }
        let mut answers = calls.join_all().await;
        answers.sort_by_key(|numbered| numbered.number);
        CallerReport { answers: answers.into_iter().map(|numbered| numbered.answer).collect() }
    }
}

struct NumberedAnswer {
    number: u64,
    answer: Answer,
}

async fn numbered(
    number: u64,
    call: Call,
    connections: Arc<Connections>,
    patience: Duration,
) -> NumberedAnswer {
    NumberedAnswer { number, answer: call.make(&connections, patience).await }
}
