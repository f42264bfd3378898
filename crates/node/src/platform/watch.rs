//! Follows the head for the overlay: every version in order, or the whole where steps are no longer kept.
//!
//! `umberpond_acceptance::HeadWatch` does the same, but its future can't be sent between threads, so an actor of the
//! daemon can't spawn it.

use std::sync::Arc;

use futures_util::StreamExt;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;
use umberpond_acceptance::ChainError;
use umberpond_acceptance::chain::{AcceptedStep, HEAD_NAME, WholeConfiguration, decode_head};
use umberpond_model::{Head, Version};
use umberpond_overlay::interface::{AcceptedVersion, PlatformEvent, WholeVersion};
use umberpond_platform::{Backoff, BackoffSettings, ObjectKind, ObjectStore, Revision, WatchEvent};
use umberpond_telemetry::Event;

use super::actor::PlatformContext;

/// Most versions that are read one by one; for a larger gap the whole configuration is read.
const MAX_STEPS: u64 = 256;

/// Tells the overlay every version after `after`, until the task is ended.
pub(super) async fn follow_head(context: PlatformContext, after: Version, mut rng: ChaCha8Rng) {
    let mut follower = HeadFollower { context, told: after };
    let mut backoff = Backoff::new(BackoffSettings::default());
    loop {
        match follower.follow_once(&mut backoff).await {
            Ok(()) => {}
            Err(error) if error.is_transient() => follower.unavailable(&error),
            Err(error) => follower.unreadable(&error),
        }
        sleep(backoff.next_wait(&mut rng, None)).await;
    }
}

struct HeadFollower {
    context: PlatformContext,
    /// The newest version told.
    told: Version,
}

impl HeadFollower {
    /// Reads the head, then watches it until the watch ends.
    async fn follow_once(&mut self, backoff: &mut Backoff) -> Result<(), ChainError> {
        let context = self.context.clone();
        let seen = context.chain().read_head().await?;
        let revision = match &seen {
            Some(seen) => seen.object_version.revision(),
            None => revision_without_head(&context).await?,
        };
        if let Some(seen) = seen {
            self.catch_up(&seen.head).await?;
        }
        // A window that has passed already is met by reading the head again, as any other failure is.
        let Ok(mut changes) = context.client.watch(ObjectKind::Head, revision).await else { return Ok(()) };
        context.telemetry.emit(Event::WatchStarted { after: revision.0 });
        backoff.reset();
        while let Some(Ok(change)) = changes.next().await {
            if let Some(head) = head_of(&change)? {
                self.catch_up(&head).await?;
            }
        }
        Ok(())
    }

    /// Tells every version up to `head`.
    async fn catch_up(&mut self, head: &Head) -> Result<(), ChainError> {
        let chain = self.context.chain();
        if head.version <= self.told {
            return Ok(());
        }
        if head.version.0 - self.told.0 <= MAX_STEPS {
            match chain.read_steps_after(self.told, head).await {
                Ok(steps) => {
                    steps.into_iter().for_each(|step| self.tell_step(step));
                    return Ok(());
                }
                // The steps have been collected; the whole configuration is still there.
                Err(ChainError::Missing { .. }) => {}
                Err(error) => return Err(error),
            }
        }
        let whole = chain.read_whole(head.record).await?;
        self.tell_whole(whole);
        Ok(())
    }

    fn tell_step(&mut self, step: AcceptedStep) {
        self.told = step.record.version;
        let accepted = AcceptedVersion { record: step.record, delta: step.delta };
        self.context.tell(PlatformEvent::Accepted(Arc::new(accepted)));
    }

    fn tell_whole(&mut self, whole: WholeConfiguration) {
        self.told = whole.record.version;
        let version = WholeVersion {
            record: whole.record,
            previous_witnesses: whole.previous_witnesses,
            snapshot: whole.snapshot,
        };
        self.context.tell(PlatformEvent::Whole(Arc::new(version)));
    }

    fn unavailable(&self, error: &ChainError) {
        self.context.telemetry.metrics().platform_request("watch-head", "failed");
        let event = Event::PlatformUnavailable { operation: "watch-head", reason: error.to_string() };
        self.context.telemetry.emit(event);
        self.context.tell(PlatformEvent::Unavailable);
    }

    fn unreadable(&self, error: &ChainError) {
        let event = Event::ObjectUnreadable { object: HEAD_NAME.to_owned(), reason: error.to_string() };
        self.context.telemetry.emit(event);
    }
}

async fn revision_without_head(context: &PlatformContext) -> Result<Revision, ChainError> {
    Ok(context.client.list(ObjectKind::Head, None, 1).await?.revision)
}

fn head_of(change: &WatchEvent) -> Result<Option<Head>, ChainError> {
    match &change.value {
        Some(bytes) if change.name == HEAD_NAME => decode_head(bytes).map(Some),
        _ => Ok(None),
    }
}
