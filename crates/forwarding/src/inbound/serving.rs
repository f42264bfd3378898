//! How a request gets to the back end.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use umberpond_http1::Fields;
use umberpond_quarantine::SuspicionLevel;
use umberpond_scheduling::{PendingRun, Refusal, WorkItem};
use umberpond_telemetry::Event;

use super::admission::Permit;
use super::back_end::{BackEnd, Inbound, millis};
use super::crash_watch::{CrashWatch, LifeSign};
use super::suspect_lane::SuspectPlace;
use crate::clock::now;
use crate::message::{Attempt, AttemptResult, NotRun, RequestBody, Response, ResponseBody, id_text};
use crate::outcome::{NotRunReason, UnknownReason};
use crate::suspended_time::SuspendAwareInstant;
use crate::upstream::{ExchangeEnd, ExchangeRequest, Exchanger, MISDIRECTED, UpstreamPool};

/// Lowest status of an answer that is a failure of the back end.
const FIRST_FAILURE: u16 = 500;

/// Where a request goes.
struct Target {
    back_end: BackEnd,
    pool: Arc<UpstreamPool>,
    watch: Arc<CrashWatch>,
}

/// What a request holds that may be handed to the back end.
struct Turn {
    permit: Permit,
    place: Option<SuspectPlace>,
    /// Time that it has waited.
    waited: Duration,
}

/// Why a request is not handed to the back end.
enum Barred {
    NotRun(NotRun),
    /// It was admitted before.
    Unknown(UnknownReason),
}

impl From<NotRun> for Barred {
    fn from(not_run: NotRun) -> Self {
        Self::NotRun(not_run)
    }
}

impl From<UnknownReason> for Barred {
    fn from(reason: UnknownReason) -> Self {
        Self::Unknown(reason)
    }
}

impl Inbound {
    /// Serves one attempt. Dropping the future gives it up, also at the back end.
    pub(crate) async fn serve(&self, mut attempt: Attempt) -> AttemptResult {
        let target = match self.target(&attempt) {
            Ok(target) => target,
            Err(reason) => return self.refused(&attempt, NotRun::before_back_end(reason)),
        };
        let turn = match self.wait_for_turn(&mut attempt, &target).await {
            Ok(turn) => turn,
            Err(Barred::NotRun(not_run)) => return self.refused(&attempt, not_run),
            Err(Barred::Unknown(reason)) => return AttemptResult::Unknown(reason),
        };
        let result = self.hand_over(attempt, &target, turn).await;
        // A request under suspicion may wait for the end of this run.
        self.quarantine.moved().notify_waiters();
        result
    }

    /// Waits until the request may be handed to the back end.
    async fn wait_for_turn(&self, attempt: &mut Attempt, target: &Target) -> Result<Turn, Barred> {
        self.check_calls(attempt)?;
        self.check_room_for_calls(attempt)?;
        let arrived = SuspendAwareInstant::new(Instant::now(), &self.suspended);
        let waits_until = attempt.queue_deadline.min(attempt.deadline);
        let slots = target.back_end.slots;
        let place = self.suspect_lane.enter(&target.watch, &attempt.request_key, slots, waits_until).await?;
        self.admit_once(attempt)?;
        let turn = self.wait_for_slot(attempt, target, place, &arrived).await;
        turn.map_err(|not_run| {
            self.withdraw(attempt);
            Barred::NotRun(not_run)
        })
    }

    /// Waits for a slot, and looks whether what was found before still holds.
    async fn wait_for_slot(
        &self,
        attempt: &mut Attempt,
        target: &Target,
        place: Option<SuspectPlace>,
        arrived: &SuspendAwareInstant,
    ) -> Result<Turn, NotRun> {
        let admitted = self.admit(attempt).await;
        let permit = admitted.map_err(|refusal| {
            self.tell_over_share(attempt, refusal);
            not_admitted(refusal)
        })?;
        if self.is_evacuated.load(Ordering::Relaxed) {
            return Err(NotRun::before_back_end(NotRunReason::Evacuated));
        }
        count_suspension(attempt, arrived)?;
        // Others may have begun while this one waited.
        self.check_calls(attempt)?;
        let place = self.check_place(attempt, target, place)?;
        Ok(Turn { permit, place, waited: arrived.elapsed() })
    }

    /// The place for requests under suspicion, if the request needs one now: it may have come under suspicion while it waited, or the suspicion may have become certain.
    fn check_place(
        &self,
        attempt: &Attempt,
        target: &Target,
        place: Option<SuspectPlace>,
    ) -> Result<Option<SuspectPlace>, NotRun> {
        let key = &attempt.request_key;
        if place.is_some() && self.quarantine.standing(key) <= SuspicionLevel::Isolated {
            return Ok(place);
        }
        self.suspect_lane.try_enter(&target.watch, key, target.back_end.slots)
    }

    /// Refuses a repeated run whose calls are not paid for. Without them it would fail, and hold a slot until then.
    fn check_calls(&self, attempt: &Attempt) -> Result<(), NotRun> {
        if !attempt.is_repeat {
            return Ok(());
        }
        let Some(ledger) = self.ledger.get() else { return Ok(()) };
        if ledger.can_afford_calls(attempt.route, self.runs.retried_runs(attempt.route) + 1) {
            return Ok(());
        }
        Err(NotRun::before_back_end(NotRunReason::RetryBudget))
    }

    /// Refuses a run that would fail for want of its calls, while others want its slot.
    fn check_room_for_calls(&self, attempt: &Attempt) -> Result<(), NotRun> {
        let Some(ledger) = self.ledger.get() else { return Ok(()) };
        let calls = ledger.expected_calls(attempt.route);
        if calls.is_empty() || !self.admission.is_slot_wanted() {
            return Ok(());
        }
        let plan = PendingRun {
            route: attempt.route,
            rank: attempt.priority,
            level: attempt.level(),
            calls: &calls,
        };
        let Err(refusal) = self.calls.begin_run(&plan) else { return Ok(()) };
        self.telemetry.emit(Event::RunWithheld {
            request: id_text(&attempt.id),
            service: attempt.service.clone(),
            called: refusal.called,
            failing_percent: percent(refusal.failing),
            come_back_millis: millis(refusal.come_back),
        });
        let not_run = NotRun::before_back_end(NotRunReason::CallsOverloaded);
        Err(NotRun { retry_after: Some(refusal.come_back), ..not_run })
    }

    /// Waits for a slot; a request whose body comes over the link waits for its turn there first, so that it holds no
    /// slot meanwhile.
    async fn admit(&self, attempt: &mut Attempt) -> Result<Permit, Refusal> {
        let pending = match &attempt.body {
            RequestBody::Pending(pending) if pending.is_from_node() => Some(pending.clone()),
            _ => None,
        };
        if let Some(pending) = pending {
            let began = Instant::now();
            let turn = self.link.turn(work_item(attempt), pending.length()).await?;
            attempt.max_queue_wait = attempt.max_queue_wait.saturating_sub(began.elapsed());
            if let Some(turn) = turn {
                pending.hold_permit(turn);
            }
        }
        let item = work_item(attempt);
        let admitted = self.admission.admit(item).await;
        if let Err(Refusal::BackEndSlow { expected }) = admitted {
            self.tell_slowed(attempt, expected);
        }
        admitted
    }

    fn tell_slowed(&self, attempt: &Attempt, expected: Duration) {
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

    /// Takes in that a request is admitted that must not run twice.
    fn admit_once(&self, attempt: &Attempt) -> Result<(), UnknownReason> {
        if attempt.is_idempotent {
            return Ok(());
        }
        let mut duplicates = self.duplicates.lock();
        let found = if !duplicates.admit(now(), &attempt.id) {
            Some(UnknownReason::Duplicate)
        } else if attempt.key.as_ref().is_some_and(|key| !duplicates.admit(now(), &own_key(key, attempt))) {
            Some(UnknownReason::RepeatedKey)
        } else {
            None
        };
        drop(duplicates);
        let Some(reason) = found else { return Ok(()) };
        self.telemetry.emit(Event::DuplicateRefused { request: id_text(&attempt.id) });
        Err(reason)
    }

    /// Takes in that an admitted request is known not to have run.
    fn withdraw(&self, attempt: &Attempt) {
        let mut duplicates = self.duplicates.lock();
        duplicates.withdraw(&attempt.id);
        if let Some(key) = &attempt.key {
            duplicates.withdraw(&own_key(key, attempt));
        }
    }

    /// Whether the tenant is known here, and the request may be served where this node runs.
    fn check_access(&self, attempt: &Attempt) -> Result<(), NotRunReason> {
        let access = self.access.load();
        let Some(access) = access.as_deref() else { return Ok(()) };
        if attempt.tenant.as_ref().is_some_and(|tenant| !access.tenants.knows(tenant)) {
            return Err(NotRunReason::UnknownTenant);
        }
        if attempt.homes.allow(&access.region) { Ok(()) } else { Err(NotRunReason::WrongLocality) }
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

    async fn hand_over(&self, mut attempt: Attempt, target: &Target, turn: Turn) -> AttemptResult {
        let Turn { mut permit, place, waited } = turn;
        let Target { back_end, pool, watch } = target;
        let body = std::mem::replace(&mut attempt.body, RequestBody::Consumed);
        let fields = self.fields_for(&attempt, back_end);
        let request = ExchangeRequest {
            id: &attempt.id,
            method: &attempt.method,
            target: &attempt.target,
            fields: &fields,
            deadline: attempt.deadline,
        };
        let exchanger = Exchanger { pool, header_profile: &self.header_profile, loads: self };
        let run = self.runs.begin(&attempt);
        let key = attempt.request_key;
        let watched = watch.begin(attempt.id.clone(), key, place.is_some());
        match exchanger.run(&request, body).await {
            ExchangeEnd::Answered { status, mut fields, body } => {
                let calls = run.end();
                self.calls.on_run_ended(attempt.route, !calls.is_empty());
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
                self.admission.record_response(true);
                let back_end_time = permit.elapsed();
                self.answers.lock().record(attempt.route, status < FIRST_FAILURE, back_end_time);
                let body = holding(body, permit);
                let load = self.load();
                AttemptResult::Answered(Response { status, fields, body, back_end_time, waited, load })
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
                self.withdraw(&attempt);
                let reason = self.rejection_reason(status);
                // Where slots are free a rejection is no load, so the slot is given back before the load is told.
                let full_slot = (reason == NotRunReason::BackEndFull).then_some(permit);
                let not_run = NotRun { reached_back_end: true, ..NotRun::before_back_end(reason) };
                let result = self.refused(&attempt, not_run);
                drop(full_slot);
                result
            }
            ExchangeEnd::Unknown(reason) => {
                self.admission.record_response(false);
                drop(watched);
                let has_crashed = reason.is_broken_connection() && self.find_crash(target).await;
                let reason = if has_crashed { UnknownReason::BackEndCrashed } else { reason };
                self.telemetry.emit(Event::ExchangeLost {
                    request: id_text(&attempt.id),
                    fingerprint: attempt.request_key.content.to_string(),
                    instance: back_end.life.to_string(),
                    reason: reason.as_str(),
                    elapsed_millis: millis(permit.elapsed()),
                });
                AttemptResult::Unknown(reason)
            }
        }
    }

    /// Why the back end turned a request away with `status`, while the request still counts as running.
    fn rejection_reason(&self, status: u16) -> NotRunReason {
        if status == MISDIRECTED {
            return NotRunReason::WrongInstance;
        }
        let load = self.load();
        if load.running >= load.slots { NotRunReason::BackEndFull } else { NotRunReason::BackEndRejected }
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

    fn refused(&self, attempt: &Attempt, not_run: NotRun) -> AttemptResult {
        let load = self.load();
        self.telemetry.emit(Event::AdmissionRefused {
            request: id_text(&attempt.id),
            service: attempt.service.clone(),
            reason: not_run.reason.as_str(),
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            patience_millis: millis(attempt.max_queue_wait),
        });
        AttemptResult::NotRun(NotRun { load: Some(load), ..not_run })
    }

    fn fields_for(&self, attempt: &Attempt, back_end: &BackEnd) -> Fields {
        let mut fields = attempt.fields.clone();
        let left = attempt.deadline.saturating_duration_since(Instant::now());
        fields.set(self.header_profile.request_id, attempt.id.clone());
        fields.set(self.header_profile.deadline_millis, number(millis(left)));
        fields.set(self.header_profile.expected_instance, back_end.life.instance.clone().into_bytes());
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

fn number(value: u64) -> Bytes {
    Bytes::copy_from_slice(itoa::Buffer::new().format(value).as_bytes())
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a share from 0 to 1")]
fn percent(share: f64) -> u64 {
    (share * 100.0).round() as u64
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
        queue_deadline: attempt.queue_deadline.into_std(),
        max_queue_wait: attempt.max_queue_wait,
        service: attempt.service_time,
        is_caller_retry: attempt.is_caller_retry,
        tenant: attempt.sharing_tenant(),
        call: attempt.call.map(|call| call.level),
    }
}

fn not_admitted(refusal: Refusal) -> NotRun {
    match refusal {
        Refusal::Closed => NotRun::before_back_end(NotRunReason::Draining),
        Refusal::Expired => NotRun::before_back_end(NotRunReason::DeadlineBeforeRun),
        Refusal::QueueFull | Refusal::QueueTimeout => NotRun::before_back_end(NotRunReason::Overloaded),
        Refusal::WaitTooLong { expected }
        | Refusal::BackEndSlow { expected }
        | Refusal::OverShare { expected } => {
            NotRun { retry_after: Some(expected), ..NotRun::before_back_end(NotRunReason::Overloaded) }
        }
    }
}

/// Counts what the machine was suspended since `arrived` as time that has passed for the request.
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

/// The body, holding the slot as long as it still comes from the back end.
fn holding(mut body: ResponseBody, permit: Permit) -> ResponseBody {
    if let ResponseBody::Upstream(upstream) = &mut body {
        upstream.hold(permit);
    }
    body
}
