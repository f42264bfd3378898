//! How the calls of one run stand, as far as a repeat of one depends on the others.

use bytes::Bytes;
use umberpond_selection::OtherCalls;

/// Most calls of one run that are followed; what becomes of further ones decides nothing.
const MAX_CALLS: usize = 64;

/// How a call stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallState {
    /// On its way or at a back end.
    Open,
    /// Turned away by a back end, without an answer so far.
    Rejected,
    /// Answered with success.
    Answered,
    /// Failed or refused.
    Lost,
}

/// The calls of one run.
#[derive(Debug, Default)]
pub(super) struct FollowedCalls {
    calls: Vec<(Bytes, CallState)>,
}

impl FollowedCalls {
    /// Takes in a call that begins. The run goes on without those that it had lost before, so these decide nothing any more.
    pub(super) fn begin(&mut self, id: &Bytes) {
        self.calls.retain(|(call, state)| *state != CallState::Lost && call != id);
        if self.calls.len() < MAX_CALLS {
            self.calls.push((id.clone(), CallState::Open));
        }
    }

    /// Sets how a call stands. One that was answered stays so.
    pub(super) fn set(&mut self, id: &[u8], state: CallState) {
        let mut calls = self.calls.iter_mut();
        if let Some((_, held)) = calls.find(|(call, held)| call == id && *held != CallState::Answered) {
            *held = state;
        }
    }

    /// How the calls other than `id` stand.
    pub(super) fn others(&self, id: &[u8]) -> OtherCalls {
        let mut others = OtherCalls::default();
        for (_, state) in self.calls.iter().filter(|(call, _)| call != id) {
            match state {
                CallState::Open => others.open += 1,
                CallState::Rejected => others.rejected += 1,
                CallState::Answered => {}
                CallState::Lost => others.lost += 1,
            }
        }
        others
    }
}
