//! The attempts of one submission, from reading the head to replacing it.
//!
//! At most one compare-and-swap of a submission can be in flight with an unknown outcome: the *pending* swap.
//! It expects a specific version of the head object, and object versions are never reused, so it can succeed
//! only while the head still has that version. There are two cases:
//!
//! - the head still has that version: the same swap is sent again with identical bytes. Only one of the two
//!   can succeed, and either accepts the same version;
//! - the head has changed: either the pending swap succeeded and the chain contains the submission, or it can
//!   never succeed and a new attempt is safe.
//!
//! A submission is reported as not accepted only if no swap is pending.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::try_join_all;
use tokio::time::{Instant, sleep, timeout_at};
use umberpond_config::CheckReport;
use umberpond_model::{SubmissionId, Version};
use umberpond_store::{Backoff, ObjectVersion, PlatformError};

use crate::base::Base;
use crate::chain::{HeadSeen, Search};
use crate::prepare::{AttemptInfo, PrepareError, Prepared, Request, prepare};
use crate::shared::Shared;
use crate::swap::{swap_head, write_content};
use crate::{Accepted, ChainError, NotAcceptedReason, RecordObject, Step, SubmitError, Winner};

/// `retry_after` of a refusal if the platform did not request a delay.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A swap whose outcome is unknown.
struct Pending {
    expected: Option<ObjectVersion>,
    base_version: Version,
    prepared: Prepared,
}

/// The result of one round that did not end in an error.
enum Round {
    Accepted(Box<Accepted>),
    /// Another submission replaced the head first.
    Lost,
    /// A platform request failed.
    Failed(PlatformError),
}

/// One submission in progress.
pub(crate) struct Attempt<'a> {
    shared: &'a Shared,
    submission: SubmissionId,
    request: &'a Request,
    deadline: Instant,
    backoff: Backoff,
    rounds_lost: u32,
    pending: Option<Pending>,
    /// The newest version against which the submission passed the check.
    checked_against: Option<Version>,
}

impl<'a> Attempt<'a> {
    pub(crate) fn new(shared: &'a Shared, submission: SubmissionId, request: &'a Request) -> Self {
        Self {
            shared,
            submission,
            request,
            deadline: Instant::now() + shared.settings.deadline,
            backoff: Backoff::new(shared.settings.backoff),
            rounds_lost: 0,
            pending: None,
            checked_against: None,
        }
    }

    /// Runs rounds until the outcome of the submission is known or the deadline passes.
    pub(crate) async fn run(mut self) -> Result<Accepted, SubmitError> {
        loop {
            let failure = match timeout_at(self.deadline, self.round()).await {
                Ok(Ok(Round::Accepted(accepted))) => return Ok(*accepted),
                Ok(Ok(Round::Lost)) => self.lose_round()?,
                Ok(Ok(Round::Failed(error))) => Some(error),
                Ok(Err(error)) => return Err(error),
                Err(_) => return Err(self.give_up(None)),
            };
            self.wait(failure.as_ref()).await?;
        }
    }

    fn lose_round(&mut self) -> Result<Option<PlatformError>, SubmitError> {
        self.rounds_lost += 1;
        if self.rounds_lost < self.shared.settings.max_tries {
            return Ok(None);
        }
        let reason = NotAcceptedReason::Contention { tries: self.rounds_lost };
        Err(self.refuse(reason, DEFAULT_RETRY_AFTER))
    }

    async fn wait(&mut self, failure: Option<&PlatformError>) -> Result<(), SubmitError> {
        let retry_after = failure.and_then(PlatformError::retry_after);
        let wait = self.backoff.next_wait(&mut *self.shared.rng.lock(), retry_after);
        if Instant::now() + wait >= self.deadline {
            return Err(self.give_up(retry_after));
        }
        sleep(wait).await;
        Ok(())
    }

    fn give_up(&self, retry_after: Option<Duration>) -> SubmitError {
        let retry_after = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        self.refuse(NotAcceptedReason::PlatformUnavailable, retry_after)
    }

    /// Returns `NotAccepted`, or `Unknown` if a swap is pending.
    fn refuse(&self, reason: NotAcceptedReason, retry_after: Duration) -> SubmitError {
        if self.pending.is_some() {
            return SubmitError::Unknown { submission: self.submission };
        }
        SubmitError::NotAccepted { reason, retry_after }
    }

    fn refuse_for(&self, error: ChainError) -> SubmitError {
        self.refuse(NotAcceptedReason::Chain(error), DEFAULT_RETRY_AFTER)
    }

    /// Decides whether a failed read leads to another round or ends the submission.
    fn failed_read(&self, error: ChainError) -> Result<Round, SubmitError> {
        match error {
            ChainError::Platform(error) if error.is_transient() => Ok(Round::Failed(error)),
            // The object was garbage-collected after the head was read; the next round reads a newer head.
            ChainError::Missing { .. } if self.rounds_lost + 1 < self.shared.settings.max_tries => {
                Ok(Round::Lost)
            }
            error => Err(self.refuse_for(error)),
        }
    }

    async fn round(&mut self) -> Result<Round, SubmitError> {
        let seen = match self.shared.chain.read_head().await {
            Ok(seen) => seen,
            Err(error) => return self.failed_read(error),
        };
        if let Some(seen) = &seen {
            match self.shared.chain.find_submission(&seen.head, self.submission).await {
                Ok(Search::Found { record, .. }) => return self.found(&record).map(Round::Accepted),
                Ok(Search::Absent { from }) => self.check_search(from)?,
                Err(error) => return self.failed_read(error),
            }
        }
        let expected = seen.as_ref().map(|seen| seen.object_version);
        if let Some(pending) = self.pending.take_if(|pending| pending.expected == expected) {
            return self.swap(expected, pending.base_version, pending.prepared, true).await;
        }
        // The head has changed and the chain does not contain the submission: the pending swap can't succeed
        // any more.
        self.pending = None;
        self.next_version(seen).await
    }

    /// Returns `Unknown` if the search did not reach back to the base of the pending swap, because the swap
    /// may then have succeeded in a version that was not searched.
    fn check_search(&self, from: Version) -> Result<(), SubmitError> {
        match &self.pending {
            Some(pending) if from > pending.base_version.next() => {
                Err(SubmitError::Unknown { submission: self.submission })
            }
            _ => Ok(()),
        }
    }

    /// Handles a submission id found in the chain, which may belong to this request or to another one.
    fn found(&self, object: &RecordObject) -> Result<Box<Accepted>, SubmitError> {
        let version = object.record.version;
        if object.step.is_same_request(&self.request.step()) {
            return Ok(Box::new(Accepted { version, record: object.record.clone() }));
        }
        match object.step {
            Step::Abandon => Err(SubmitError::Abandoned { version }),
            _ => Err(SubmitError::IdReused { version }),
        }
    }

    async fn next_version(&mut self, seen: Option<HeadSeen>) -> Result<Round, SubmitError> {
        let expected = seen.as_ref().map(|seen| seen.object_version);
        let head = seen.as_ref().map(|seen| &seen.head);
        let base = match self.shared.bases.load(&self.shared.chain, head).await {
            Ok(base) => base,
            Err(error) => return self.failed_read(error),
        };
        let prepared = self.prepare(&base)?;
        self.checked_against = Some(base.version());
        let store = self.shared.chain.store();
        let writes = prepared.objects.iter().cloned();
        let writes = writes.map(|(hash, bytes)| write_content(store, hash, bytes, expected));
        match try_join_all(writes).await {
            Ok(_) => self.swap(expected, base.version(), prepared, false).await,
            Err(PlatformError::Conflict { .. }) => Ok(Round::Lost),
            Err(error) => self.failed_read(error.into()),
        }
    }

    fn prepare(&self, base: &Base) -> Result<Prepared, SubmitError> {
        let unix_millis = (self.shared.unix_millis)();
        let info = AttemptInfo { submission: self.submission, unix_millis };
        prepare(base, self.request, info).map_err(|error| match error {
            PrepareError::NotInForce { bundle, version } => SubmitError::NotInForce { bundle, version },
            PrepareError::Faulty(report) => self.faulty(base, report),
        })
    }

    /// Classifies a failed check. If the submission passed the check in an earlier round, the fault results
    /// from a version accepted since then.
    fn faulty(&self, base: &Base, report: CheckReport) -> SubmitError {
        let newest = base.record.as_ref().map(|(_, object)| &object.record);
        match (self.checked_against, newest) {
            (Some(_), Some(newest)) => {
                let winner = Winner { version: newest.version, submission: newest.submission };
                SubmitError::Conflict { winner, report }
            }
            _ => SubmitError::Invalid(report),
        }
    }

    /// Sends the swap. `is_resend` is set if the same swap is already in flight with an unknown outcome.
    async fn swap(
        &mut self,
        expected: Option<ObjectVersion>,
        base_version: Version,
        prepared: Prepared,
        is_resend: bool,
    ) -> Result<Round, SubmitError> {
        let head: Bytes = prepared.head.clone();
        // Set before sending, because the deadline may cancel this call at any later point.
        self.pending = Some(Pending { expected, base_version, prepared: prepared.clone() });
        match swap_head(self.shared.chain.store(), expected, head).await {
            Ok(_) => {
                self.pending = None;
                Ok(Round::Accepted(Box::new(self.committed(&prepared))))
            }
            Err(error) => {
                if !is_resend && !error.may_have_changed() {
                    self.pending = None;
                }
                match error {
                    PlatformError::Conflict { .. } | PlatformError::NotFound => Ok(Round::Lost),
                    error if error.is_transient() => Ok(Round::Failed(error)),
                    error => Err(self.refuse_for(error.into())),
                }
            }
        }
    }

    fn committed(&self, prepared: &Prepared) -> Accepted {
        if let Some((hash, object)) = &prepared.base.record {
            self.shared.chain.content().cache_record(*hash, object.clone());
        }
        self.shared.bases.store(prepared.base.clone());
        Accepted { version: prepared.record.version, record: prepared.record.clone() }
    }
}
