//! A planned stop: nothing in flight is cut, nothing new is taken that can't be finished.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use umberpond_membership::MemberPhase;
use umberpond_telemetry::Event;

use crate::membership::MembershipMessage;
use crate::start::RunningDaemon;

/// Callers go on sending until they have missed two looks at the readiness.
const CALLERS_LEAVE_WITHIN: Duration = Duration::from_millis(2_600);
/// Time without an open request after which nobody is taken to send any more.
const QUIET: Duration = Duration::from_millis(300);
/// Time kept before the kill, in which the process ends.
const RESERVE: Duration = Duration::from_millis(400);
/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last words to leave.
const LAST_WORDS: Duration = Duration::from_millis(20);

impl RunningDaemon {
    /// Stops: first nobody is sent here any more, then what is open is finished, then the process may end. Takes less
    /// than the grace of the settings.
    pub async fn stop(&self) {
        let began = Instant::now();
        let telemetry = &self.environment.telemetry;
        telemetry.emit(Event::DrainStarted { timeout_millis: millis(self.config.grace) });
        self.control.leave();
        let _ = self.membership.send_message(MembershipMessage::Phase(MemberPhase::Leaving));
        let cut = self.wait_until_quiet(began).await;
        let _ = self.membership.send_message(MembershipMessage::Phase(MemberPhase::Left));
        sleep(LAST_WORDS).await;
        let waited_millis = millis(began.elapsed());
        telemetry.emit(if cut == 0 {
            Event::DrainFinished { waited_millis }
        } else {
            Event::DrainTimedOut { cut: cut as u64 }
        });
        self.tasks.lock().abort_all();
    }

    /// Waits until nothing is open; gives the number of requests that are still open at the end of the grace.
    async fn wait_until_quiet(&self, began: Instant) -> usize {
        let last = began + self.config.grace.saturating_sub(RESERVE);
        let mut quiet_since: Option<Instant> = None;
        loop {
            let open = self.open();
            let now = Instant::now();
            if open > 0 {
                quiet_since = None;
            } else {
                quiet_since.get_or_insert(now);
            }
            let is_quiet = quiet_since.is_some_and(|since| now - since >= QUIET);
            if is_quiet && now - began >= CALLERS_LEAVE_WITHIN {
                return 0;
            }
            if now >= last {
                return open;
            }
            sleep(LOOK_INTERVAL).await;
        }
    }

    /// Requests that this process holds for callers or for its back end.
    fn open(&self) -> usize {
        let load = self.inbound.load();
        self.control.open_requests() + load.running as usize + load.waiting as usize
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
