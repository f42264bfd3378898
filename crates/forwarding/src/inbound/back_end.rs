//! State of the local back end and of the inbound side that serves it.

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
use super::crash_watch::{CrashReport, CrashWatch};
use super::suspect_limiter::SuspectLimiter;
use super::transfer_scheduler::TransferScheduler;
use crate::calls::CallGate;
use crate::clock::now;
use crate::header_profile::HeaderProfile;
use crate::quarantine::Quarantine;
use crate::retries::{ActiveRuns, RetryLedger};
use crate::routing::TenantTable;
use crate::shutdown_limit::ShutdownLimit;
use crate::suspended_time::SuspendedTime;
use crate::upstream::{Health, ReportedSlowdown, UpstreamPool, UpstreamSettings, probe_health};

/// Requests per second below which responses are so rare that health checks are sent in between.
const LOW_REQUEST_LIMIT: f64 = 1.0;

/// Settings of the inbound side.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InboundSettings {
    /// Timeout for opening a connection to the back end.
    pub connect_time: Duration,
    /// Maximum number of idle connections to the back end.
    pub idle_connections: usize,
    /// Bandwidth of this node's link in bytes per second; `None` if unknown.
    pub link_rate: Option<f64>,
    /// Whether new requests leave slots of the back end free for calls of runs, in proportion to the calls
    /// that have arrived.
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

/// One process of the back end, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackEnd {
    /// Identity of the process.
    pub process: BackEndProcess,
    /// Service that the back end implements.
    pub service: ServiceName,
    /// Software release; `None` if the back end has not reported it.
    pub release: Option<ReleaseName>,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
}

#[derive(Debug)]
pub(super) struct CurrentBackEnd {
    pub(super) back_end: BackEnd,
    pub(super) pool: Arc<UpstreamPool>,
    pub(super) watch: Arc<CrashWatch>,
    pub(super) is_open: bool,
    /// Whether a response has said that it is about to shut down.
    pub(super) is_leaving: bool,
    /// Whether responses to its health checks advertise the request limit too; `None` if that is unknown.
    pub(super) has_limit_in_health: Option<bool>,
}

impl CurrentBackEnd {
    fn new(back_end: BackEnd, pool: Arc<UpstreamPool>) -> Self {
        Self {
            back_end,
            pool,
            watch: Arc::default(),
            is_open: false,
            is_leaving: false,
            has_limit_in_health: None,
        }
    }
}

/// Tenants and region by which this node accepts requests, whatever the callers' nodes have checked.
#[derive(Debug)]
pub(crate) struct InboundAccess {
    pub(crate) tenants: Arc<TenantTable>,
    /// Region of this node.
    pub(crate) region: RegionName,
}

/// What the request path has found out about the state of the back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackEndFinding {
    /// This process can't be reached, or another one answers at its address.
    Unreachable(BackEndProcess),
    /// This process has said in a response that it is about to shut down.
    Leaving(BackEndProcess),
    /// The request limit has changed.
    RequestLimitChanged,
}

/// The inbound side of one node.
pub struct Inbound {
    pub(super) header_profile: HeaderProfile,
    settings: InboundSettings,
    network: Arc<dyn Network>,
    pub(super) telemetry: Telemetry,
    pub(super) admission: Arc<Admission>,
    pub(super) transfers: TransferScheduler,
    pub(super) current: Mutex<Option<CurrentBackEnd>>,
    pub(super) duplicates: Mutex<DuplicateWindow>,
    findings: Mutex<Option<mpsc::UnboundedSender<BackEndFinding>>>,
    /// Whether the active configuration allows the back end's service at this node's location.
    pub(super) may_serve: AtomicBool,
    /// Tenants and region by which requests are accepted; `None` before the first configuration.
    pub(super) access: ArcSwapOption<InboundAccess>,
    /// Whether operators have evacuated the zone of this node.
    pub(super) is_evacuated: AtomicBool,
    /// Whether the process shuts down and accepts no more requests.
    is_shutting_down: AtomicBool,
    /// Limit on the requests that arrive until then.
    pub(super) shutdown_limit: OnceLock<ShutdownLimit>,
    /// Whether the rollout of the service routes any requests to the back end's release.
    is_release_open: AtomicBool,
    pub(super) response_tallies: Mutex<ResponseTally>,
    pub(super) runs: Arc<ActiveRuns>,
    pub(super) calls: CallGate,
    pub(super) suspended: Arc<SuspendedTime>,
    /// When the tenant shares were last logged.
    pub(super) shares_logged_at: Mutex<Option<Instant>>,
    pub(super) quarantine: Arc<Quarantine>,
    pub(super) suspect_limiter: Arc<SuspectLimiter>,
    /// Retry budgets that limit the calls of retried runs.
    pub(super) ledger: OnceLock<Arc<RetryLedger>>,
}

impl std::fmt::Debug for Inbound {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Inbound").field("current", &*self.current.lock()).finish_non_exhaustive()
    }
}

impl Inbound {
    /// Creates the inbound side of a node whose back end is not known yet.
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
            transfers: TransferScheduler::new(settings.link_rate),
            current: Mutex::new(None),
            duplicates: Mutex::default(),
            findings: Mutex::new(None),
            may_serve: AtomicBool::new(true),
            access: ArcSwapOption::empty(),
            is_evacuated: AtomicBool::new(false),
            is_shutting_down: AtomicBool::new(false),
            shutdown_limit: OnceLock::new(),
            is_release_open: AtomicBool::new(true),
            response_tallies: Mutex::default(),
            runs: Arc::new(ActiveRuns::new(header_profile.call_separator)),
            calls: CallGate::default(),
            suspended: Arc::default(),
            suspect_limiter: SuspectLimiter::new(Arc::clone(&quarantine)),
            quarantine,
            shares_logged_at: Mutex::default(),
            ledger: OnceLock::new(),
        }
    }

    /// Returns a channel that receives all findings about the back end from now on.
    pub fn watch_findings(&self) -> mpsc::UnboundedReceiver<BackEndFinding> {
        let (sender, receiver) = mpsc::unbounded_channel();
        *self.findings.lock() = Some(sender);
        receiver
    }

    /// Starts to accept requests for `back_end`, unless the process shuts down.
    pub fn open(&self, back_end: BackEnd) {
        let mut current = self.current.lock();
        let is_same = current.as_ref().is_some_and(|held| {
            held.back_end.process.may_equal(&back_end.process) && held.back_end.address == back_end.address
        });
        if !is_same {
            self.admission.close();
            self.admission.reset_back_end();
            self.response_tallies.lock().clear();
        }
        let held = match current.take() {
            Some(held) if is_same && !held.watch.is_crash_known() => held,
            // Also covers a back end that crashed and restarted under the same name.
            before => {
                self.forget_request_limit();
                self.handle_replacement(before);
                CurrentBackEnd::new(back_end.clone(), self.new_pool(back_end.address))
            }
        };
        let is_open = !self.is_shutting_down.load(Ordering::Relaxed);
        if is_open {
            self.admission.open(back_end.slots);
            self.transfers.open();
        }
        *current = Some(CurrentBackEnd { back_end, is_open, is_leaving: false, ..held });
    }

    /// Handles the replacement of `before` by another process of the back end. If `before` was still
    /// accepting requests, it ended without announcing its shutdown, which counts as a crash.
    fn handle_replacement(&self, before: Option<CurrentBackEnd>) {
        let Some(before) = before.filter(|before| before.is_open) else { return };
        if let Some(report) = before.watch.record_crash(&before.back_end.process.instance) {
            self.on_crash(&before.back_end, "replaced", &report);
        }
    }

    /// Stops accepting requests: rejects the waiting ones and lets the running ones finish.
    pub fn close(&self) {
        if let Some(current) = self.current.lock().as_mut() {
            current.is_open = false;
        }
        self.admission.close();
        self.transfers.close();
    }

    /// Starts the shutdown of the process: requests are accepted only if their response is expected well before
    /// `response_deadline`.
    pub fn start_drain(&self, response_deadline: Instant) {
        self.shutdown_limit.get_or_init(|| ShutdownLimit { response_deadline });
    }

    /// Stops accepting requests for good, because the process shuts down.
    pub fn shut_down(&self) {
        self.is_shutting_down.store(true, Ordering::Relaxed);
        self.close();
    }

    /// Service of the back end, if one is known.
    #[must_use]
    pub fn service(&self) -> Option<ServiceName> {
        self.current.lock().as_ref().map(|current| current.back_end.service.clone())
    }

    /// Sets whether the back end's service may be served at this node's location.
    pub fn set_may_serve(&self, may_serve: bool) {
        self.may_serve.store(may_serve, Ordering::Relaxed);
    }

    /// Sets the tenants and the region by which the active configuration accepts requests.
    pub(crate) fn set_access(&self, access: InboundAccess) {
        self.access.store(Some(Arc::new(access)));
    }

    /// Sets whether operators have evacuated the zone of this node. During an evacuation the back end
    /// receives no new requests, and the waiting ones are rejected. When the evacuation is revoked, the back
    /// end may be cold.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        if self.is_evacuated.swap(is_evacuated, Ordering::Relaxed) == is_evacuated {
            return;
        }
        if is_evacuated {
            self.admission.reject_waiting();
        } else {
            self.admission.update_cold_start(ColdStartLimiter::mark_unconfirmed);
        }
    }

    /// Sets the request rate that a cold back end of the service can handle; `None` if the configuration
    /// names none.
    pub fn set_cold_rate(&self, rate: Option<RequestRate>) {
        self.admission.set_cold_rate(rate);
    }

    /// Records that the back end stays cold for `cold_for`.
    pub fn on_cold(&self, cold_for: Duration) {
        self.admission.update_cold_start(|cold_start_limiter| cold_start_limiter.on_cold(now(), cold_for));
    }

    /// Waits until the back end needs a warmth probe, and marks the probe as started. The caller must run the
    /// probe and report its result through [`Inbound::on_warmth_probe_succeeded`], [`Inbound::on_cold`] or
    /// [`Inbound::on_warmth_probe_failed`]. Returns `None` if no back end is known.
    pub async fn begin_warmth_probe(&self) -> Option<BackEnd> {
        self.admission.begin_warmth_probe().await;
        self.current.lock().as_ref().map(|current| current.back_end.clone())
    }

    /// Records that the warmth probe succeeded, which shows that the back end is warm.
    pub fn on_warmth_probe_succeeded(&self) {
        self.admission.update_cold_start(ColdStartLimiter::on_warmth_probe_succeeded);
    }

    /// Records that the warmth probe got no usable response.
    pub fn on_warmth_probe_failed(&self) {
        self.admission.update_cold_start(ColdStartLimiter::on_warmth_probe_failed);
    }

    /// Sets whether the rollout of the service routes any requests to the back end's release. If it routes
    /// none, waiting and running requests are finished and new ones are rejected.
    pub fn set_release_open(&self, is_open: bool) {
        self.is_release_open.store(is_open, Ordering::Relaxed);
    }

    /// Whether the rollout of the service routes any requests to the back end's release.
    #[must_use]
    pub fn is_release_open(&self) -> bool {
        self.is_release_open.load(Ordering::Relaxed)
    }

    /// Response counts of the back end by route.
    #[must_use]
    pub fn response_tallies(&self) -> Vec<RouteTally> {
        self.response_tallies.lock().routes()
    }

    /// Load report of the back end.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.admission.report()
    }

    /// Request limit that the back end advertises.
    #[must_use]
    pub fn request_limit(&self) -> Option<RequestRate> {
        self.admission.request_limit()
    }

    /// The back end, if its request limit is so low that health checks may show its end before a response does.
    #[must_use]
    pub fn back_end_with_low_limit(&self) -> Option<BackEnd> {
        let limit = self.request_limit()?;
        let current = self.current.lock();
        let current = current.as_ref().filter(|current| current.has_limit_in_health != Some(false))?;
        (limit.as_f64() < LOW_REQUEST_LIMIT).then(|| current.back_end.clone())
    }

    /// Closes the idle connections to the back end that can no longer be reused.
    pub fn close_expired(&self) {
        if let Some(current) = self.current.lock().as_ref() {
            current.pool.close_expired();
        }
    }

    /// Checks the health of the back end at `address`; `None` if it does not report itself healthy.
    pub async fn probe_health(&self, address: SocketAddr, path: &str) -> Option<Health> {
        let sent_at = Instant::now();
        let response = probe_health(&*self.network, &self.header_profile, address, path).await?;
        if let Some(process) = self.current_process(address, response.instance.as_deref()) {
            self.on_health_response(&process, sent_at, &response);
        }
        response.health()
    }

    /// The current process of the back end, if that is the one with this address, and with this identity if one
    /// is given.
    fn current_process(&self, address: SocketAddr, instance: Option<&str>) -> Option<BackEndProcess> {
        let current = self.current.lock();
        let back_end = &current.as_ref()?.back_end;
        let is_same = instance.is_none_or(|instance| instance == back_end.process.instance);
        (back_end.address == address && is_same).then(|| back_end.process.clone())
    }

    /// Records the slowdown that the back end reports.
    pub(super) fn on_reported_slowdown(&self, slowdown: ReportedSlowdown) {
        let is_valid = match slowdown {
            ReportedSlowdown::Unreported => return,
            ReportedSlowdown::Percent(percent) => self.admission.on_slowdown(percent).is_ok(),
            ReportedSlowdown::Invalid => false,
        };
        self.telemetry.metrics().slowdown_word(is_valid);
    }

    /// Maximum number of bytes of one body that another node may have in flight.
    pub(crate) const fn body_window(&self) -> u32 {
        self.transfers.window()
    }

    /// Sets the retry budgets that limit the calls of retried runs. Only the first call has an effect.
    pub(crate) fn set_ledger(&self, ledger: Arc<RetryLedger>) {
        let _ = self.ledger.set(ledger);
    }

    /// The requests suspected of crashing back ends.
    #[must_use]
    pub const fn quarantine(&self) -> &Arc<Quarantine> {
        &self.quarantine
    }

    /// Time for which the machine was suspended.
    pub(crate) const fn suspended(&self) -> &Arc<SuspendedTime> {
        &self.suspended
    }

    /// Requests that run at the back end.
    pub(crate) const fn runs(&self) -> &Arc<ActiveRuns> {
        &self.runs
    }

    /// Outcomes of the calls that the runs make.
    pub(crate) const fn calls(&self) -> &CallGate {
        &self.calls
    }

    /// Reports a crash of the back end and the requests that ran there. `found` is how the crash was
    /// detected.
    pub(super) fn on_crash(&self, back_end: &BackEnd, found: &'static str, report: &CrashReport) {
        let fingerprints: Vec<String> = report.requests.iter().map(|key| key.content.to_string()).collect();
        self.telemetry.emit(Event::BackEndCrashed {
            instance: back_end.process.to_string(),
            service: back_end.service.clone(),
            found,
            requests: report.requests.len() as u64,
            fingerprints: fingerprints.join(","),
        });
        self.quarantine.on_crash(report.crash, &report.requests);
    }

    pub(super) fn report_finding(&self, finding: BackEndFinding) {
        if let Some(watcher) = &*self.findings.lock() {
            // The receiver is dropped while the process shuts down.
            let _ = watcher.send(finding);
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

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
