//! Submitting bundles through the operator API, at a given mean rate.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use tokio::time::{Instant, sleep, sleep_until};
use umberpond_hollow::unix_millis;
use umberpond_model::BundleName;

use super::bundles::BundleSet;
use super::real_node::RealNode;
use crate::error::XtaskError;

/// Attempts for one submission; the same identifier makes them one.
const ATTEMPTS: u32 = 5;

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// A version that was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptedChange {
    /// The version.
    pub version: u64,
    /// When the submission was sent.
    pub sent_unix_millis: u64,
    /// When its answer came.
    pub answered_unix_millis: u64,
}

/// What the operator API answers, as far as it matters here.
#[derive(Deserialize)]
struct SubmissionAnswer {
    result: String,
    version: Option<u64>,
}

/// Submits changes one after the other.
#[derive(Debug)]
pub struct Submitter {
    bundles: BundleSet,
    rng: ChaCha8Rng,
    /// Attempts that had to be made again.
    pub retries: u64,
}

impl Submitter {
    /// Submits `bundles` and changes to them.
    pub const fn new(bundles: BundleSet, rng: ChaCha8Rng) -> Self {
        Self { bundles, rng, retries: 0 }
    }

    /// Submits the first bundles; tells the last version.
    ///
    /// # Errors
    /// Fails when one is not accepted.
    pub async fn submit_first(&mut self, nodes: &[RealNode]) -> Result<u64, XtaskError> {
        let submissions: Vec<(BundleName, Vec<u8>)> =
            self.bundles.first_submissions().into_iter().map(|(name, bytes)| (name.clone(), bytes)).collect();
        let mut newest = 0;
        for (name, bytes) in submissions {
            newest = self.submit(nodes, &name, bytes.into()).await?.version;
        }
        Ok(newest)
    }

    /// Submits changes until `deadline`, as a Poisson process of `per_second`; a slow submission delays the next.
    ///
    /// # Errors
    /// Fails when one is not accepted.
    pub async fn submit_until(
        &mut self,
        nodes: &[RealNode],
        per_second: f64,
        deadline: Instant,
    ) -> Result<Vec<AcceptedChange>, XtaskError> {
        let mut accepted = Vec::new();
        let mut due = Instant::now();
        loop {
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            due += Duration::from_secs_f64(-uniform.ln() / per_second);
            if due >= deadline {
                sleep_until(deadline).await;
                return Ok(accepted);
            }
            sleep_until(due).await;
            let Some((name, bytes)) = self.bundles.change(&mut self.rng) else { continue };
            let name = name.clone();
            accepted.push(self.submit(nodes, &name, bytes.into()).await?);
        }
    }

    /// Submits one bundle through a node chosen by chance; another one is asked if it does not answer.
    async fn submit(
        &mut self,
        nodes: &[RealNode],
        bundle: &BundleName,
        content: Bytes,
    ) -> Result<AcceptedChange, XtaskError> {
        let submission: u128 = self.rng.random();
        let path = format!("/v1/bundles/{bundle}?submission={submission:032x}");
        let sent_unix_millis = unix_millis();
        let mut failure = None;
        for _ in 0..ATTEMPTS {
            let node = &nodes[self.rng.random_range(0..nodes.len())];
            match put(node, &path, content.clone()).await {
                Ok(version) => {
                    return Ok(AcceptedChange {
                        version,
                        sent_unix_millis,
                        answered_unix_millis: unix_millis(),
                    });
                }
                Err(error) => failure = Some(error),
            }
            self.retries += 1;
            sleep(RETRY_PAUSE).await;
        }
        Err(failure.unwrap_or(XtaskError::TimedOut { condition: "a change is accepted" }))
    }
}

async fn put(node: &RealNode, path: &str, content: Bytes) -> Result<u64, XtaskError> {
    let answer = node.admin().send(Method::PUT, path, content).await?;
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    let read: Option<SubmissionAnswer> = serde_json::from_str(&text).ok();
    let version = read.filter(|read| read.result == "accepted").and_then(|read| read.version);
    version.ok_or_else(|| XtaskError::NotAccepted { through: node.place.node.to_string(), answer: text })
}
