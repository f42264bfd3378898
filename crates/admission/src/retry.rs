//! Whether a failed attempt is sent again, and what the caller is told if not.

use umberpond_model::{Millis, ONE_SECOND, Timestamp};

use crate::{Deadline, Outcome, RetryBudget};

/// Attempts of one request at most, the first included.
const MOST_ATTEMPTS: u32 = 3;
/// `retry_after` told when no gate said how long.
const DEFAULT_RETRY_AFTER: Millis = ONE_SECOND;

/// How far an attempt came before it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStage {
    /// No connection could be made.
    NotConnected,
    /// There was a connection, and not one byte of the request was written to it.
    NothingWritten,
    /// At least one byte was written, and no answer came.
    Written,
    /// The gate or the back end said that the request was not executed.
    Refused {
        /// When to come back, as they said.
        retry_after: Millis,
    },
    /// The gate said that it has seen the request before, or may have forgotten it.
    Duplicate,
    /// Part of an answer reached the caller, and no more came.
    AnswerBegun,
    /// The whole answer reached the caller.
    Answered,
}

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the next attempt, to an endpoint that hasn't been tried if there is one.
    RetryElsewhere,
    /// Tell the caller.
    Answer(Outcome),
}

/// The attempts of one request.
#[derive(Debug, Clone)]
pub struct RequestAttempts {
    idempotent: bool,
    deadline: Deadline,
    ended: u32,
    may_have_run: bool,
    retry_after: Millis,
}

impl RequestAttempts {
    /// A request before its first attempt.
    #[must_use]
    pub const fn new(idempotent: bool, deadline: Deadline) -> Self {
        Self { idempotent, deadline, ended: 0, may_have_run: false, retry_after: DEFAULT_RETRY_AFTER }
    }

    /// Number of the attempt that is under way or comes next, from 1.
    #[must_use]
    pub const fn number(&self) -> u32 {
        self.ended + 1
    }

    /// Decides after an attempt has ended. Spends from `budget` only for a retry that is made.
    #[must_use]
    pub fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        stage: AttemptStage,
        budget: &RetryBudget,
    ) -> RetryDecision {
        self.ended += 1;
        self.may_have_run |= may_have_run(stage);
        if let AttemptStage::Refused { retry_after } = stage {
            self.retry_after = retry_after;
        }
        if self.may_retry_after(stage) && self.has_time_and_budget(now, budget) {
            return RetryDecision::RetryElsewhere;
        }
        RetryDecision::Answer(self.outcome_after(stage))
    }

    /// What to tell a caller whose request can't be sent at all, for want of an endpoint or of time.
    #[must_use]
    pub const fn outcome_without_attempt(&self) -> Outcome {
        if self.may_have_run {
            return Outcome::Unknown;
        }
        Outcome::Rejected { retry_after: self.retry_after }
    }

    const fn outcome_after(&self, stage: AttemptStage) -> Outcome {
        match stage {
            AttemptStage::Answered => Outcome::Answered,
            _ => self.outcome_without_attempt(),
        }
    }

    /// Only an idempotent request may follow an attempt that may have run.
    const fn may_retry_after(&self, stage: AttemptStage) -> bool {
        match stage {
            AttemptStage::NotConnected | AttemptStage::NothingWritten | AttemptStage::Refused { .. } => {
                self.idempotent || !self.may_have_run
            }
            AttemptStage::Written | AttemptStage::Duplicate => self.idempotent,
            AttemptStage::AnswerBegun | AttemptStage::Answered => false,
        }
    }

    fn has_time_and_budget(&self, now: Timestamp, budget: &RetryBudget) -> bool {
        self.ended < MOST_ATTEMPTS && !self.deadline.has_passed(now) && budget.try_spend(now)
    }
}

/// Whether an attempt that ended at `stage` may have run, or may still run.
const fn may_have_run(stage: AttemptStage) -> bool {
    match stage {
        AttemptStage::NotConnected | AttemptStage::NothingWritten | AttemptStage::Refused { .. } => false,
        AttemptStage::Written
        | AttemptStage::Duplicate
        | AttemptStage::AnswerBegun
        | AttemptStage::Answered => true,
    }
}
