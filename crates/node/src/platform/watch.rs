//! Follows the head for the overlay: every version in order, or the whole where steps are no longer kept.

use std::sync::Arc;

use rand_chacha::ChaCha8Rng;
use umberpond_acceptance::chain::{AcceptedStep, HEAD_NAME, WholeConfiguration};
use umberpond_acceptance::{HeadChange, HeadWatch, HeadWatchSettings};
use umberpond_model::Version;
use umberpond_overlay::interface::{AcceptedVersion, PlatformEvent, WholeVersion};
use umberpond_telemetry::Event;

use super::actor::PlatformContext;
use super::backoff::PLATFORM_BACKOFF;

/// Tells the overlay every version after `after`, until the task is ended.
pub(super) async fn follow_head(context: PlatformContext, after: Version, rng: ChaCha8Rng) {
    context.telemetry.emit(Event::WatchStarted { after: after.0 });
    let settings = HeadWatchSettings { backoff: PLATFORM_BACKOFF, ..HeadWatchSettings::default() };
    let mut watch = HeadWatch::new(context.chain(), after, settings, rng);
    loop {
        match watch.next().await {
            HeadChange::Step(step) => {
                context.note_record(&step.record);
                context.tell(PlatformEvent::Accepted(Arc::new(accepted(*step))));
            }
            HeadChange::Whole(read) => {
                context.note_record(&read.record);
                context.tell(PlatformEvent::Whole(Arc::new(whole(*read))));
            }
            HeadChange::Unavailable => {
                context.telemetry.metrics().platform_request("watch-head", "failed");
                let reason = "no answer".to_owned();
                context.telemetry.emit(Event::PlatformUnavailable { operation: "watch-head", reason });
                context.tell(PlatformEvent::Unavailable);
            }
            HeadChange::Unreadable(error) => {
                let event =
                    Event::ObjectUnreadable { object: HEAD_NAME.to_owned(), reason: error.to_string() };
                context.telemetry.emit(event);
            }
        }
    }
}

fn accepted(step: AcceptedStep) -> AcceptedVersion {
    AcceptedVersion { record: step.record, delta: step.delta }
}

fn whole(read: WholeConfiguration) -> WholeVersion {
    WholeVersion { record: read.record, previous_witnesses: read.previous_witnesses, snapshot: read.snapshot }
}
