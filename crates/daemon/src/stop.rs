//! Graceful shutdown: open requests are finished, and new requests that can't be finished are refused.

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

/// Number of unready responses after which callers are expected to send no more requests to this node.
const REQUIRED_UNREADY_RESPONSES: u32 = 2;
/// Maximum time for which the node waits for these responses before it refuses callers.
const MAX_CALLER_WAIT: Duration = Duration::from_millis(2_600);
/// Maximum time for which the back end gets new requests from other nodes; with the arrival margin it stays
/// below 2 s.
const MAX_BACK_END_WAIT: Duration = Duration::from_millis(1_700);
/// Maximum share of the grace period in which new requests are served; the rest is for finishing them.
const MAX_SERVING_SHARE: f64 = 0.45;
/// Time in which requests arrive that were sent before the sender knew of the shutdown.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(150);
/// Time reserved at the end of the grace period for sending the last responses and ending the process.
const RESPONSE_RESERVE: Duration = Duration::from_millis(900);
/// Time reserved at the end of the grace period for ending the process.
const EXIT_RESERVE: Duration = Duration::from_millis(700);
/// Interval at which conditions of the shutdown are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for sending the last membership messages.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// Result of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Number of requests that were still open when the process ended.
    pub cut: usize,
}

impl RunningDaemon {
    /// Shuts down gracefully: becomes unready so that callers and nodes send no more requests, then finishes
    /// the open requests and refuses late ones. Takes less than the grace period of the settings.
    pub async fn stop(&self) -> StopReport {
        let started_at = Instant::now();
        let telemetry = &self.environment.telemetry;
        telemetry.emit(Event::DrainStarted { timeout_millis: millis(self.config.grace) });
        telemetry.metrics().set_ready(false);
        telemetry.emit(Event::BecameUnready { reason: Unready::Stopping.to_string() });
        let response_deadline = started_at + self.config.grace.saturating_sub(RESPONSE_RESERVE);
        self.control.start_drain(response_deadline);
        self.inbound.start_drain(response_deadline);
        tokio::join!(self.drain_back_end(started_at), self.refuse_late_callers(started_at));
        let cut = self.wait_until_finished(started_at).await;
        let _ = self.membership.send_message(MembershipMessage::Phase(MemberPhase::Left));
        sleep(FLUSH_TIME).await;
        let waited_millis = millis(started_at.elapsed());
        telemetry.emit(if cut == 0 {
            Event::DrainFinished { waited_millis }
        } else {
            Event::DrainTimedOut { cut: cut as u64 }
        });
        self.kill();
        StopReport { cut }
    }

    /// Stops without finishing open requests; returns how many there were.
    pub async fn stop_at_once(&self) -> StopReport {
        let cut = self.count_open_requests();
        self.environment.telemetry.emit(Event::StoppedAtOnce { cut: cut as u64 });
        let _ = self.membership.send_message(MembershipMessage::Phase(MemberPhase::Left));
        sleep(FLUSH_TIME).await;
        self.kill();
        StopReport { cut }
    }

    /// Ends immediately, as a killed process does: finishes no request and informs no other node.
    pub fn kill(&self) {
        self.tasks.lock().abort_all();
        self.membership.kill();
        self.configuration.kill();
    }

    /// Lets other nodes send requests to the back end for some time, since its slots are unavailable until
    /// the process has restarted. Then publishes that this node is leaving, and refuses late requests.
    async fn drain_back_end(&self, started_at: Instant) {
        self.wait_for_unready_responses(started_at, MAX_BACK_END_WAIT).await;
        let _ = self.membership.send_message(MembershipMessage::Phase(MemberPhase::Leaving));
        sleep(ARRIVAL_MARGIN).await;
        self.inbound.shut_down();
    }

    /// Serves the callers beside this node until they have left, and refuses late requests.
    async fn refuse_late_callers(&self, started_at: Instant) {
        self.wait_for_unready_responses(started_at, MAX_CALLER_WAIT).await;
        sleep(ARRIVAL_MARGIN).await;
        self.control.advance(ServerPhase::Refusing);
        sleep(ARRIVAL_MARGIN).await;
    }

    /// Waits until callers have received enough unready responses, at most for `longest`.
    async fn wait_for_unready_responses(&self, started_at: Instant, longest: Duration) {
        let limit = longest.min(self.config.grace.mul_f64(MAX_SERVING_SHARE));
        while self.unready_responses.load(Ordering::Relaxed) < REQUIRED_UNREADY_RESPONSES
            && started_at.elapsed() < limit
        {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until no request is open; returns the number of requests still open at the end of the grace
    /// period.
    async fn wait_until_finished(&self, started_at: Instant) -> usize {
        let last = started_at + self.config.grace.saturating_sub(EXIT_RESERVE);
        loop {
            let open = self.count_open_requests();
            if open == 0 || Instant::now() >= last {
                return open;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Number of requests that this process holds for callers or for its back end.
    fn count_open_requests(&self) -> usize {
        let load = self.inbound.load();
        self.control.open_requests() + load.running as usize + load.waiting as usize
    }
}
