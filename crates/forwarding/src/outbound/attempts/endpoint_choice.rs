//! Chooses the endpoint for the next attempt.

use tokio::time::Instant;
use umberpond_quarantine::SuspicionLevel;
use umberpond_selection::{Choice, Query, ReleaseGroup};
use umberpond_telemetry::Event;

use super::Attempts;
use crate::message::{NotRun, id_text};
use crate::outbound::handler::RETRY_AFTER_RESTART;
use crate::outcome::NotRunReason;

impl Attempts<'_> {
    /// Why the request is not sent if no endpoint is eligible.
    pub(super) const fn no_endpoint_reason(&self) -> NotRunReason {
        if self.request.homes.are_anywhere() { NotRunReason::NoEndpoint } else { NotRunReason::NoHomeRegion }
    }

    /// Why the request is withheld from all back ends, if it is suspected of crashing them. A quarantined one
    /// may become a trial run.
    pub(super) async fn quarantine_refusal(&mut self) -> Option<NotRun> {
        match self.outbound.quarantine().suspicion_level(&self.request.request_key) {
            SuspicionLevel::Clear | SuspicionLevel::Suspected | SuspicionLevel::Isolated => None,
            SuspicionLevel::Paused(left) => Some(NotRun {
                retry_after: Some(left),
                ..NotRun::before_back_end(NotRunReason::SuspectPaused)
            }),
            SuspicionLevel::Quarantined => self.start_trial().await.err(),
        }
    }

    async fn start_trial(&mut self) -> Result<(), NotRun> {
        if self.trial.is_some() {
            return Ok(());
        }
        match self.outbound.quarantine().start_trial(&self.request.request_key).await {
            Ok(permit) => {
                self.trial = Some(permit);
                Ok(())
            }
            Err(retry_after) => {
                Err(NotRun { retry_after, ..NotRun::before_back_end(NotRunReason::Quarantined) })
            }
        }
    }

    /// Withholds the request if the process shuts down before the response of `choice` can be expected.
    pub(super) fn check_shutdown(&self, choice: &Choice) -> Result<(), NotRun> {
        let request = &self.request;
        let Some(limit) = &request.shutdown_limit else { return Ok(()) };
        let checked = limit.check(&self.outbound.telemetry, &request.id, &request.service, choice.total);
        checked.map_err(|not_run| NotRun { retry_after: Some(RETRY_AFTER_RESTART), ..not_run })
    }

    /// Records that a trial run, if the request is one, is about to be sent to `choice`.
    pub(super) fn on_trial_sent(&mut self, choice: &Choice) {
        let Some(trial) = &mut self.trial else { return };
        trial.set_sent(true);
        self.outbound.telemetry.emit(Event::TrialStarted {
            request: id_text(&self.request.id),
            fingerprint: trial.fingerprint().to_string(),
            trial: u64::from(trial.number()),
            node: choice.node.clone(),
        });
    }

    /// Chooses an untried endpoint. Falls back to the other releases if the assigned release has none.
    pub(super) fn choose_endpoint(&mut self) -> Option<Choice> {
        if let Some(choice) = self.choose() {
            return Some(choice);
        }
        if self.group == ReleaseGroup::Others {
            return None;
        }
        self.group = ReleaseGroup::Others;
        self.choose()
    }

    /// Whether the request is suspected of having crashed a back end.
    fn is_suspect(&self) -> bool {
        self.has_crashed || self.outbound.quarantine().is_suspect(&self.request.request_key)
    }

    /// Chooses an untried endpoint among the eligible releases.
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
            // A retry by the caller has to reach the node that remembers the idempotency key.
            Some(key) if !route.is_idempotent => {
                selector.choose_for_key(now, &self.request.service, key, query)
            }
            // A suspected request goes to the same back end whichever node it enters at, so that it can't
            // crash several at once.
            _ if self.is_suspect() => {
                let fingerprint = self.request.request_key.content;
                selector.choose_for_key(now, &self.request.service, fingerprint.as_bytes(), query)
            }
            _ => selector.choose(now, &mut *random, &self.request.service, query),
        }
    }
}
