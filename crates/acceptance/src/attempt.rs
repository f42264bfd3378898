//! The tries of one submission, from reading the head to moving it.
//!
//! At most one compare-and-swap of a submission can be on its way with an unknown outcome: the *pending* one. It
//! names the version of the head object that it replaces, and object versions are never reused, so it can
//! succeed only while the head still stands at that version. From that follow the two ways out:
//!
//! - the head still stands there: the same swap, byte for byte, is sent again. One of the two can succeed, and
//!   whichever does accepts the same version;
//! - the head has moved: the pending swap is either the one that moved it, and the chain holds the submission,
//!   or it can never succeed, and a new try is safe.
//!
//! "Not accepted" is said only without a pending swap.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::try_join_all;
use tokio::time::{Instant, sleep, timeout_at};
use umberpond_config::CheckReport;
use umberpond_model::{SubmissionId, Version};
use umberpond_store::{Backoff, ObjectVersion, PlatformError};

use crate::base::Base;
use crate::chain::{HeadSeen, Search};
use crate::prepare::{Circumstances, PrepareError, Prepared, Request, prepare};
use crate::shared::Shared;
use crate::swap::{swap_head, write_content};
use crate::{Accepted, ChainError, NotAcceptedReason, RecordObject, Step, SubmitError, Winner};

/// Wait told to the operator where the platform names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A swap whose outcome is unknown.
struct Pending {
    expected: Option<ObjectVersion>,
    base_version: Version,
    prepared: Prepared,
}

/// How a round ended that did not settle the submission.
enum Round {
    Accepted(Box<Accepted>),
    /// Another submission moved the head first.
    Lost,
    /// The platform did not do its part.
    Failed(PlatformError),
}

/// One submission on its way.
pub(crate) struct Attempt<'a> {
    shared: &'a Shared,
    submission: SubmissionId,
    request: &'a Request,
    deadline: Instant,
    backoff: Backoff,
    rounds_lost: u32,
    pending: Option<Pending>,
    /// The newest version together with which the submission passed the check.
    passed_with: Option<Version>,
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
            passed_with: None,
        }
    }

    /// Tries until the submission is settled or the deadline passes.
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

    /// "Not accepted", unless a swap is pending.
    fn refuse(&self, reason: NotAcceptedReason, retry_after: Duration) -> SubmitError {
        if self.pending.is_some() {
            return SubmitError::Unknown { submission: self.submission };
        }
        SubmitError::NotAccepted { reason, retry_after }
    }

    fn refuse_for(&self, error: ChainError) -> SubmitError {
        self.refuse(NotAcceptedReason::Chain(error), DEFAULT_RETRY_AFTER)
    }

    /// A failed read: worth another round, or the end.
    fn failed_read(&self, error: ChainError) -> Result<Round, SubmitError> {
        match error {
            ChainError::Platform(error) if error.is_transient() => Ok(Round::Failed(error)),
            // Collected since the head was read; the next round reads a newer head.
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
        // The head has moved and does not hold the submission: what was pending can't succeed any more.
        self.pending = None;
        self.next_version(seen).await
    }

    /// A search that does not reach back to the base of the pending swap proves nothing about it.
    fn check_search(&self, from: Version) -> Result<(), SubmitError> {
        match &self.pending {
            Some(pending) if from > pending.base_version.next() => {
                Err(SubmitError::Unknown { submission: self.submission })
            }
            _ => Ok(()),
        }
    }

    /// The submission stands in the chain: for this request, or for another.
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
        self.passed_with = Some(base.version());
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
        let circumstances = Circumstances { submission: self.submission, unix_millis };
        prepare(base, self.request, circumstances).map_err(|error| match error {
            PrepareError::NotInForce { bundle, version } => SubmitError::NotInForce { bundle, version },
            PrepareError::Faulty(report) => self.faulty(base, report),
        })
    }

    /// A fault that appeared since the submission passed the check comes from whoever won in between.
    fn faulty(&self, base: &Base, report: CheckReport) -> SubmitError {
        let newest = base.record.as_ref().map(|(_, object)| &object.record);
        match (self.passed_with, newest) {
            (Some(_), Some(newest)) => {
                let winner = Winner { version: newest.version, submission: newest.submission };
                SubmitError::Conflict { winner, report }
            }
            _ => SubmitError::Invalid(report),
        }
    }

    /// Sends the swap. `again` tells that the same swap is already on its way with an unknown outcome.
    async fn swap(
        &mut self,
        expected: Option<ObjectVersion>,
        base_version: Version,
        prepared: Prepared,
        again: bool,
    ) -> Result<Round, SubmitError> {
        let head: Bytes = prepared.head.clone();
        // Pending from the moment of sending: the deadline may end this call at any point after it.
        self.pending = Some(Pending { expected, base_version, prepared: prepared.clone() });
        match swap_head(self.shared.chain.store(), expected, head).await {
            Ok(_) => {
                self.pending = None;
                Ok(Round::Accepted(Box::new(self.landed(&prepared))))
            }
            Err(error) => {
                if !again && !error.may_have_changed() {
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

    fn landed(&self, prepared: &Prepared) -> Accepted {
        if let Some((hash, object)) = &prepared.base.record {
            self.shared.chain.content().remember(*hash, object.clone());
        }
        self.shared.bases.store(prepared.base.clone());
        Accepted { version: prepared.record.version, record: prepared.record.clone() }
    }
}
