//! The acceptor: the entry point for submissions on one node.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout_at};
use umberpond_model::{BundleName, SubmissionId};
use umberpond_store::ObjectStore;

use crate::attempt::Attempt;
use crate::base::BaseCache;
use crate::chain::{ChainReader, Search};
use crate::prepare::Request;
use crate::shared::{AcceptorSettings, Shared, UnixClock};
use crate::{AbandonError, Abandonment, Accepted, Change, NotAcceptedReason, Resolution, Step, SubmitError};

/// Dependencies of an acceptor.
#[derive(Clone)]
pub struct AcceptorContext {
    /// The platform's object store.
    pub store: Arc<dyn ObjectStore>,
    /// Wall clock for the timestamps in version records.
    pub unix_millis: UnixClock,
    /// Seed of the backoff jitter.
    pub seed: u64,
}

/// Accepts submissions. Cheap to clone; clones share their limits and caches.
#[derive(Clone)]
pub struct Acceptor {
    shared: Arc<Shared>,
}

impl fmt::Debug for Acceptor {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Acceptor").field("settings", &self.shared.settings).finish_non_exhaustive()
    }
}

/// `retry_after` of a submission that is refused because the node runs its maximum number of submissions.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Acceptor {
    /// Creates an acceptor with these limits.
    #[must_use]
    pub fn new(context: AcceptorContext, settings: AcceptorSettings) -> Self {
        let shared = Shared {
            chain: ChainReader::new(context.store),
            unix_millis: context.unix_millis,
            settings,
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(context.seed)),
            bases: BaseCache::default(),
            permits: Semaphore::new(settings.max_concurrent),
        };
        Self { shared: Arc::new(shared) }
    }

    /// The chain reader that this acceptor uses.
    #[must_use]
    pub fn chain(&self) -> &ChainReader {
        &self.shared.chain
    }

    /// Submits a change of one bundle. Submitting again with the same id is safe at any time and returns the
    /// version already accepted under this id, if any; the content of the submission that was accepted first
    /// applies.
    ///
    /// # Errors
    /// Returns [`SubmitError`], which documents which errors are final.
    pub async fn submit(
        &self,
        submission: SubmissionId,
        bundle: BundleName,
        change: Change,
    ) -> Result<Accepted, SubmitError> {
        let request = match change {
            Change::Put(content) => Request::put(bundle, content),
            Change::Withdraw => Request::Withdraw { name: bundle },
        };
        self.check_size(&request)?;
        self.run_submission(submission, &request).await
    }

    /// Abandons a submission by adding a version that changes nothing, so that the submission can't be
    /// accepted later.
    ///
    /// # Errors
    /// Returns [`AbandonError`]; the submission may then still be accepted.
    pub async fn abandon(&self, submission: SubmissionId) -> Result<Abandonment, AbandonError> {
        match self.run_submission(submission, &Request::Abandon).await {
            Ok(Accepted { version, .. }) | Err(SubmitError::Abandoned { version }) => {
                Ok(Abandonment::Abandoned(version))
            }
            Err(SubmitError::IdReused { version }) => Ok(Abandonment::AlreadyAccepted(version)),
            Err(SubmitError::NotAccepted { reason, retry_after }) => {
                Err(AbandonError::NotAbandoned { reason, retry_after })
            }
            // The other errors concern bundles; an abandonment changes none.
            Err(
                SubmitError::Unknown { .. }
                | SubmitError::Invalid(_)
                | SubmitError::NotInForce { .. }
                | SubmitError::Conflict { .. },
            ) => Err(AbandonError::Unknown { submission }),
        }
    }

    /// Looks up a submission in the chain without changing anything.
    pub async fn resolve(&self, submission: SubmissionId) -> Resolution {
        let deadline = Instant::now() + self.shared.settings.deadline;
        let search = async {
            let seen = self.shared.chain.read_head().await.ok()??;
            self.shared.chain.find_submission(&seen.head, submission).await.ok()
        };
        match timeout_at(deadline, search).await {
            Ok(Some(Search::Found { record, .. })) if record.step == Step::Abandon => {
                Resolution::NotAccepted(record.record.version)
            }
            Ok(Some(Search::Found { record, .. })) => Resolution::Accepted(record.record.version),
            Ok(Some(Search::Absent { .. }) | None) | Err(_) => Resolution::Unknown,
        }
    }

    fn check_size(&self, request: &Request) -> Result<(), SubmitError> {
        let limit = self.shared.settings.max_bundle_bytes;
        match request {
            Request::Put { bytes, .. } if bytes.len() > limit => Err(SubmitError::NotAccepted {
                reason: NotAcceptedReason::TooLarge { bytes: bytes.len(), limit },
                retry_after: Duration::ZERO,
            }),
            _ => Ok(()),
        }
    }

    async fn run_submission(
        &self,
        submission: SubmissionId,
        request: &Request,
    ) -> Result<Accepted, SubmitError> {
        let Ok(_permit) = self.shared.permits.try_acquire() else {
            let reason = NotAcceptedReason::Busy;
            return Err(SubmitError::NotAccepted { reason, retry_after: BUSY_RETRY_AFTER });
        };
        Attempt::new(&self.shared, submission, request).run().await
    }
}
