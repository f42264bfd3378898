//! The right to one slot of the back end.

use std::sync::Arc;
use std::time::Duration;

use umberpond_model::Timestamp;

use crate::gate::Shared;
use crate::window::Held;

/// How an admitted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The back end answered.
    Served {
        /// Time from handing the request over to the end of the answer.
        service_time: Duration,
    },
    /// The back end refused before execution, so a later attempt of the request may be admitted.
    Shed,
    /// Nothing was written to the back end, so a later attempt may be admitted. Says nothing of its load.
    NotSent,
    /// The exchange broke, or its caller went away; the request may have run.
    Broken,
}

/// One slot of the back end, given back when the permit is finished or dropped.
#[derive(Debug)]
#[must_use = "dropping a permit gives its slot back"]
pub struct Permit {
    shared: Arc<Shared>,
    held: Held,
    since: Timestamp,
    is_finished: bool,
}

impl Permit {
    pub(crate) fn new(shared: Arc<Shared>, held: Held, since: Timestamp) -> Self {
        Self { shared, held, since, is_finished: false }
    }

    /// When the slot was given out.
    #[must_use]
    pub const fn since(&self) -> Timestamp {
        self.since
    }

    /// Gives the slot back and learns from how the request ended. Dropping counts as [`Completion::Broken`].
    pub fn finish(mut self, now: Timestamp, completion: Completion) {
        self.is_finished = true;
        if matches!(completion, Completion::Shed | Completion::NotSent) {
            self.shared.window.refuse(self.held);
        }
        self.shared.release(Some(now), completion);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.is_finished {
            self.shared.release(None, Completion::Broken);
        }
    }
}
