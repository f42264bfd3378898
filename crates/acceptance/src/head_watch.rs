//! The watch on the head as an ordered sequence of versions.

use std::collections::VecDeque;
use std::time::Duration;

use futures_util::StreamExt;
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep_until};
use umberpond_model::{Head, Version};
use umberpond_platform::{Backoff, BackoffSettings, ObjectKind, Revision, WatchEvent, WatchStream};

use crate::ChainError;
use crate::chain::{AcceptedStep, ChainReader, HEAD_NAME, WholeConfiguration, decode_head};

/// Limits of a head watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadWatchSettings {
    /// Most steps that are read one by one; for a larger gap the whole configuration is read.
    pub max_steps: u64,
    /// Waits after failures.
    pub backoff: BackoffSettings,
}

impl Default for HeadWatchSettings {
    fn default() -> Self {
        let backoff = BackoffSettings { base: Duration::from_millis(500), cap: Duration::from_secs(20) };
        Self { max_steps: 256, backoff }
    }
}

/// What a head watch tells. Versions only grow; each step follows the version told before it.
#[derive(Debug, Clone)]
pub enum HeadChange {
    /// The next version.
    Step(Box<AcceptedStep>),
    /// A newer version, whole, because its steps are too many or no longer kept.
    Whole(Box<WholeConfiguration>),
    /// The platform does not answer; told once until it answers again. The watch goes on trying.
    Unavailable,
    /// The platform holds something that this program can't read; told once for each head. Nothing changes.
    Unreadable(ChainError),
}

/// Follows the head. It opens watches again by itself and fills gaps by reading records back.
pub struct HeadWatch {
    chain: ChainReader,
    settings: HeadWatchSettings,
    rng: ChaCha8Rng,
    backoff: Backoff,
    retry_at: Option<Instant>,
    unavailable: bool,
    /// The last failure told as unreadable, so that it is not told again for the same head.
    unreadable: Option<ChainError>,
    /// The newest version told.
    held: Version,
    queue: VecDeque<HeadChange>,
    watch: Option<WatchStream>,
    /// A head that is newer than what is told and queued.
    newer: Option<Head>,
}

impl HeadWatch {
    /// Follows the head from the version after `held`.
    #[must_use]
    pub fn new(chain: ChainReader, held: Version, settings: HeadWatchSettings, rng: ChaCha8Rng) -> Self {
        Self {
            chain,
            settings,
            rng,
            backoff: Backoff::new(settings.backoff),
            retry_at: None,
            unavailable: false,
            unreadable: None,
            held,
            queue: VecDeque::new(),
            watch: None,
            newer: None,
        }
    }

    /// Waits for the next change. May be dropped and called again without losing one.
    pub async fn next(&mut self) -> HeadChange {
        loop {
            if let Some(change) = self.queue.pop_front() {
                return self.told(change);
            }
            if let Some(at) = self.retry_at {
                sleep_until(at).await;
                self.retry_at = None;
            }
            if let Err(error) = self.proceed().await {
                self.fail(error);
            }
        }
    }

    fn told(&mut self, change: HeadChange) -> HeadChange {
        match &change {
            HeadChange::Step(step) => self.held = step.record.version,
            HeadChange::Whole(whole) => self.held = whole.record.version,
            HeadChange::Unavailable | HeadChange::Unreadable(_) => {}
        }
        change
    }

    /// One piece of work: read what is newer, open the watch, or wait for it.
    async fn proceed(&mut self) -> Result<(), ChainError> {
        if let Some(head) = self.newer.clone() {
            self.queue = read_up_to(&self.chain, self.held, &head, self.settings.max_steps).await?;
            self.newer = None;
            self.unreadable = None;
            self.recovered();
            return Ok(());
        }
        if let Some(watch) = &mut self.watch {
            match watch.next().await {
                Some(Ok(event)) => return self.see(&event),
                // The head is read again before the next watch, so what was missed is found.
                Some(Err(_)) | None => self.watch = None,
            }
            self.retry_later();
            return Ok(());
        }
        self.open().await
    }

    async fn open(&mut self) -> Result<(), ChainError> {
        let seen = self.chain.read_head().await?;
        let after = match &seen {
            Some(seen) => seen.object_version.revision(),
            None => revision_without_head(&self.chain).await?,
        };
        // A window that has passed already is met by reading the head again, as any other failure is.
        let watch = self.chain.store().watch(ObjectKind::Head, after).await;
        if let Some(seen) = seen {
            self.note(seen.head);
        }
        match watch {
            Ok(watch) => {
                self.watch = Some(watch);
                self.recovered();
            }
            Err(_) => self.retry_later(),
        }
        Ok(())
    }

    fn see(&mut self, event: &WatchEvent) -> Result<(), ChainError> {
        if event.name == HEAD_NAME
            && let Some(bytes) = &event.value
        {
            self.note(decode_head(bytes)?);
        }
        Ok(())
    }

    fn note(&mut self, head: Head) {
        if head.version > self.held {
            self.newer = Some(head);
        }
    }

    fn fail(&mut self, error: ChainError) {
        if !error.is_transient() {
            // Waiting does not help; the next head may.
            self.newer = None;
            if self.unreadable.as_ref() != Some(&error) {
                self.unreadable = Some(error.clone());
                self.queue.push_back(HeadChange::Unreadable(error));
            }
            if self.watch.is_none() {
                self.retry_later();
            }
            return;
        }
        if matches!(error, ChainError::Missing { .. }) {
            // Collected under a slow read: the head has moved far; start from it.
            self.newer = None;
            self.watch = None;
        } else if !self.unavailable {
            self.unavailable = true;
            self.queue.push_back(HeadChange::Unavailable);
        }
        self.retry_later();
    }

    fn recovered(&mut self) {
        self.unavailable = false;
        self.backoff.reset();
    }

    fn retry_later(&mut self) {
        self.retry_at = Some(Instant::now() + self.backoff.next_wait(&mut self.rng, None));
    }
}

// The awaiting parts below take the reader and not the watch, which can't be shared between threads; so the
// future of `HeadWatch::next` can be spawned.

async fn revision_without_head(chain: &ChainReader) -> Result<Revision, ChainError> {
    Ok(chain.store().list(ObjectKind::Head, None, 1).await?.revision)
}

async fn read_up_to(
    chain: &ChainReader,
    held: Version,
    head: &Head,
    max_steps: u64,
) -> Result<VecDeque<HeadChange>, ChainError> {
    if head.version.0 - held.0 <= max_steps {
        match chain.read_steps_after(held, head).await {
            // The steps have been collected.
            Err(ChainError::Missing { .. }) => {}
            steps => return Ok(steps?.into_iter().map(Box::new).map(HeadChange::Step).collect()),
        }
    }
    let whole = chain.read_whole(head.record).await?;
    Ok(VecDeque::from([HeadChange::Whole(Box::new(whole))]))
}
