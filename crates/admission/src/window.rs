//! The duplicate window: at most one arrival of a non-idempotent request is let through.
//!
//! Every arrival, admitted or refused, is remembered for at least [`LONGEST_DEADLINE`] and normally for twice that. An
//! arrival that can't be remembered is not let through. So no request runs twice at one gate as long as no copy of an
//! attempt arrives more than [`LONGEST_DEADLINE`] after the first, or outlives the process that its connection
//! led to. An attempt that was itself *sent* late is covered without that bound: it states its request's age.

use umberpond_model::{Millis, Timestamp};

use crate::seen::{Arrival, Claim, Limits, Seen, SeenTable};
use crate::{AdmissionSettings, Attempt, KeyDigest, LONGEST_DEADLINE, RefusalReason};

/// Remembers the request ids and idempotency keys of non-idempotent requests.
#[derive(Debug)]
pub(crate) struct DuplicateWindow {
    requests: SeenTable,
    keys: SeenTable,
}

/// What one arrival holds in the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Held {
    /// Nothing: the request is idempotent.
    Nothing,
    /// The request's id, and its key if it has one.
    Request {
        /// The arrival that holds them.
        arrival: Arrival,
        /// The caller's key.
        key: Option<KeyDigest>,
    },
}

impl DuplicateWindow {
    pub(crate) fn new(started: Timestamp, settings: &AdmissionSettings) -> Self {
        let table = |capacity| {
            let window = settings.window.max(LONGEST_DEADLINE);
            SeenTable::new(started, Limits { window, guaranteed: LONGEST_DEADLINE, capacity })
        };
        Self { requests: table(settings.remembered_requests), keys: table(settings.remembered_keys) }
    }

    /// Lets an arrival through if it is the first that may run, and remembers it.
    pub(crate) fn claim(&self, now: Timestamp, attempt: &Attempt) -> Result<Held, RefusalReason> {
        if attempt.idempotent {
            return Ok(Held::Nothing);
        }
        if attempt.age.0.saturating_add(attempt.remaining.0) > LONGEST_DEADLINE.0 {
            return Err(RefusalReason::DeadlineTooLong);
        }
        let arrival = Arrival { request: attempt.request, attempt: attempt.number };
        self.claim_request(now, arrival, attempt.age)?;
        if let Some(key) = attempt.key {
            self.claim_key(now, arrival, key)
                .inspect_err(|_| self.requests.mark_refused(arrival.request.0, arrival))?;
        }
        Ok(Held::Request { arrival, key: attempt.key })
    }

    /// Notes that the arrival was refused for good: only a later attempt of its request may run.
    pub(crate) fn refuse(&self, held: Held) {
        let Held::Request { arrival, key } = held else { return };
        self.requests.mark_refused(arrival.request.0, arrival);
        if let Some(key) = key {
            self.keys.mark_refused(key.value(), arrival);
        }
    }

    pub(crate) fn remembered(&self) -> usize {
        self.requests.len() + self.keys.len()
    }

    /// Only a later attempt may follow one that was refused: a copy of a refused attempt stays refused.
    fn claim_request(&self, now: Timestamp, arrival: Arrival, age: Millis) -> Result<(), RefusalReason> {
        let first_sent = now.0.checked_sub(age.0).map(Timestamp);
        let may_follow = |seen: Seen| seen.refused && arrival.attempt > seen.arrival.attempt;
        verdict(self.requests.claim(now, arrival.request.0, arrival, first_sent, may_follow))
    }

    /// A key has no age of its own, so a forgotten key counts as new.
    fn claim_key(&self, now: Timestamp, arrival: Arrival, key: KeyDigest) -> Result<(), RefusalReason> {
        let always_new = Some(Timestamp(u64::MAX));
        verdict(self.keys.claim(now, key.value(), arrival, always_new, |seen| seen.refused))
    }
}

const fn verdict(claim: Claim) -> Result<(), RefusalReason> {
    match claim {
        Claim::First => Ok(()),
        Claim::Repeated => Err(RefusalReason::Duplicate),
        Claim::Forgotten | Claim::Full => Err(RefusalReason::TooOld),
    }
}
