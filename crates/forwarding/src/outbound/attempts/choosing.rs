//! To which endpoint the next attempt goes.

use tokio::time::Instant;
use umberpond_quarantine::SuspicionLevel;
use umberpond_selection::{Choice, Query, ReleaseGroup};

use super::Attempts;
use crate::message::NotRun;
use crate::outcome::NotRunReason;

impl Attempts<'_> {
    /// Why the request is not sent at all if there is no endpoint for it.
    pub(super) const fn nowhere(&self) -> NotRunReason {
        if self.request.homes.are_anywhere() { NotRunReason::NoEndpoint } else { NotRunReason::NoHome }
    }

    /// Why the request is kept away from all back ends, if it is.
    pub(super) fn kept_away(&self) -> Option<NotRun> {
        match self.outbound.quarantine().standing(&self.request.request_key) {
            SuspicionLevel::Clear | SuspicionLevel::Suspected | SuspicionLevel::Isolated => None,
            SuspicionLevel::Paused(left) => Some(NotRun {
                retry_after: Some(left),
                ..NotRun::before_back_end(NotRunReason::SuspectPaused)
            }),
            SuspicionLevel::Quarantined => Some(NotRun::before_back_end(NotRunReason::Quarantined)),
        }
    }

    /// An endpoint that was not tried; of the other releases if the one to which the request was dealt has none.
    pub(super) fn choose_in_turn(&mut self) -> Option<Choice> {
        if let Some(choice) = self.choose() {
            return Some(choice);
        }
        if self.group == ReleaseGroup::Others {
            return None;
        }
        self.group = ReleaseGroup::Others;
        self.choose()
    }

    /// Whether the request may have ended a back end.
    fn is_suspect(&self) -> bool {
        self.has_crashed || self.outbound.quarantine().is_suspect(&self.request.request_key)
    }

    /// An endpoint that was not tried.
    fn choose(&self) -> Option<Choice> {
        let now = Instant::now().into_std();
        let selector = self.outbound.selector.lock();
        let mut random = self.outbound.random.lock();
        let route = &self.request.route;
        let query = Query {
            route: &route.name,
            tried: &self.tried,
            group: self.group,
            objective: route.objective,
            homes: &self.request.homes,
        };
        match &self.request.key {
            // The caller's repetition has to meet the node that remembers the key.
            Some(key) if !route.is_idempotent => {
                selector.choose_for_key(now, &self.request.service, key, query)
            }
            // Wherever it enters it goes to the same back end, so that it can't end several at the same time.
            _ if self.is_suspect() => {
                let fingerprint = self.request.request_key.content;
                selector.choose_for_key(now, &self.request.service, fingerprint.as_bytes(), query)
            }
            _ => selector.choose(now, &mut *random, &self.request.service, query),
        }
    }
}
