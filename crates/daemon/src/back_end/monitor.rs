//! Applies state changes of the back end, first on this node, and then broadcasts them to all other nodes.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use ractor::ActorRef;
use ractor::rpc::CallResult;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};
use umberpond_forwarding::{BackEnd, Inbound};
use umberpond_membership::BackEndRecord;
use umberpond_model::{BackEndProcess, RequestRate, ServiceName};
use umberpond_telemetry::{AnnouncementOutcome, Event, Telemetry};

use super::announcement::{AnnouncedState, Announcement};
use super::assignment::{BackEndAssignment, ForeignAnnouncement};
use super::departures::DepartureLog;
use super::effect::{Effect, IgnoredAnnouncement};
use super::tracker::BackEndTracker;
use crate::configuration::Activation;
use crate::duration::millis;
use crate::membership::MembershipMessage;

/// Time between two health checks of a back end that has to be confirmed.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout for other nodes and the store to hold the departure of the back end before it is acknowledged.
const DURABLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of these health checks; after that the next announcement is awaited.
const MAX_CONFIRM_ATTEMPTS: u32 = 40;

/// Tracks the back end beside this node.
pub struct BackEndMonitor {
    tracker: Mutex<BackEndTracker>,
    departures: Option<DepartureLog>,
    /// The departed process that the store is known to hold.
    written_departure: watch::Sender<Option<BackEndProcess>>,
    inbound: Arc<Inbound>,
    activation: Arc<Activation>,
    membership: ActorRef<MembershipMessage>,
    telemetry: Telemetry,
    /// Request limit in the record that was published last.
    published_limit: Mutex<Option<RequestRate>>,
    /// Notified when the request limit of the back end has changed.
    request_limit_change: Notify,
    /// The ignored announcement that was logged last.
    logged_ignored: Mutex<Option<IgnoredAnnouncement>>,
}

impl std::fmt::Debug for BackEndMonitor {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("BackEndMonitor").field("lives", &*self.tracker.lock()).finish_non_exhaustive()
    }
}

impl BackEndMonitor {
    pub(crate) fn new(
        tracker: BackEndTracker,
        departures: Option<DepartureLog>,
        inbound: Arc<Inbound>,
        activation: Arc<Activation>,
        membership: ActorRef<MembershipMessage>,
        telemetry: Telemetry,
    ) -> Arc<Self> {
        Arc::new(Self {
            tracker: Mutex::new(tracker),
            departures,
            written_departure: watch::Sender::new(None),
            inbound,
            activation,
            membership,
            telemetry,
            published_limit: Mutex::default(),
            request_limit_change: Notify::new(),
            logged_ignored: Mutex::default(),
        })
    }

    /// Follows changed settings.
    pub(crate) fn assign(&self, assignment: BackEndAssignment) {
        self.tracker.lock().assign(assignment);
    }

    /// Handles an announcement. If it announces draining, this node sends no new requests once this returns, and
    /// other nodes know that unless they could not be reached in time.
    ///
    /// # Errors
    /// Returns [`ForeignAnnouncement`] if it is not of the back end beside this node; it then has no effect.
    pub async fn announce(self: &Arc<Self>, announcement: &Announcement) -> Result<(), ForeignAnnouncement> {
        let (effect, ignored) = {
            let mut tracker = self.tracker.lock();
            (tracker.on_announcement(now(), announcement)?, tracker.take_ignored())
        };
        self.apply(effect);
        let metrics = self.telemetry.metrics();
        match ignored {
            Some(ignored) => {
                metrics.announcement(AnnouncementOutcome::Ignored);
                self.emit_ignored(announcement.sequence, ignored);
            }
            None => metrics.announcement(AnnouncementOutcome::Applied),
        }
        self.update_cold_start_limiter();
        self.publish_record_when_warm();
        if announcement.state == AnnouncedState::Draining {
            self.wait_until_durable().await;
        }
        Ok(())
    }

    /// Handles the withdrawal of `process`. This node sends it no new requests once this returns, and other nodes
    /// know that unless they could not be reached in time.
    pub async fn withdraw(self: &Arc<Self>, process: &BackEndProcess) {
        let effect = self.tracker.lock().on_withdrawn(now(), process);
        self.apply(effect);
        self.wait_until_durable().await;
    }

    /// Waits until other nodes and the store hold the departure of the back end, so that the next process of this
    /// node learns it, or until that has taken too long.
    async fn wait_until_durable(&self) {
        let (is_held, is_written) = tokio::join!(self.wait_until_held(), self.wait_until_written());
        let missing = match (is_held, is_written) {
            (true, true) => return,
            (false, true) => "nodes",
            (true, false) => "store",
            (false, false) => "both",
        };
        let waited_millis = millis(DURABLE_TIMEOUT);
        self.telemetry.emit(Event::DepartureNotDurable { waited_millis, missing });
    }

    /// Waits until other nodes hold the record that was published last.
    async fn wait_until_held(&self) -> bool {
        let reply = self.membership.call(MembershipMessage::AwaitHolders, Some(DURABLE_TIMEOUT)).await;
        matches!(reply, Ok(CallResult::Success(())))
    }

    /// Waits until the store holds the departure of the current process, if it has departed.
    async fn wait_until_written(&self) -> bool {
        let departed = self.tracker.lock().departed();
        if departed.is_none() || self.departures.is_none() {
            return true;
        }
        let mut written = self.written_departure.subscribe();
        timeout(DURABLE_TIMEOUT, written.wait_for(|written| *written == departed)).await.is_ok()
    }

    /// Writes the departure of the current process to the store, unless it holds it.
    async fn write_departure(self: Arc<Self>) {
        let (Some(departures), Some(process)) = (&self.departures, self.tracker.lock().departed()) else {
            return;
        };
        let is_wanted = || {
            let is_current = self.tracker.lock().departed().as_ref() == Some(&process);
            is_current && self.written_departure.borrow().as_ref() != Some(&process)
        };
        if departures.write(&process, is_wanted).await {
            self.written_departure.send_replace(Some(process));
        }
    }

    /// Writes the departure of the current process to the store again, which may have lost it.
    pub(crate) fn write_departure_again(self: &Arc<Self>) {
        self.written_departure.send_replace(None);
        tokio::spawn(Arc::clone(self).write_departure());
    }

    /// Reads from the store which process has departed last; `false` if there is no such store, or if the back end
    /// became known in another way before.
    pub(super) async fn recall_departure(self: &Arc<Self>) -> bool {
        let Some(departures) = &self.departures else { return false };
        let Some(departed) = departures.read(|| !self.is_back_end_known()).await else { return false };
        let effect = self.tracker.lock().on_departure_read(departed.as_ref());
        self.apply(effect);
        true
    }

    /// Whether any process of the back end is known.
    pub(super) fn is_back_end_known(&self) -> bool {
        self.tracker.lock().current().is_some()
    }

    /// Handles what another node remembers of the back end that an earlier process of this node published.
    pub(crate) fn on_earlier_record(self: &Arc<Self>, record: &BackEndRecord) {
        let effect = self.tracker.lock().on_earlier_record(now(), record);
        self.apply(effect);
    }

    /// The record of the back end that this node publishes to other nodes.
    #[must_use]
    pub fn record(&self) -> Option<BackEndRecord> {
        let record = self.tracker.lock().record(now())?;
        Some(BackEndRecord { request_limit: self.inbound.request_limit(), ..record })
    }

    /// Handles a successful health check that this process has just made.
    pub(crate) fn confirm(self: &Arc<Self>, back_end: BackEnd) {
        let effect = self.tracker.lock().on_confirmed(now(), back_end);
        self.apply(effect);
    }

    /// Handles the remaining warm-up time that `process` reported in response to a health check of this node.
    pub(crate) fn on_cold(self: &Arc<Self>, process: &BackEndProcess, cold_for: Duration) {
        if cold_for.is_zero() {
            return;
        }
        self.tracker.lock().on_cold(now(), process, cold_for);
        self.update_cold_start_limiter();
        self.publish_record();
        self.publish_record_when_warm();
    }

    /// Keeps the cold-start limiter active for as long as the back end is known to be cold.
    fn update_cold_start_limiter(&self) {
        let cold_for = self.tracker.lock().cold_for(now());
        if !cold_for.is_zero() {
            self.inbound.on_cold(cold_for);
        }
    }

    /// Handles a failure to reach the back end.
    pub(crate) fn unreachable(self: &Arc<Self>, process: &BackEndProcess) {
        let effect = self.tracker.lock().on_unreachable(process);
        if effect != Effect::None {
            let reason = "the back end is unreachable".to_owned();
            self.telemetry.emit(Event::BackEndUnhealthy { reason });
        }
        self.apply(effect);
    }

    /// Handles a response of `process` that says that it is about to shut down.
    pub(crate) fn leaving(self: &Arc<Self>, process: &BackEndProcess) {
        let effect = self.tracker.lock().on_leaving(now(), process);
        self.apply(effect);
    }

    /// Records that the request limit of the back end has changed.
    pub(crate) fn request_limit_changed(&self) {
        self.request_limit_change.notify_one();
    }

    /// Request limit in the record that was published last.
    pub(super) fn published_limit(&self) -> Option<RequestRate> {
        *self.published_limit.lock()
    }

    /// Waits until the request limit of the back end has changed.
    pub(super) async fn request_limit_change(&self) {
        self.request_limit_change.notified().await;
    }

    /// Health check path of the back end of `service`.
    pub(crate) fn health_path(&self, service: &ServiceName) -> Option<String> {
        self.activation.health_path(service)
    }

    /// Number of slots of a back end of `service` in the active configuration, if it specifies one.
    pub(crate) fn configured_slots(&self, service: &ServiceName) -> Option<u32> {
        self.activation.slots(service)
    }

    /// The half of the request path that forwards requests to the back end.
    pub(crate) const fn inbound(&self) -> &Arc<Inbound> {
        &self.inbound
    }

    fn apply(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::None => return,
            Effect::Identify(back_end) => {
                tokio::spawn(Arc::clone(self).identify(back_end));
                return;
            }
            Effect::Open(back_end) => {
                self.emit_state_changed("ready", "the back end reports that it is ready");
                self.inbound.open(back_end);
                self.activation.on_back_end_changed();
            }
            Effect::Close(reason) => {
                self.emit_state_changed("closed", reason.as_str());
                self.inbound.close();
                tokio::spawn(Arc::clone(self).write_departure());
            }
            Effect::Confirm(back_end) => {
                self.emit_state_changed(
                    "to-be-confirmed",
                    "the back end was unreachable, or is known from an earlier process of this node",
                );
                self.inbound.close();
                tokio::spawn(Arc::clone(self).probe_until_confirmed(back_end));
            }
        }
        self.publish_record();
    }

    /// Logs that an announcement had no effect, unless the ignored one before had the same sender and reason.
    fn emit_ignored(&self, sequence: u64, ignored: IgnoredAnnouncement) {
        let mut logged = self.logged_ignored.lock();
        if logged.as_ref() == Some(&ignored) {
            return;
        }
        let current = ignored.current.as_ref().map_or_else(|| "none".to_owned(), ToString::to_string);
        self.telemetry.emit(Event::AnnouncementIgnored {
            announced: ignored.process.to_string(),
            sequence,
            current,
            reason: ignored.reason.as_str(),
        });
        *logged = Some(ignored);
    }

    fn emit_state_changed(&self, state: &'static str, reason: &'static str) {
        let tracker = self.tracker.lock();
        let Some((back_end, sequence)) = tracker.current() else { return };
        let (instance, service) = (back_end.process.to_string(), back_end.service.to_string());
        drop(tracker);
        self.telemetry.emit(Event::BackEndStateChanged { instance, service, state, reason, sequence });
    }

    pub(super) fn publish_record(&self) {
        let record = self.record();
        *self.published_limit.lock() = record.as_ref().and_then(|record| record.request_limit);
        let _ = self.membership.send_message(MembershipMessage::BackEnd(record));
    }

    /// Publishes the record again once the warm-up time of the back end has passed.
    fn publish_record_when_warm(self: &Arc<Self>) {
        let cold_for = self.tracker.lock().cold_for(now());
        if cold_for.is_zero() {
            return;
        }
        let monitor = Arc::clone(self);
        tokio::spawn(async move {
            sleep(cold_for + Duration::from_millis(1)).await;
            monitor.publish_record();
        });
    }

    /// Sends health checks until the back end reports that it is healthy or the attempts are used up.
    async fn probe_until_confirmed(self: Arc<Self>, back_end: BackEnd) {
        for _attempt in 0..MAX_CONFIRM_ATTEMPTS {
            match self.found_identity(&back_end).await {
                Some((instance, cold_for)) if instance == back_end.process.instance => {
                    self.on_found(back_end, cold_for);
                    return;
                }
                // Another back end uses the address and will announce itself; this one has been replaced.
                Some(_another) => return,
                None => sleep(CONFIRM_INTERVAL).await,
            }
        }
    }

    /// Sends one health check to find out whether `back_end` has replaced the current one. Its next announcement
    /// repeats that.
    async fn identify(self: Arc<Self>, back_end: BackEnd) {
        if let Some((instance, cold_for)) = self.found_identity(&back_end).await
            && instance == back_end.process.instance
        {
            self.on_found(back_end, cold_for);
        }
    }

    /// Handles a successful health check of `back_end`, which reported this remaining warm-up time.
    pub(super) fn on_found(self: &Arc<Self>, back_end: BackEnd, cold_for: Duration) {
        let process = back_end.process.clone();
        self.confirm(back_end);
        self.on_cold(&process, cold_for);
    }

    /// Identity and remaining warm-up time that a healthy back end at the address of `back_end` reports.
    async fn found_identity(&self, back_end: &BackEnd) -> Option<(String, Duration)> {
        let path = self.health_path(&back_end.service)?;
        let health = self.inbound.probe_health(back_end.address, &path).await?;
        health.instance.map(|instance| (instance, health.cold_for))
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
