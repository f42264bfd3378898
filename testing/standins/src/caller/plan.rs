//! What load a caller makes.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use umberpond_model::ServiceName;

/// How the calls are spaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spacing {
    /// Independent arrivals: exponential gaps.
    Poisson,
    /// Equal gaps.
    Fixed,
}

/// One kind of call in the mix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallKind {
    /// Service called; it is sent as the `host`.
    pub service: ServiceName,
    /// Start of the path; the call's own key follows after a `/`.
    pub path_prefix: String,
    /// Whether the route says that a call may be repeated.
    pub idempotent: bool,
    /// Share of this kind in the mix, relative to the others.
    pub weight: u32,
    /// Where the calls go, in turn.
    pub targets: Vec<SocketAddr>,
    /// Asked length of the answer, in bytes.
    #[serde(default)]
    pub answer_bytes: usize,
    /// Asked service time in milliseconds; the back end's own if absent.
    #[serde(default)]
    pub hold_millis: Option<u64>,
    /// Time in milliseconds over which the answer is spread.
    #[serde(default)]
    pub stream_millis: u64,
    /// Length of the upload, in bytes.
    #[serde(default)]
    pub upload_bytes: usize,
    /// Whether the call carries its key as `idempotency-key`.
    #[serde(default)]
    pub send_key: bool,
    /// Deadline sent with the call, in milliseconds.
    #[serde(default)]
    pub deadline_millis: Option<u64>,
}

impl CallKind {
    /// Method of the calls: uploads and what may not be repeated use POST.
    #[must_use]
    pub const fn method(&self) -> Method {
        if self.upload_bytes > 0 || !self.idempotent { Method::POST } else { Method::GET }
    }

    /// Path and query of the call with the given key.
    #[must_use]
    pub fn path(&self, key: &str) -> String {
        let mut path = format!("{}/{key}?bytes={}", self.path_prefix, self.answer_bytes);
        if let Some(hold) = self.hold_millis {
            path.push_str(&format!("&hold_millis={hold}"));
        }
        if self.stream_millis > 0 {
            path.push_str(&format!("&stream_millis={}", self.stream_millis));
        }
        path
    }
}

/// A plan that can't be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidPlan {
    /// The rate is not a positive number.
    #[error("the rate must be a positive number of calls a second")]
    BadRate,
    /// The mix has no kind with a weight above zero.
    #[error("the mix of calls is empty")]
    EmptyMix,
    /// A kind of call has no address to go to.
    #[error("a kind of call has no target")]
    NoTarget,
}

/// An open-loop load: calls start when their time has come, however long earlier ones take.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Start of each call's key, unique to this caller.
    pub label: String,
    /// Calls a second.
    pub rate: f64,
    /// How they are spaced.
    pub spacing: Spacing,
    /// For how long calls are started, in milliseconds.
    pub duration_millis: u64,
    /// Time after which the caller gives a call up, in milliseconds.
    pub patience_millis: u64,
    /// Seed of spacing and mix.
    pub seed: u64,
    /// The kinds of calls.
    pub mix: Vec<CallKind>,
}

impl LoadPlan {
    /// Checks the plan.
    ///
    /// # Errors
    /// [`InvalidPlan`] with the first fault found.
    pub fn check(&self) -> Result<(), InvalidPlan> {
        if !(self.rate.is_finite() && self.rate > 0.0) {
            return Err(InvalidPlan::BadRate);
        }
        if self.total_weight() == 0 {
            return Err(InvalidPlan::EmptyMix);
        }
        if self.mix.iter().any(|kind| kind.targets.is_empty()) {
            return Err(InvalidPlan::NoTarget);
        }
        Ok(())
    }

    /// Time from one call to the next.
    pub(super) fn gap(&self, rng: &mut ChaCha8Rng) -> Duration {
        let seconds = match self.spacing {
            Spacing::Fixed => 1.0 / self.rate,
            Spacing::Poisson => {
                let uniform: f64 = rng.random();
                -(1.0 - uniform).ln() / self.rate
            }
        };
        Duration::from_secs_f64(seconds)
    }

    /// Index of the kind of the next call.
    pub(super) fn pick(&self, rng: &mut ChaCha8Rng) -> usize {
        let mut ticket = rng.random_range(0..self.total_weight());
        for (index, kind) in self.mix.iter().enumerate() {
            let weight = u64::from(kind.weight);
            if ticket < weight {
                return index;
            }
            ticket -= weight;
        }
        self.mix.len() - 1
    }

    fn total_weight(&self) -> u64 {
        self.mix.iter().map(|kind| u64::from(kind.weight)).sum()
    }
}
