//! Serving of a request: admission and the exchange with the back end.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use umberpond_http1::Fields;
use umberpond_quarantine::SuspicionLevel;
use umberpond_scheduling::{Refusal, WorkItem};
use umberpond_telemetry::Event;

use super::admission::Permit;
use super::back_end::{BackEnd, BackEndFinding, Inbound, millis};
use super::crash_watch::{CrashWatch, Liveness};
use super::response_observer::{ResponseObserver, limit_text};
use super::suspect_limiter::{SuspectPlace, SuspectRequest};
use crate::clock::now;
use crate::message::{Attempt, AttemptResult, NotRun, RequestBody, Response, ResponseBody, id_text};
use crate::outcome::{NotRunReason, UnknownReason};
use crate::suspended_time::SuspendAwareInstant;
use crate::upstream::{ExchangeEnd, ExchangeRequest, Exchanger, MISDIRECTED, UpstreamPool};

/// Lowest response status that counts as a failure of the back end.
const FIRST_FAILURE_STATUS: u16 = 500;

/// The back end that a request is sent to.
struct Target {
    back_end: BackEnd,
    pool: Arc<UpstreamPool>,
    watch: Arc<CrashWatch>,
}

/// Resources that an admitted request holds.
struct Grant {
    permit: Permit,
    place: Option<SuspectPlace>,
    /// Time that the request waited for admission.
    waited: Duration,
}

/// Why a request is not sent to the back end.
enum Rejection {
    NotRun(NotRun),
    /// The request was admitted before.
    Unknown(UnknownReason),
}

impl From<NotRun> for Rejection {
    fn from(not_run: NotRun) -> Self {
        Self::NotRun(not_run)
    }
}

impl From<UnknownReason> for Rejection {
    fn from(reason: UnknownReason) -> Self {
        Self::Unknown(reason)
    }
}

impl Inbound {
    /// Serves one attempt. Dropping the future cancels it, also at the back end.
    pub(crate) async fn serve(&self, mut attempt: Attempt) -> AttemptResult {
        let target = match self.target(&attempt) {
            Ok(target) => target,
            Err(reason) => return self.report_refused(&attempt, NotRun::before_back_end(reason)),
        };
        self.on_remembered_limit(&attempt);
        let grant = match self.wait_for_grant(&mut attempt, &target).await {
            Ok(grant) => grant,
            Err(Rejection::NotRun(not_run)) => return self.report_refused(&attempt, not_run),
            Err(Rejection::Unknown(reason)) => return AttemptResult::Unknown(reason),
        };
        let result = self.forward(attempt, &target, grant).await;
        // A suspect request may be waiting for this run to end.
        self.quarantine.suspects_changed().notify_waiters();
        result
    }

    /// Waits until the request may be sent to the back end.
    async fn wait_for_grant(&self, attempt: &mut Attempt, target: &Target) -> Result<Grant, Rejection> {
        self.check_shutdown(attempt)?;
        self.check_calls(attempt)?;
        self.check_call_capacity(attempt)?;
        let arrived = SuspendAwareInstant::new(Instant::now(), &self.suspended);
        let waits_until = attempt.queue_deadline.min(attempt.deadline);
        let slots = target.back_end.slots;
        let place =
            self.suspect_limiter.acquire(&target.watch, suspect_request(attempt), slots, waits_until).await?;
        self.register_once(attempt)?;
        let grant = self.wait_for_slot(attempt, target, place, &arrived).await;
        grant.map_err(|not_run| {
            self.unregister(attempt);
            Rejection::NotRun(not_run)
        })
    }

    /// Waits for a slot, and then repeats the checks whose result may have changed in the meantime.
    async fn wait_for_slot(
        &self,
        attempt: &mut Attempt,
        target: &Target,
        place: Option<SuspectPlace>,
        arrived: &SuspendAwareInstant,
    ) -> Result<Grant, NotRun> {
        let admitted = self.admit(attempt).await;
        let permit = admitted.map_err(|refusal| {
            self.report_over_share(attempt, refusal);
            refusal_to_not_run(refusal)
        })?;
        if self.is_evacuated.load(Ordering::Relaxed) {
            return Err(NotRun::before_back_end(NotRunReason::Evacuated));
        }
        count_suspension(attempt, arrived)?;
        self.check_shutdown(attempt)?;
        // Other retried runs may have started while this one waited.
        self.check_calls(attempt)?;
        let place = self.check_place(attempt, target, place)?;
        Ok(Grant { permit, place, waited: arrived.elapsed() })
    }

    /// Returns the place for suspect requests, if the request needs one now: it may have become suspect while
    /// it waited, or it may now be certain to be the cause of crashes.
    fn check_place(
        &self,
        attempt: &Attempt,
        target: &Target,
        place: Option<SuspectPlace>,
    ) -> Result<Option<SuspectPlace>, NotRun> {
        let request = suspect_request(attempt);
        let may_run =
            request.is_trial || self.quarantine.suspicion_level(request.key) <= SuspicionLevel::Isolated;
        if place.is_some() && may_run {
            return Ok(place);
        }
        self.suspect_limiter.try_acquire(&target.watch, request, target.back_end.slots)
    }

    /// Waits for a slot. A request whose body arrives over the link waits for the transfer to be admitted
    /// first, so that it holds no slot in the meantime.
    async fn admit(&self, attempt: &mut Attempt) -> Result<Permit, Refusal> {
        let pending = match &attempt.body {
            RequestBody::Pending(pending) if pending.is_from_node() => Some(pending.clone()),
            _ => None,
        };
        if let Some(pending) = pending {
            let began = Instant::now();
            let transfer = self.transfers.admit_transfer(work_item(attempt), pending.length()).await?;
            attempt.max_queue_wait = attempt.max_queue_wait.saturating_sub(began.elapsed());
            if let Some(transfer) = transfer {
                pending.hold_permit(transfer);
            }
        }
        let item = work_item(attempt);
        let admitted = self.admission.admit(item).await;
        if let Err(Refusal::BackEndSlow { expected }) = admitted {
            self.report_slow_back_end(attempt, expected);
        }
        admitted
    }

    fn report_slow_back_end(&self, attempt: &Attempt, expected: Duration) {
        let left = attempt.objective_at.saturating_duration_since(Instant::now());
        self.telemetry.emit(Event::SlowBackEndAvoided {
            request: id_text(&attempt.id),
            service: attempt.service.clone(),
            slowdown_percent: u32::from(self.load().slowdown_percent),
            usual_millis: millis(attempt.service_time),
            expected_millis: millis(expected),
            left_millis: millis(left),
        });
    }

    /// Registers a request that must not run twice. Fails if it was registered before.
    fn register_once(&self, attempt: &Attempt) -> Result<(), UnknownReason> {
        if attempt.is_idempotent {
            return Ok(());
        }
        let mut duplicates = self.duplicates.lock();
        let found = if !duplicates.admit(now(), &attempt.id) {
            Some(UnknownReason::Duplicate)
        } else if attempt
            .key
            .as_ref()
            .is_some_and(|key| !duplicates.admit(now(), &duplicate_key(key, attempt)))
        {
            Some(UnknownReason::RepeatedKey)
        } else {
            None
        };
        drop(duplicates);
        let Some(reason) = found else { return Ok(()) };
        self.telemetry.emit(Event::DuplicateRefused { request: id_text(&attempt.id) });
        Err(reason)
    }

    /// Removes a request that is known not to have run from the registered ones.
    fn unregister(&self, attempt: &Attempt) {
        let mut duplicates = self.duplicates.lock();
        duplicates.withdraw(&attempt.id);
        if let Some(key) = &attempt.key {
            duplicates.withdraw(&duplicate_key(key, attempt));
        }
    }

    fn target(&self, attempt: &Attempt) -> Result<Target, NotRunReason> {
        self.check_access(attempt)?;
        let current = self.current.lock();
        let Some(current) = current.as_ref() else { return Err(NotRunReason::WrongInstance) };
        if current.back_end.service != attempt.service {
            return Err(NotRunReason::WrongInstance);
        }
        if !self.may_serve.load(Ordering::Relaxed) {
            return Err(NotRunReason::WrongLocality);
        }
        if self.is_evacuated.load(Ordering::Relaxed) {
            return Err(NotRunReason::Evacuated);
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

    async fn forward(&self, mut attempt: Attempt, target: &Target, grant: Grant) -> AttemptResult {
        let Grant { mut permit, place, waited } = grant;
        let Target { back_end, pool, watch } = target;
        let body = std::mem::replace(&mut attempt.body, RequestBody::Consumed);
        let fields = self.request_fields(&attempt, back_end);
        let request = ExchangeRequest {
            id: &attempt.id,
            method: &attempt.method,
            target: &attempt.target,
            fields: &fields,
            deadline: attempt.deadline,
        };
        let observer = ResponseObserver { inbound: self, process: &back_end.process, request: &attempt.id };
        let exchanger = Exchanger { pool, header_profile: &self.header_profile, listener: &observer };
        let run = self.runs.begin(&attempt);
        let key = attempt.request_key;
        let run_watch = watch.begin(attempt.id.clone(), key, place.is_some());
        match exchanger.run(&request, body).await {
            ExchangeEnd::Answered { status, mut fields, body } => {
                let calls = run.end();
                self.calls.on_run_ended(attempt.route, !calls.is_empty());
                run_watch.on_response();
                // A failed run may have ended before the step that crashes the back end.
                if status < FIRST_FAILURE_STATUS {
                    self.quarantine.on_answered(&key);
                }
                if let Some(ledger) = self.ledger.get() {
                    ledger.record_calls(attempt.route, &calls);
                }
                fields.remove_connection_fields();
                permit.on_answered();
                self.admission.record_response(true);
                let back_end_time = permit.elapsed();
                self.response_tallies.lock().record(
                    attempt.route,
                    status < FIRST_FAILURE_STATUS,
                    back_end_time,
                );
                let body = attach_permit(body, permit);
                let load = self.load();
                AttemptResult::Answered(Response { status, fields, body, back_end_time, waited, load })
            }
            ExchangeEnd::NotSent(reason) => {
                run.end();
                run_watch.not_sent();
                drop(permit);
                self.unregister(&attempt);
                if reason == NotRunReason::BackEndUnreachable {
                    self.check_crash(target).await;
                    pool.clear();
                    self.report_finding(BackEndFinding::Unreachable(back_end.process.clone()));
                }
                self.report_refused(&attempt, NotRun::before_back_end(reason))
            }
            ExchangeEnd::Rejected { status } => {
                run.end();
                run_watch.on_response();
                self.unregister(&attempt);
                let reason = self.rejection_reason(status);
                if reason == NotRunReason::WrongInstance {
                    self.report_finding(BackEndFinding::Unreachable(back_end.process.clone()));
                }
                // A rejection while slots are free is not caused by load, so the slot is freed before the
                // load is reported. If the back end is full, the slot is held until the load is reported.
                let full_slot = (reason == NotRunReason::BackEndFull).then_some(permit);
                let not_run = NotRun { reached_back_end: true, ..NotRun::before_back_end(reason) };
                let result = self.report_refused(&attempt, not_run);
                drop(full_slot);
                result
            }
            ExchangeEnd::Unknown(reason) => {
                self.admission.record_response(false);
                if reason.is_broken_response() {
                    self.response_tallies.lock().record(attempt.route, false, permit.elapsed());
                }
                drop(run_watch);
                let has_crashed = reason.is_broken_connection() && self.check_crash(target).await;
                let reason = if has_crashed { UnknownReason::BackEndCrashed } else { reason };
                self.telemetry.emit(Event::ExchangeLost {
                    request: id_text(&attempt.id),
                    fingerprint: attempt.request_key.content.to_string(),
                    instance: back_end.process.to_string(),
                    reason: reason.as_str(),
                    elapsed_millis: millis(permit.elapsed()),
                });
                AttemptResult::Unknown(reason)
            }
        }
    }

    /// Why the back end rejected a request with `status`. To be called while the request still counts as
    /// running.
    fn rejection_reason(&self, status: u16) -> NotRunReason {
        if status == MISDIRECTED {
            return NotRunReason::WrongInstance;
        }
        let load = self.load();
        if load.running >= load.slots { NotRunReason::BackEndFull } else { NotRunReason::BackEndRejected }
    }

    /// Checks whether the back end crashed, after a connection to it broke or could not be opened. The end of
    /// a back end that has announced its shutdown is not a crash.
    async fn check_crash(&self, target: &Target) -> bool {
        let Target { back_end, pool, watch } = target;
        if !watch.is_crash_known() && !self.accepts_requests(target) {
            return false;
        }
        match watch.check_liveness(&back_end.process.instance, pool).await {
            Liveness::Alive => false,
            Liveness::KnownCrash => true,
            Liveness::NewCrash(report) => {
                self.on_crash(back_end, "refused", &report);
                pool.clear();
                self.report_finding(BackEndFinding::Unreachable(back_end.process.clone()));
                true
            }
        }
    }

    /// Whether the process in `target` is the current one and accepts new requests.
    fn accepts_requests(&self, target: &Target) -> bool {
        let current = self.current.lock();
        current.as_ref().is_some_and(|current| current.is_open && Arc::ptr_eq(&current.watch, &target.watch))
    }

    fn report_refused(&self, attempt: &Attempt, not_run: NotRun) -> AttemptResult {
        let load = self.load();
        self.telemetry.emit(Event::AdmissionRefused {
            request: id_text(&attempt.id),
            service: attempt.service.clone(),
            reason: not_run.reason.as_str(),
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            patience_millis: millis(attempt.max_queue_wait),
            request_limit: limit_text(self.request_limit()),
            limit_wait_millis: u64::from(load.limit_wait_millis),
        });
        AttemptResult::NotRun(NotRun { load: Some(load), ..not_run })
    }

    fn request_fields(&self, attempt: &Attempt, back_end: &BackEnd) -> Fields {
        let mut fields = attempt.fields.clone();
        let left = attempt.deadline.saturating_duration_since(Instant::now());
        fields.set(self.header_profile.request_id, attempt.id.clone());
        fields.set(self.header_profile.deadline_millis, decimal(millis(left)));
        fields.set(self.header_profile.expected_instance, back_end.process.instance.clone().into_bytes());
        fields.remove(self.header_profile.tenant_key);
        match &attempt.tenant {
            Some(tenant) => {
                fields.set(self.header_profile.tenant, Bytes::copy_from_slice(tenant.as_str().as_bytes()))
            }
            None => fields.remove(self.header_profile.tenant),
        }
        fields.set(self.header_profile.caller, Bytes::copy_from_slice(attempt.caller.as_str().as_bytes()));
        fields
    }
}

fn decimal(value: u64) -> Bytes {
    Bytes::copy_from_slice(itoa::Buffer::new().format(value).as_bytes())
}

/// The caller's idempotency key as it is registered in the duplicate window. With another method or path the
/// same key means another request; another query makes no difference.
fn duplicate_key(key: &[u8], attempt: &Attempt) -> Vec<u8> {
    let path = attempt.target.split(|byte| *byte == b'?').next().unwrap_or_default();
    [b"key", key, &attempt.method, path].join(&b' ')
}

fn work_item(attempt: &Attempt) -> WorkItem {
    WorkItem {
        priority: attempt.priority,
        objective_at: attempt.objective_at.into_std(),
        deadline: attempt.deadline.into_std(),
        queue_deadline: attempt.queue_deadline.into_std(),
        max_queue_wait: attempt.max_queue_wait,
        service: attempt.service_time,
        is_caller_retry: attempt.is_caller_retry,
        tenant: attempt.sharing_tenant(),
        call: attempt.call.map(|call| call.level),
    }
}

const fn suspect_request(attempt: &Attempt) -> SuspectRequest<'_> {
    SuspectRequest { key: &attempt.request_key, is_trial: attempt.is_trial }
}

fn refusal_to_not_run(refusal: Refusal) -> NotRun {
    match refusal {
        Refusal::Closed => NotRun::before_back_end(NotRunReason::Draining),
        Refusal::Expired => NotRun::before_back_end(NotRunReason::DeadlineBeforeRun),
        Refusal::RequestLimit { expected } => {
            NotRun { retry_after: Some(expected), ..NotRun::before_back_end(NotRunReason::RequestLimit) }
        }
        Refusal::QueueFull | Refusal::QueueTimeout => NotRun::before_back_end(NotRunReason::Overloaded),
        Refusal::WaitTooLong { expected }
        | Refusal::BackEndSlow { expected }
        | Refusal::OverShare { expected } => {
            NotRun { retry_after: Some(expected), ..NotRun::before_back_end(NotRunReason::Overloaded) }
        }
    }
}

/// Counts the time for which the machine was suspended since `arrived` as elapsed time of the request.
fn count_suspension(attempt: &mut Attempt, arrived: &SuspendAwareInstant) -> Result<(), NotRun> {
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

/// Attaches the slot to the body, which holds it until the body has arrived from the back end.
fn attach_permit(mut body: ResponseBody, permit: Permit) -> ResponseBody {
    if let ResponseBody::Upstream(upstream) = &mut body {
        upstream.hold(permit);
    }
    body
}
