//! What is known of the back end beside this node.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::time::Instant;
use umberpond_model::{BackEndProcess, RegionName, ReleaseName, RequestRate, ServiceName};
use umberpond_net::Network;
use umberpond_rollouts::{ResponseTally, RouteTally};
use umberpond_scheduling::{ColdStartLimiter, DuplicateWindow, LoadReport};
use umberpond_telemetry::{Event, Telemetry};

use super::admission::Admission;
use super::body_link::BodyLink;
use super::crash_watch::{CrashReport, CrashWatch};
use super::suspect_lane::SuspectLane;
use crate::calls::CallGate;
use crate::clock::now;
use crate::header_profile::HeaderProfile;
use crate::quarantine::Quarantine;
use crate::retries::{ActiveRuns, RetryLedger};
use crate::routing::TenantTable;
use crate::suspended_time::SuspendedTime;
use crate::upstream::{
    Health, LoadListener, ReportedSlowdown, UpstreamPool, UpstreamSettings, probe_health, told_slowdown,
};

/// Limits of the inbound half.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InboundSettings {
    /// Longest time to open a connection to the back end.
    pub connect_time: Duration,
    /// Most idle connections kept to the back end.
    pub idle_connections: usize,
    /// Bytes a second that this node's link bears; absent if that is not known.
    pub link_rate: Option<f64>,
    /// Whether new requests leave slots of the back end to calls of runs, in the measure in which calls have come.
    pub keeps_slots_for_calls: bool,
}

impl Default for InboundSettings {
    fn default() -> Self {
        Self {
            connect_time: Duration::from_millis(300),
            idle_connections: 64,
            link_rate: None,
            keeps_slots_for_calls: false,
        }
    }
}

/// One life of the back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackEnd {
    /// This life of it.
    pub life: BackEndProcess,
    /// Service that it serves.
    pub service: ServiceName,
    /// Version of its software; absent if it has not told it.
    pub release: Option<ReleaseName>,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Requests it works on at once.
    pub slots: u32,
}

#[derive(Debug)]
pub(super) struct Current {
    pub(super) back_end: BackEnd,
    pub(super) pool: Arc<UpstreamPool>,
    pub(super) watch: Arc<CrashWatch>,
    pub(super) is_open: bool,
}

/// Whose requests this half takes, whatever the callers' nodes believe.
#[derive(Debug)]
pub(crate) struct InboundAccess {
    pub(crate) tenants: Arc<TenantTable>,
    /// Where this node runs.
    pub(crate) region: RegionName,
}

/// The inbound half of one node.
pub struct Inbound {
    pub(super) header_profile: HeaderProfile,
    settings: InboundSettings,
    network: Arc<dyn Network>,
    pub(super) telemetry: Telemetry,
    pub(super) admission: Arc<Admission>,
    pub(super) link: BodyLink,
    pub(super) current: Mutex<Option<Current>>,
    pub(super) duplicates: Mutex<DuplicateWindow>,
    unreachable: Mutex<Option<mpsc::UnboundedSender<BackEndProcess>>>,
    /// Whether the configuration in force lets the back end's service be served where this node runs.
    pub(super) may_serve: AtomicBool,
    /// Whose requests are taken; absent before the first configuration.
    pub(super) access: ArcSwapOption<InboundAccess>,
    /// Whether operators have evacuated the zone of this node.
    pub(super) is_evacuated: AtomicBool,
    /// Whether the rollout of the service leaves the back end's release any requests.
    is_release_open: AtomicBool,
    pub(super) answers: Mutex<ResponseTally>,
    pub(super) runs: Arc<ActiveRuns>,
    pub(super) calls: CallGate,
    pub(super) suspended: Arc<SuspendedTime>,
    /// When operators were told last how tenants share the slots.
    pub(super) shares_told_at: Mutex<Option<Instant>>,
    pub(super) quarantine: Arc<Quarantine>,
    pub(super) suspect_lane: Arc<SuspectLane>,
    /// The budgets that pay for the calls of repeated runs.
    pub(super) ledger: OnceLock<Arc<RetryLedger>>,
}

impl std::fmt::Debug for Inbound {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Inbound").field("current", &*self.current.lock()).finish_non_exhaustive()
    }
}

impl Inbound {
    /// The inbound half of a node whose back end is not known yet.
    #[must_use]
    pub fn new(
        header_profile: HeaderProfile,
        settings: InboundSettings,
        network: Arc<dyn Network>,
        telemetry: Telemetry,
    ) -> Self {
        let quarantine = Arc::new(Quarantine::new(telemetry.clone()));
        Self {
            header_profile,
            settings,
            network,
            telemetry,
            admission: Admission::new(settings.keeps_slots_for_calls),
            link: BodyLink::new(settings.link_rate),
            current: Mutex::new(None),
            duplicates: Mutex::default(),
            unreachable: Mutex::new(None),
            may_serve: AtomicBool::new(true),
            access: ArcSwapOption::empty(),
            is_evacuated: AtomicBool::new(false),
            is_release_open: AtomicBool::new(true),
            answers: Mutex::default(),
            runs: Arc::new(ActiveRuns::new(header_profile.call_separator)),
            calls: CallGate::default(),
            suspended: Arc::default(),
            suspect_lane: SuspectLane::new(Arc::clone(&quarantine)),
            quarantine,
            shares_told_at: Mutex::default(),
            ledger: OnceLock::new(),
        }
    }

    /// The lives of the back end that could not be reached, from now on.
    pub fn watch_unreachable(&self) -> mpsc::UnboundedReceiver<BackEndProcess> {
        let (sender, receiver) = mpsc::unbounded_channel();
        *self.unreachable.lock() = Some(sender);
        receiver
    }

    /// Takes new work for `back_end` from now on.
    pub fn open(&self, back_end: BackEnd) {
        let mut current = self.current.lock();
        let is_same = current.as_ref().is_some_and(|held| {
            held.back_end.life.may_equal(&back_end.life) && held.back_end.address == back_end.address
        });
        if !is_same {
            self.admission.close();
            self.admission.forget_back_end();
            self.answers.lock().clear();
        }
        let (pool, watch) = match current.take() {
            Some(held) if is_same && !held.watch.has_ended() => (held.pool, held.watch),
            // Also one that has ended and is there again under the same name.
            before => {
                self.replace(before);
                (self.new_pool(back_end.address), Arc::default())
            }
        };
        self.admission.open(back_end.slots);
        self.link.open();
        *current = Some(Current { back_end, pool, watch, is_open: true });
    }

    /// Takes in that another life of the back end has come after `before`. If that one took work until now it has ended without a word.
    fn replace(&self, before: Option<Current>) {
        let Some(before) = before.filter(|before| before.is_open) else { return };
        if let Some(report) = before.watch.end(&before.back_end.life.instance) {
            self.on_crash(&before.back_end, "replaced", &report);
        }
    }

    /// Takes no new work from now on; what waits is refused, what runs goes on.
    pub fn close(&self) {
        if let Some(current) = self.current.lock().as_mut() {
            current.is_open = false;
        }
        self.admission.close();
        self.link.close();
    }

    /// Service of the back end, if one is known.
    #[must_use]
    pub fn service(&self) -> Option<ServiceName> {
        self.current.lock().as_ref().map(|current| current.back_end.service.clone())
    }

    /// Sets whether the back end's service may be served where this node runs.
    pub fn set_may_serve(&self, may_serve: bool) {
        self.may_serve.store(may_serve, Ordering::Relaxed);
    }

    /// Sets whose requests are taken by the configuration in force.
    pub(crate) fn set_access(&self, access: InboundAccess) {
        self.access.store(Some(Arc::new(access)));
    }

    /// Sets whether operators have evacuated the zone of this node. While it is, nothing new is handed to the back end, also of what waits; once it is taken back, the back end may
    /// be cold.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        if self.is_evacuated.swap(is_evacuated, Ordering::Relaxed) == is_evacuated {
            return;
        }
        if is_evacuated {
            self.admission.turn_away_waiting();
        } else {
            self.admission.change_pace(ColdStartLimiter::doubt);
        }
    }

    /// Sets the rate of requests that a cold back end of the service bears; absent if the configuration names none.
    pub fn set_cold_rate(&self, rate: Option<RequestRate>) {
        self.admission.set_cold_rate(rate);
    }

    /// Takes in that the back end is cold for so long.
    pub fn on_cold(&self, cold_for: Duration) {
        self.admission.change_pace(|cold_start_limiter| cold_start_limiter.on_cold(now(), cold_for));
    }

    /// Waits until the back end should be asked whether it is warm, and takes in that it is asked now. Whoever awaits this asks, and
    /// tells what came of it by [`Inbound::on_warm`], [`Inbound::on_cold`] or [`Inbound::on_warmth_probe_failed`].
    pub async fn begin_warmth_probe(&self) -> Option<BackEnd> {
        self.admission.begin_warmth_probe().await;
        self.current.lock().as_ref().map(|current| current.back_end.clone())
    }

    /// Takes in that the back end has answered the question whether it is warm: it is.
    pub fn on_warm(&self) {
        self.admission.change_pace(ColdStartLimiter::on_warm);
    }

    /// Takes in that the question whether the back end is warm came to nothing.
    pub fn on_warmth_probe_failed(&self) {
        self.admission.change_pace(ColdStartLimiter::on_warmth_probe_failed);
    }

    /// Sets whether the rollout of the service leaves the back end's release any requests. Without any, what waits or runs is
    /// finished, and nothing new is taken.
    pub fn set_release_open(&self, is_open: bool) {
        self.is_release_open.store(is_open, Ordering::Relaxed);
    }

    /// Whether the rollout of the service leaves the back end's release any requests.
    #[must_use]
    pub fn is_release_open(&self) -> bool {
        self.is_release_open.load(Ordering::Relaxed)
    }

    /// Answers of the back end by route.
    #[must_use]
    pub fn answers(&self) -> Vec<RouteTally> {
        self.answers.lock().routes()
    }

    /// The load of the back end.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.admission.report()
    }

    /// Closes connections to the back end that may not serve again.
    pub fn close_expired(&self) {
        if let Some(current) = self.current.lock().as_ref() {
            current.pool.close_expired();
        }
    }

    /// Asks the back end at `address` whether it is well; absent if it does not say so.
    pub async fn probe_health(&self, address: SocketAddr, path: &str) -> Option<Health> {
        let health = probe_health(&*self.network, &self.header_profile, address, path).await?;
        if self.is_of_present(address, &health) {
            self.on_slowdown_word(health.slowdown);
        }
        Some(health)
    }

    /// Whether `health` was told by the present life of the back end.
    fn is_of_present(&self, address: SocketAddr, health: &Health) -> bool {
        let current = self.current.lock();
        let Some(back_end) = current.as_ref().map(|current| &current.back_end) else { return false };
        let is_same_life = health.instance.as_ref().is_none_or(|told| *told == back_end.life.instance);
        back_end.address == address && is_same_life
    }

    /// Takes in how long work takes at the back end, by its word.
    fn on_slowdown_word(&self, word: ReportedSlowdown) {
        let is_valid = match word {
            ReportedSlowdown::Unreported => return,
            ReportedSlowdown::Percent(percent) => self.admission.on_slowdown(percent).is_ok(),
            ReportedSlowdown::Invalid => false,
        };
        self.telemetry.metrics().slowdown_word(is_valid);
    }

    /// Most bytes of one body that are on their way from another node at once.
    pub(crate) const fn body_window(&self) -> u32 {
        self.link.window()
    }

    /// Sets the budgets that pay for the calls of repeated runs; they stay the same.
    pub(crate) fn set_ledger(&self, ledger: Arc<RetryLedger>) {
        let _ = self.ledger.set(ledger);
    }

    /// The requests under suspicion of ending back ends.
    #[must_use]
    pub const fn quarantine(&self) -> &Arc<Quarantine> {
        &self.quarantine
    }

    /// The time for which the machine was suspended.
    pub(crate) const fn suspended(&self) -> &Arc<SuspendedTime> {
        &self.suspended
    }

    /// The runs at the back end.
    pub(crate) const fn runs(&self) -> &Arc<ActiveRuns> {
        &self.runs
    }

    /// How the calls of the runs fare.
    pub(crate) const fn calls(&self) -> &CallGate {
        &self.calls
    }

    /// Takes in that the back end has ended; `found` tells by what that is known.
    pub(super) fn on_crash(&self, back_end: &BackEnd, found: &'static str, report: &CrashReport) {
        let fingerprints: Vec<String> = report.requests.iter().map(|key| key.content.to_string()).collect();
        self.telemetry.emit(Event::BackEndCrashed {
            instance: back_end.life.to_string(),
            service: back_end.service.clone(),
            found,
            requests: report.requests.len() as u64,
            fingerprints: fingerprints.join(","),
        });
        self.quarantine.on_crash(report.crash, &report.requests);
    }

    pub(super) fn tell_unreachable(&self, life: &BackEndProcess) {
        if let Some(watcher) = &*self.unreachable.lock() {
            // Nobody watches any more when the process leaves.
            let _ = watcher.send(life.clone());
        }
    }

    fn new_pool(&self, address: SocketAddr) -> Arc<UpstreamPool> {
        let settings = UpstreamSettings {
            connect_time: self.settings.connect_time,
            idle: self.settings.idle_connections,
        };
        UpstreamPool::new(Arc::clone(&self.network), address, settings)
    }
}

impl LoadListener for Inbound {
    fn on_load_field(&self, field: &str) {
        self.on_slowdown_word(told_slowdown(field));
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
