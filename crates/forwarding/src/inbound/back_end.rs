//! What is known of the back end beside this node, and how a request gets to it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::time::Instant;
use umberpond_http1::Fields;
use umberpond_model::{BackEndLife, ReleaseName, ServiceName};
use umberpond_net::Network;
use umberpond_quarantine::Standing;
use umberpond_rollouts::{AnswerTally, RouteTally};
use umberpond_scheduling::{DuplicateWindow, LoadReport, Refusal, WorkItem};
use umberpond_telemetry::{Event, Telemetry};

use super::admission::{Admission, Permit};
use super::body_link::BodyLink;
use super::crash_watch::{CrashReport, CrashWatch, LifeSign};
use super::suspect_lane::{SuspectLane, SuspectPlace};
use crate::dialect::Dialect;
use crate::message::{Answer, AnswerBody, Attempt, AttemptResult, NotRun, RequestBody};
use crate::outcome::{NotRunReason, UnknownReason};
use crate::quarantine::Quarantine;
use crate::repeats::{OpenRuns, RetryLedger};
use crate::suspended_time::{PastMoment, SuspendedTime};
use crate::upstream::{
    ExchangeEnd, ExchangeRequest, Exchanger, Health, MISDIRECTED, UpstreamPool, UpstreamSettings, ask_health,
};

/// Lowest status of an answer that is a failure of the back end.
const FIRST_FAILURE: u16 = 500;

/// Limits of the inbound half.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InboundSettings {
    /// Longest time to open a connection to the back end.
    pub connect_time: Duration,
    /// Most idle connections kept to the back end.
    pub idle_connections: usize,
    /// Bytes a second that this node's link bears; absent if that is not known.
    pub link_rate: Option<f64>,
}

impl Default for InboundSettings {
    fn default() -> Self {
        Self { connect_time: Duration::from_millis(300), idle_connections: 64, link_rate: None }
    }
}

/// One life of the back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackEnd {
    /// This life of it.
    pub life: BackEndLife,
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
struct Current {
    back_end: BackEnd,
    pool: Arc<UpstreamPool>,
    watch: Arc<CrashWatch>,
    is_open: bool,
}

/// Where a request goes.
struct Target {
    back_end: BackEnd,
    pool: Arc<UpstreamPool>,
    watch: Arc<CrashWatch>,
}

/// The inbound half of one node.
pub struct Inbound {
    dialect: Dialect,
    settings: InboundSettings,
    network: Arc<dyn Network>,
    telemetry: Telemetry,
    admission: Arc<Admission>,
    link: BodyLink,
    current: Mutex<Option<Current>>,
    duplicates: Mutex<DuplicateWindow>,
    unreachable: Mutex<Option<mpsc::UnboundedSender<BackEndLife>>>,
    /// Whether the configuration in force lets the back end's service be served where this node runs.
    may_serve: AtomicBool,
    /// Whether the rollout of the service leaves the back end's release any requests.
    is_release_open: AtomicBool,
    answers: Mutex<AnswerTally>,
    runs: Arc<OpenRuns>,
    suspended: Arc<SuspendedTime>,
    quarantine: Arc<Quarantine>,
    suspect_lane: Arc<SuspectLane>,
    /// The budgets that pay for the calls of repeated runs.
    ledger: OnceLock<Arc<RetryLedger>>,
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
        dialect: Dialect,
        settings: InboundSettings,
        network: Arc<dyn Network>,
        telemetry: Telemetry,
    ) -> Self {
        let quarantine = Arc::new(Quarantine::new(telemetry.clone()));
        Self {
            dialect,
            settings,
            network,
            telemetry,
            admission: Arc::default(),
            link: BodyLink::new(settings.link_rate),
            current: Mutex::new(None),
            duplicates: Mutex::default(),
            unreachable: Mutex::new(None),
            may_serve: AtomicBool::new(true),
            is_release_open: AtomicBool::new(true),
            answers: Mutex::default(),
            runs: Arc::new(OpenRuns::new(dialect.call_separator)),
            suspended: Arc::default(),
            suspect_lane: SuspectLane::new(Arc::clone(&quarantine)),
            quarantine,
            ledger: OnceLock::new(),
        }
    }

    /// The lives of the back end that could not be reached, from now on.
    pub fn watch_unreachable(&self) -> mpsc::UnboundedReceiver<BackEndLife> {
        let (sender, receiver) = mpsc::unbounded_channel();
        *self.unreachable.lock() = Some(sender);
        receiver
    }

    /// Takes new work for `back_end` from now on.
    pub fn open(&self, back_end: BackEnd) {
        let mut current = self.current.lock();
        let is_same = current.as_ref().is_some_and(|held| {
            held.back_end.life.may_be(&back_end.life) && held.back_end.address == back_end.address
        });
        if !is_same {
            self.admission.close();
            self.admission.forget_service_time();
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
    pub async fn ask_health(&self, address: SocketAddr, path: &str) -> Option<Health> {
        ask_health(&*self.network, &self.dialect, address, path).await
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
    pub(crate) fn runs(&self) -> &OpenRuns {
        &self.runs
    }

    /// Serves one attempt. Dropping the future gives it up, also at the back end.
    pub(crate) async fn serve(&self, mut attempt: Attempt) -> AttemptResult {
        let target = match self.target(&attempt) {
            Ok(target) => target,
            Err(reason) => return self.refused(&attempt, NotRun::before_back_end(reason)),
        };
        if !self.bears_calls_of(&attempt) {
            return self.refused(&attempt, NotRun::before_back_end(NotRunReason::RetryBudget));
        }
        let key = attempt.request_key;
        let waits_until = attempt.hold_until.min(attempt.deadline);
        let slots = target.back_end.slots;
        let mut place = match self.suspect_lane.enter(&target.watch, &key, slots, waits_until).await {
            Ok(place) => place,
            Err(not_run) => return self.refused(&attempt, not_run),
        };
        if let Err(reason) = self.admit_once(&attempt) {
            self.telemetry.emit(Event::DuplicateRefused { request: text(&attempt.id) });
            return AttemptResult::Unknown(reason);
        }
        let arrived = PastMoment::new(Instant::now(), &self.suspended);
        let permit = match self.admit(&mut attempt).await {
            Ok(permit) => permit,
            Err(refusal) => {
                self.withdraw(&attempt);
                return self.refused(&attempt, not_admitted(refusal));
            }
        };
        if let Err(not_run) = count_suspension(&mut attempt, &arrived) {
            drop(permit);
            self.withdraw(&attempt);
            return self.refused(&attempt, not_run);
        }
        // Others may have begun while this one waited.
        if !self.bears_calls_of(&attempt) {
            drop(permit);
            self.withdraw(&attempt);
            return self.refused(&attempt, NotRun::before_back_end(NotRunReason::RetryBudget));
        }
        // It may have come under suspicion, or the suspicion may have become certain, while it waited.
        if place.is_none() || self.quarantine.standing(&key) > Standing::Alone {
            match self.suspect_lane.try_enter(&target.watch, &key, slots) {
                Ok(found) => place = found,
                Err(not_run) => {
                    drop(permit);
                    self.withdraw(&attempt);
                    return self.refused(&attempt, not_run);
                }
            }
        }
        let result = self.hand_over(attempt, &target, place.as_ref(), permit, arrived.elapsed()).await;
        drop(place);
        // Another one under suspicion may wait for the end of this run.
        self.quarantine.moved().notify_waiters();
        result
    }

    /// Whether the calls that a repeated run would make are paid for. Without them it would fail, and hold a slot until then.
    fn bears_calls_of(&self, attempt: &Attempt) -> bool {
        if !attempt.is_repeat {
            return true;
        }
        let Some(ledger) = self.ledger.get() else { return true };
        ledger.bears_calls(attempt.route, self.runs.repeated_runs(attempt.route) + 1)
    }

    /// Waits for a slot; a request whose body comes over the link waits for its turn there first, so that it holds no
    /// slot meanwhile.
    async fn admit(&self, attempt: &mut Attempt) -> Result<Permit, Refusal> {
        let pending = match &attempt.body {
            RequestBody::Pending(pending) if pending.crosses_link() => Some(pending.clone()),
            _ => None,
        };
        if let Some(pending) = pending {
            let began = Instant::now();
            let turn = self.link.turn(work_item(attempt), pending.length()).await?;
            attempt.patience = attempt.patience.saturating_sub(began.elapsed());
            if let Some(turn) = turn {
                pending.hold_turn(turn);
            }
        }
        self.admission.admit(work_item(attempt)).await
    }

    /// Takes in that a request is admitted that must not run twice.
    fn admit_once(&self, attempt: &Attempt) -> Result<(), UnknownReason> {
        if attempt.is_idempotent {
            return Ok(());
        }
        let mut duplicates = self.duplicates.lock();
        if !duplicates.admit(now(), &attempt.id) {
            return Err(UnknownReason::Duplicate);
        }
        if attempt.key.as_ref().is_some_and(|key| !duplicates.admit(now(), &own_key(key, attempt))) {
            return Err(UnknownReason::RepeatedKey);
        }
        Ok(())
    }

    /// Takes in that an admitted request is known not to have run.
    fn withdraw(&self, attempt: &Attempt) {
        let mut duplicates = self.duplicates.lock();
        duplicates.withdraw(&attempt.id);
        if let Some(key) = &attempt.key {
            duplicates.withdraw(&own_key(key, attempt));
        }
    }

    fn target(&self, attempt: &Attempt) -> Result<Target, NotRunReason> {
        let current = self.current.lock();
        let Some(current) = current.as_ref() else { return Err(NotRunReason::WrongInstance) };
        if current.back_end.service != attempt.service {
            return Err(NotRunReason::WrongInstance);
        }
        if !self.may_serve.load(Ordering::Relaxed) {
            return Err(NotRunReason::WrongLocality);
        }
        if !current.is_open || !self.is_release_open() {
            return Err(NotRunReason::Draining);
        }
        Ok(Target {
            back_end: current.back_end.clone(),
            pool: Arc::clone(&current.pool),
            watch: Arc::clone(&current.watch),
        })
    }

    async fn hand_over(
        &self,
        mut attempt: Attempt,
        target: &Target,
        place: Option<&SuspectPlace>,
        mut permit: Permit,
        waited: Duration,
    ) -> AttemptResult {
        let Target { back_end, pool, watch } = target;
        let body = std::mem::replace(&mut attempt.body, RequestBody::Spent);
        let fields = self.fields_for(&attempt, back_end);
        let request = ExchangeRequest {
            id: &attempt.id,
            method: &attempt.method,
            target: &attempt.target,
            fields: &fields,
            deadline: attempt.deadline,
        };
        let exchanger = Exchanger { pool, dialect: &self.dialect };
        let run = self.runs.begin(&attempt);
        let key = attempt.request_key;
        let watched = watch.begin(attempt.id.clone(), key, place.is_some());
        match exchanger.run(&request, body).await {
            ExchangeEnd::Answered { status, mut fields, body } => {
                let calls = run.end();
                watched.answered();
                // A run may fail before it comes to what ends the back end.
                if status < FIRST_FAILURE {
                    self.quarantine.on_answered(&key);
                }
                if let Some(ledger) = self.ledger.get() {
                    ledger.record_calls(attempt.route, &calls);
                }
                fields.remove_connection_fields();
                permit.on_answered();
                self.admission.record_answer(true);
                let served_in = permit.elapsed();
                self.answers.lock().record(attempt.route, status < FIRST_FAILURE, served_in);
                let body = holding(body, permit);
                let load = self.load();
                AttemptResult::Answered(Answer { status, fields, body, served_in, waited, load })
            }
            ExchangeEnd::NotSent(reason) => {
                run.end();
                watched.not_sent();
                drop(permit);
                self.withdraw(&attempt);
                if reason == NotRunReason::BackEndUnreachable {
                    self.find_crash(target).await;
                    pool.clear();
                    self.tell_unreachable(&back_end.life);
                }
                self.refused(&attempt, NotRun::before_back_end(reason))
            }
            ExchangeEnd::Rejected { status } => {
                run.end();
                watched.answered();
                drop(permit);
                self.withdraw(&attempt);
                let reason = if status == MISDIRECTED {
                    NotRunReason::WrongInstance
                } else {
                    NotRunReason::BackEndRejected
                };
                self.refused(&attempt, NotRun { reached_back_end: true, ..NotRun::before_back_end(reason) })
            }
            ExchangeEnd::Unknown(reason) => {
                self.admission.record_answer(false);
                drop(watched);
                let has_crashed = reason.is_broken_connection() && self.find_crash(target).await;
                let reason = if has_crashed { UnknownReason::BackEndCrashed } else { reason };
                self.telemetry.emit(Event::ExchangeLost {
                    request: text(&attempt.id),
                    fingerprint: attempt.request_key.content.to_string(),
                    instance: back_end.life.to_string(),
                    reason: reason.word(),
                    elapsed_millis: millis(permit.elapsed()),
                });
                AttemptResult::Unknown(reason)
            }
        }
    }

    /// Finds out whether the back end has ended after a connection to it broke or could not be opened. One that has said that it leaves may end.
    async fn find_crash(&self, target: &Target) -> bool {
        let Target { back_end, pool, watch } = target;
        if !watch.has_ended() && !self.takes_work(target) {
            return false;
        }
        match watch.find_life(&back_end.life.instance, pool).await {
            LifeSign::Lives => false,
            LifeSign::Ended => true,
            LifeSign::JustEnded(report) => {
                self.on_crash(back_end, "refused", &report);
                pool.clear();
                self.tell_unreachable(&back_end.life);
                true
            }
        }
    }

    /// Whether the life that `target` means is the present one and takes new work.
    fn takes_work(&self, target: &Target) -> bool {
        let current = self.current.lock();
        current.as_ref().is_some_and(|current| current.is_open && Arc::ptr_eq(&current.watch, &target.watch))
    }

    /// Takes in that the back end has ended; `found` tells by what that is known.
    fn on_crash(&self, back_end: &BackEnd, found: &'static str, report: &CrashReport) {
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

    fn tell_unreachable(&self, life: &BackEndLife) {
        if let Some(watcher) = &*self.unreachable.lock() {
            // Nobody watches any more when the process leaves.
            let _ = watcher.send(life.clone());
        }
    }

    fn refused(&self, attempt: &Attempt, not_run: NotRun) -> AttemptResult {
        let load = self.load();
        self.telemetry.emit(Event::AdmissionRefused {
            request: text(&attempt.id),
            service: attempt.service.clone(),
            reason: not_run.reason.word(),
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            patience_millis: millis(attempt.patience),
        });
        AttemptResult::NotRun(NotRun { load: Some(load), ..not_run })
    }

    fn fields_for(&self, attempt: &Attempt, back_end: &BackEnd) -> Fields {
        let mut fields = attempt.fields.clone();
        let left = attempt.deadline.saturating_duration_since(Instant::now());
        fields.set(self.dialect.request_id, attempt.id.clone());
        fields.set(self.dialect.deadline_millis, number(millis(left)));
        fields.set(self.dialect.expected_instance, back_end.life.instance.clone().into_bytes());
        fields.set(self.dialect.caller, Bytes::copy_from_slice(attempt.caller.as_str().as_bytes()));
        fields
    }

    fn new_pool(&self, address: SocketAddr) -> Arc<UpstreamPool> {
        let settings = UpstreamSettings {
            connect_time: self.settings.connect_time,
            idle: self.settings.idle_connections,
        };
        UpstreamPool::new(Arc::clone(&self.network), address, settings)
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

fn text(id: &[u8]) -> String {
    String::from_utf8_lossy(id).into_owned()
}

fn number(value: u64) -> Bytes {
    Bytes::copy_from_slice(itoa::Buffer::new().format(value).as_bytes())
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The caller's key in the window of duplicates: another method or path is another request, another query is not.
fn own_key(key: &[u8], attempt: &Attempt) -> Vec<u8> {
    let path = attempt.target.split(|byte| *byte == b'?').next().unwrap_or_default();
    [b"key", key, &attempt.method, path].join(&b' ')
}

fn work_item(attempt: &Attempt) -> WorkItem {
    WorkItem {
        priority: attempt.priority,
        objective_at: attempt.objective_at.into_std(),
        deadline: attempt.deadline.into_std(),
        hold_until: attempt.hold_until.into_std(),
        patience: attempt.patience,
        service: attempt.service_time,
        is_later_try: attempt.is_later_try,
    }
}

fn not_admitted(refusal: Refusal) -> NotRun {
    match refusal {
        Refusal::Closed => NotRun::before_back_end(NotRunReason::Draining),
        Refusal::Expired => NotRun::before_back_end(NotRunReason::DeadlineBeforeRun),
        Refusal::QueueFull | Refusal::HeldTooLong => NotRun::before_back_end(NotRunReason::Overloaded),
        Refusal::WaitTooLong { expected } => {
            NotRun { retry_after: Some(expected), ..NotRun::before_back_end(NotRunReason::Overloaded) }
        }
    }
}

/// Counts what the machine was suspended since `arrived` as time that has passed for the request.
fn count_suspension(attempt: &mut Attempt, arrived: &PastMoment) -> Result<(), NotRun> {
    let suspended = arrived.suspended_since();
    if suspended.is_zero() {
        return Ok(());
    }
    attempt.deadline = attempt.deadline.checked_sub(suspended).unwrap_or(attempt.deadline);
    if attempt.deadline <= Instant::now() {
        return Err(NotRun::before_back_end(NotRunReason::DeadlineBeforeRun));
    }
    Ok(())
}

/// The body, holding the slot as long as it still comes from the back end.
fn holding(mut body: AnswerBody, permit: Permit) -> AnswerBody {
    if let AnswerBody::Upstream(upstream) = &mut body {
        upstream.hold(permit);
    }
    body
}
