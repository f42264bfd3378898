//! Tracks the states of the calls of one run, since the value of retrying one call depends on the others.

use bytes::Bytes;
use umberpond_selection::OtherCalls;

/// Maximum number of tracked calls per run; further ones are ignored.
const MAX_CALLS: usize = 64;

/// State of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallState {
    /// In transit or at a back end.
    Open,
    /// Rejected by a back end, and without a response so far.
    Rejected,
    /// Completed successfully.
    Completed,
    /// Failed or refused.
    Lost,
}

/// The tracked calls of one run.
#[derive(Debug, Default)]
pub(super) struct TrackedCalls {
    calls: Vec<(Bytes, CallState)>,
}

impl TrackedCalls {
    /// Adds a call that begins. Lost calls are dropped: the run has gone on without them, so they have no
    /// more effect.
    pub(super) fn begin(&mut self, id: &Bytes) {
        self.calls.retain(|(call, state)| *state != CallState::Lost && call != id);
        if self.calls.len() < MAX_CALLS {
            self.calls.push((id.clone(), CallState::Open));
        }
    }

    /// Sets the state of a call, unless it has completed successfully.
    pub(super) fn set(&mut self, id: &[u8], state: CallState) {
        let mut calls = self.calls.iter_mut();
        if let Some((_, current)) =
            calls.find(|(call, current)| call == id && *current != CallState::Completed)
        {
            *current = state;
        }
    }

    /// Counts the states of all calls except `id`.
    pub(super) fn others(&self, id: &[u8]) -> OtherCalls {
        let mut others = OtherCalls::default();
        for (_, state) in self.calls.iter().filter(|(call, _)| call != id) {
            match state {
                CallState::Open => others.open += 1,
                CallState::Rejected => others.rejected += 1,
                CallState::Completed => {}
                CallState::Lost => others.lost += 1,
            }
        }
        others
    }
}
