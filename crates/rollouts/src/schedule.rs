//! Schedule by which the share of the target grows.

use std::time::Duration;

use crate::plan::ALL_PERMILLE;

/// Limits that apply to every rollout, from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutSettings {
    /// Maximum fraction of all requests of a service during the rollout that a bad release may get.
    pub canary_share: f64,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self { canary_share: 0.1 }
    }
}

/// One step: the share of the target and how long it lasts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Step {
    pub(crate) permille: u16,
    /// Minimum time in this step, as a fraction of the time available for all steps.
    pub(crate) min_stay_share: f64,
    /// Minimum number of responses of the target before the next step.
    pub(crate) responses: u32,
}

/// Steps for a canary share of 0.1. Up to the last step the target gets 0.043 of all requests of the rollout.
/// A release that turns bad under full load and is detected within half a second thus stays below 0.1 in a
/// rollout of 12 s. For durations of 12 s and more, the first step outlasts the 3 s in which new back ends
/// are cold.
const STEPS: [Step; 4] = [
    Step { permille: 50, min_stay_share: 0.26, responses: 60 },
    Step { permille: 150, min_stay_share: 0.07, responses: 120 },
    Step { permille: 300, min_stay_share: 0.07, responses: 200 },
    Step { permille: ALL_PERMILLE, min_stay_share: 0.0, responses: 0 },
];
/// Canary share that [`STEPS`] is designed for.
const STEPS_CANARY_SHARE: f64 = 0.1;
/// Fraction of the duration after which fewer responses suffice for the next step. A service may have few
/// requests, and a bad release then gets few of them too.
const REDUCED_SAMPLE_SHARE: f64 = 0.4;
/// Minimum number of responses after [`REDUCED_SAMPLE_SHARE`].
const REDUCED_SAMPLE_RESPONSES: u32 = 4;
/// Fraction of the duration after which the next step needs no responses: the rest of the time is needed to
/// shift the requests.
const NO_SAMPLE_SHARE: f64 = 0.6;

/// The step with the index `number`, or the last step if there are fewer.
pub(crate) fn step(settings: &RolloutSettings, number: usize) -> Step {
    let step = STEPS[number.min(STEPS.len() - 1)];
    if step.permille == ALL_PERMILLE {
        return step;
    }
    let factor = (settings.canary_share / STEPS_CANARY_SHARE).min(1.0);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "between 1 and 1000")]
    let permille = (f64::from(step.permille) * factor).round().max(1.0) as u16;
    Step { permille, ..step }
}

/// Index of the first step whose share is at least `permille`.
pub(crate) fn step_of(settings: &RolloutSettings, permille: u16) -> usize {
    (0..STEPS.len()).find(|number| step(settings, *number).permille >= permille).unwrap_or(STEPS.len() - 1)
}

/// Progress of the current step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    /// Total duration of the rollout.
    pub(crate) duration: Duration,
    /// Time since the order.
    pub(crate) elapsed: Duration,
    /// Time available for all steps.
    pub(crate) time_for_steps: Duration,
    /// Time since the step began.
    pub(crate) stayed: Duration,
    /// Responses of the target since the step began.
    pub(crate) responses: u32,
}

/// Whether the step has lasted long enough and has enough responses.
pub(crate) fn is_over(step: Step, progress: Progress) -> bool {
    let Progress { duration, elapsed, time_for_steps, stayed, responses } = progress;
    if stayed < time_for_steps.mul_f64(step.min_stay_share) {
        return false;
    }
    let required_responses = match elapsed {
        elapsed if elapsed >= duration.mul_f64(NO_SAMPLE_SHARE) => 0,
        elapsed if elapsed >= duration.mul_f64(REDUCED_SAMPLE_SHARE) => REDUCED_SAMPLE_RESPONSES,
        _ => step.responses,
    };
    responses >= required_responses
}
