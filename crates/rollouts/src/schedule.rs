//! How fast the share of the target grows.

use std::time::Duration;

use crate::plan::ALL_PERMILLE;

/// Bounds of every rollout, from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutSettings {
    /// Greatest share of all requests of a service, from the order to the end of its time, that a bad release may get.
    pub canary_share: f64,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self { canary_share: 0.1 }
    }
}

/// One step: the target's share, and for how long it stays.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Step {
    pub(crate) permille: u16,
    /// Shortest stay, as a share of the rollout's whole time.
    pub(crate) stay_share: f64,
    /// Answers of the target that have to be seen at least before the next step.
    pub(crate) answers: u32,
}

/// Steps by the shares that a canary share of 0.1 allows. Up to the last one they take 0.043 of all requests of the time of the
/// rollout, so that a release which turns bad under full load, and is found within half a second, stays below 0.1 in a
/// time of 12 s. The first one outlasts the 3 s in which new back ends are cold, for a time of 12 s and more.
const STEPS: [Step; 4] = [
    Step { permille: 50, stay_share: 0.26, answers: 60 },
    Step { permille: 150, stay_share: 0.07, answers: 120 },
    Step { permille: 300, stay_share: 0.07, answers: 200 },
    Step { permille: ALL_PERMILLE, stay_share: 0.0, answers: 0 },
];
/// Canary share for which [`STEPS`] are made.
const STEPS_MADE_FOR: f64 = 0.1;
/// Share of the time after which a step is taken also with fewer answers than wanted: a service may have few requests, of
/// which a bad release gets few too.
const HURRY_SHARE: f64 = 0.4;
/// Fewest answers then.
const HURRY_ANSWERS: u32 = 4;
/// Share of the time after which steps are taken with any number of answers: the rest is needed to move the requests.
const LAST_SHARE: f64 = 0.6;

/// The step with number `number`; the last one for all greater numbers.
pub(crate) fn step(settings: &RolloutSettings, number: usize) -> Step {
    let step = STEPS[number.min(STEPS.len() - 1)];
    if step.permille == ALL_PERMILLE {
        return step;
    }
    let factor = (settings.canary_share / STEPS_MADE_FOR).min(1.0);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "between 1 and 1000")]
    let permille = (f64::from(step.permille) * factor).round().max(1.0) as u16;
    Step { permille, ..step }
}

/// Number of the step whose share is at least `permille`.
pub(crate) fn step_of(settings: &RolloutSettings, permille: u16) -> usize {
    (0..STEPS.len()).find(|number| step(settings, *number).permille >= permille).unwrap_or(STEPS.len() - 1)
}

/// How far a step is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    /// Time from the order to its end.
    pub(crate) duration: Duration,
    /// Time since the order.
    pub(crate) elapsed: Duration,
    /// Time that all steps share.
    pub(crate) time_for_steps: Duration,
    /// Time since the step began.
    pub(crate) stayed: Duration,
    /// Answers of the target since then.
    pub(crate) answers: u32,
}

/// Whether the step is over.
pub(crate) fn is_over(step: Step, progress: Progress) -> bool {
    let Progress { duration, elapsed, time_for_steps, stayed, answers } = progress;
    if stayed < time_for_steps.mul_f64(step.stay_share) {
        return false;
    }
    let wanted = match elapsed {
        elapsed if elapsed >= duration.mul_f64(LAST_SHARE) => 0,
        elapsed if elapsed >= duration.mul_f64(HURRY_SHARE) => HURRY_ANSWERS,
        _ => step.answers,
    };
    answers >= wanted
}
