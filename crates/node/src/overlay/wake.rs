//! The one timer that the core asks for.

use ractor::ActorRef;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use super::OverlayMessage;

/// A timer that wakes the actor. Setting it again replaces the time set before.
#[derive(Debug, Default)]
pub(super) struct WakeTimer {
    set: Option<(Instant, JoinHandle<()>)>,
}

impl WakeTimer {
    /// Wakes `actor` at `at`.
    pub(super) fn set(&mut self, at: Instant, actor: &ActorRef<OverlayMessage>) {
        if self.set.as_ref().is_some_and(|(set, task)| *set == at && !task.is_finished()) {
            return;
        }
        self.clear();
        let actor = actor.clone();
        let task = tokio::spawn(async move {
            sleep_until(at).await;
            // An actor that is gone needs no waking.
            let _ = actor.send_message(OverlayMessage::Wake);
        });
        self.set = Some((at, task));
    }

    fn clear(&mut self) {
        if let Some((_, task)) = self.set.take() {
            task.abort();
        }
    }
}

impl Drop for WakeTimer {
    fn drop(&mut self) {
        self.clear();
    }
}
