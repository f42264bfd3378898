//! A planned stop: nothing in flight is cut, nothing new is taken that can't be finished.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use umberpond_forwarding::ServerPhase;
use umberpond_membership::MemberPhase;
use umberpond_telemetry::Event;

use crate::duration::millis;
use crate::membership::MembershipMessage;
use crate::readiness::Unready;
use crate::start::RunningDaemon;

/// Looks at the readiness that callers have to miss before they stay away.
const MISSED_LOOKS: u32 = 2;
/// Longest time until callers stay away.
const CALLERS_LEAVE_WITHIN: Duration = Duration::from_millis(2_600);
/// Longest time in which the back end gets new work from other nodes; with the last arrivals it stays below 2 s.
const BACK_END_LEAVES_WITHIN: Duration = Duration::from_millis(1_700);
/// Share of the grace in which new requests are served at most; the rest is for finishing them.
const SERVING_SHARE: f64 = 0.45;
/// Time in which what was sent before the last missed look arrives.
const LAST_ARRIVALS: Duration = Duration::from_millis(150);
/// Time kept before the kill, in which the last answers leave and the process ends.
const ANSWER_RESERVE: Duration = Duration::from_millis(900);
/// Time kept before the kill, in which the process ends.
const RESERVE: Duration = Duration::from_millis(700);
/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last words to leave.
const LAST_WORDS: Duration = Duration::from_millis(20);

/// How a process stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Requests that were open when it ended.
    pub cut: usize,
}

impl RunningDaemon {
    /// Stops: first nobody is sent here any more, then what is open is finished and what still comes is refused, then
    /// the process may end. Takes less than the grace of the settings.
    pub async fn stop(&self) -> StopReport {
        let began = Instant::now();
        let telemetry = &self.environment.telemetry;
        telemetry.emit(Event::DrainStarted { timeout_millis: millis(self.config.grace) });
        telemetry.metrics().set_ready(false);
        telemetry.emit(Event::BecameUnready { reason: Unready::Stopping.to_string() });
        self.control.leave(began + self.config.grace.saturating_sub(ANSWER_RESERVE));
        tokio::join!(self.retire_back_end(began), self.refuse_late_callers(began));
        let cut = self.wait_until_finished(began).await;
        let _ = self.membership.send_message(MembershipMessage::Phase(MemberPhase::Left));
        sleep(LAST_WORDS).await;
        let waited_millis = millis(began.elapsed());
        telemetry.emit(if cut == 0 {
            Event::DrainFinished { waited_millis }
        } else {
            Event::DrainTimedOut { cut: cut as u64 }
        });
        self.kill();
        StopReport { cut }
    }

    /// Stops without finishing anything; tells what was cut.
    pub async fn stop_at_once(&self) -> StopReport {
        let cut = self.open();
        self.environment.telemetry.emit(Event::StoppedAtOnce { cut: cut as u64 });
        let _ = self.membership.send_message(MembershipMessage::Phase(MemberPhase::Left));
        sleep(LAST_WORDS).await;
        self.kill();
        StopReport { cut }
    }

    /// Ends at once, as a killed process does: nothing is finished and nobody is told.
    pub fn kill(&self) {
        self.tasks.lock().abort_all();
        self.membership.kill();
        self.configuration.kill();
    }

    /// Lets other nodes send work to the back end for a while, since its slots are missed as long as this process is
    /// away; then tells them to stay away, and refuses what still comes.
    async fn retire_back_end(&self, began: Instant) {
        self.wait_until_callers_stay_away(began, BACK_END_LEAVES_WITHIN).await;
        let _ = self.membership.send_message(MembershipMessage::Phase(MemberPhase::Leaving));
        sleep(LAST_ARRIVALS).await;
        self.inbound.close();
    }

    /// Serves the callers beside this node until they stay away, and refuses those that still come.
    async fn refuse_late_callers(&self, began: Instant) {
        self.wait_until_callers_stay_away(began, CALLERS_LEAVE_WITHIN).await;
        sleep(LAST_ARRIVALS).await;
        self.control.advance(ServerPhase::Refusing);
        sleep(LAST_ARRIVALS).await;
    }

    /// Waits until callers have missed enough looks at the readiness, at most for `longest`.
    async fn wait_until_callers_stay_away(&self, began: Instant, longest: Duration) {
        let limit = longest.min(self.config.grace.mul_f64(SERVING_SHARE));
        while self.unready_answers.load(Ordering::Relaxed) < MISSED_LOOKS && began.elapsed() < limit {
            sleep(LOOK_INTERVAL).await;
        }
    }

    /// Waits until nothing is open; gives the number of requests that are still open at the end of the grace.
    async fn wait_until_finished(&self, began: Instant) -> usize {
        let last = began + self.config.grace.saturating_sub(RESERVE);
        loop {
            let open = self.open();
            if open == 0 || Instant::now() >= last {
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
