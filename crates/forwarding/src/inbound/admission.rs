//! Admission queue of the back end, in which requests wait for a free slot.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until, timeout_at};
use umberpond_model::{RequestRate, TenantId};
use umberpond_scheduling::{
    ColdStartLimiter, Decision, Dequeued, InvalidSlowdown, LoadReport, Refusal, RequestLimiter, TenantUsage,
    Ticket, WorkItem, WorkQueue,
};

use crate::clock::now;

type AdmissionResult = Result<(), Refusal>;

/// A task that waits for the admission decision on one request.
#[derive(Debug)]
struct Waiter {
    sender: oneshot::Sender<AdmissionResult>,
    holder: SlotHolder,
}

/// The request that holds a slot or waits for one.
#[derive(Debug, Clone, Copy)]
struct SlotHolder {
    /// Tenant of the request; `None` if it has no tenant.
    tenant: Option<TenantId>,
    is_call: bool,
}

impl SlotHolder {
    const fn of(item: &WorkItem) -> Self {
        Self { tenant: item.tenant, is_call: item.call.is_some() }
    }
}

#[derive(Debug, Default)]
struct State {
    queue: WorkQueue,
    waiters: HashMap<Ticket, Waiter>,
    /// Scheduled time of the next queue check, when a rate limit of the back end lets a request start.
    next_check_at: Option<Instant>,
}

impl State {
    /// Assigns free slots to waiting requests and rejects the expired ones.
    fn start_waiting(&mut self) {
        while let Some(started) = self.queue.start_next(now()) {
            match started {
                Dequeued::Run(ticket) => self.assign_slot(ticket),
                Dequeued::Expire(ticket) => {
                    self.send_decision(ticket, Err(Refusal::Expired));
                }
            }
        }
    }

    /// Assigns a slot to the waiter of `ticket`, or frees the slot if that waiter was dropped.
    fn assign_slot(&mut self, ticket: Ticket) {
        let Some(waiter) = self.waiters.remove(&ticket) else { return self.queue.finish(None) };
        if waiter.sender.send(Ok(())).is_err() {
            self.release_slot(SlotUse::unused(waiter.holder));
        }
    }

    /// Frees a slot and records how it was used.
    fn release_slot(&mut self, slot: SlotUse) {
        if let Some(tenant) = slot.holder.tenant {
            self.queue.settle(tenant, slot.held);
        }
        if slot.holder.is_call {
            self.queue.finish_call(slot.served);
        } else {
            self.queue.finish(slot.served);
        }
    }

    /// Rejects the requests that were displaced from the queue by others.
    fn refuse_displaced(&mut self) {
        for displaced in self.queue.take_displaced() {
            self.send_decision(displaced.ticket, Err(Refusal::OverShare { expected: displaced.expected }));
        }
    }

    /// Sends the decision to the waiter of `ticket`, if it still exists.
    fn send_decision(&mut self, ticket: Ticket, decision: AdmissionResult) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // The send fails only if the waiter was dropped, and then nobody needs the decision.
            let _ = waiter.sender.send(decision);
        }
    }
}

/// How an assigned slot was used.
#[derive(Debug, Clone, Copy)]
struct SlotUse {
    holder: SlotHolder,
    held: Duration,
    /// Service time at the back end's usual speed; `None` if the back end sent no response.
    served: Option<Duration>,
}

impl SlotUse {
    /// A slot that was assigned to a waiter that had been dropped.
    const fn unused(holder: SlotHolder) -> Self {
        Self { holder, held: Duration::ZERO, served: None }
    }
}

/// A change of the request limit of the back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LimitChange {
    pub(super) before: Option<RequestRate>,
    pub(super) limit: Option<RequestRate>,
}

/// Slot use of the tenants of one back end.
#[derive(Debug)]
pub(super) struct TenantUsages {
    /// Number of tenants that share the slots.
    pub(super) count: usize,
    /// The tenants with the highest slot use, in descending order.
    pub(super) greatest: Vec<TenantUsage>,
}

/// Admission queue of the back end.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    state: Mutex<State>,
    /// Notified when the back end needs a warmth probe.
    warmth_probe_due: Notify,
}

impl Admission {
    /// Creates the queue of a back end without any measurements. If `keeps_slots` is set, new requests leave
    /// slots free for calls.
    pub(crate) fn new(keeps_slots: bool) -> Arc<Self> {
        let admission = Self::default();
        admission.state.lock().queue.reserve_slots_for_calls(keeps_slots);
        Arc::new(admission)
    }

    /// Waits for a slot. Dropping the future withdraws the request.
    pub(crate) async fn admit(self: &Arc<Self>, item: WorkItem) -> Result<Permit, Refusal> {
        let (ticket, decision) = {
            let mut state = self.state.lock();
            match state.queue.offer(now(), item) {
                Decision::Start => {
                    self.schedule_check(&mut state);
                    return Ok(Permit::new(self, SlotHolder::of(&item)));
                }
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.insert(ticket, Waiter { sender, holder: SlotHolder::of(&item) });
                    state.refuse_displaced();
                    self.schedule_check(&mut state);
                    (ticket, receiver)
                }
            }
        };
        let (holder, decision) = (SlotHolder::of(&item), Some(decision));
        let mut waiting = Waiting { admission: Arc::clone(self), ticket, holder, decision };
        waiting.result(item).await
    }

    /// Starts to admit requests, up to `slots` at a time.
    pub(crate) fn open(self: &Arc<Self>, slots: u32) {
        let mut state = self.state.lock();
        state.queue.set_slots(slots);
        // The back end may have become cold while it received no requests.
        state.queue.cold_start_limiter().mark_unconfirmed();
        state.queue.open();
        self.start_waiting(&mut state);
    }

    /// Stops admitting requests and rejects the waiting ones.
    pub(crate) fn close(&self) {
        let mut state = self.state.lock();
        for ticket in state.queue.close() {
            state.send_decision(ticket, Err(Refusal::Closed));
        }
    }

    /// Rejects the waiting requests and goes on admitting new ones.
    pub(crate) fn reject_waiting(&self) {
        let mut state = self.state.lock();
        for ticket in state.queue.cancel_waiting() {
            state.send_decision(ticket, Err(Refusal::Closed));
        }
    }

    /// Discards the measurements of the back end, because another one replaces it and may be cold.
    pub(crate) fn reset_back_end(&self) {
        let mut state = self.state.lock();
        state.queue.reset_statistics();
        state.queue.cold_start_limiter().forget();
    }

    /// Sets the request rate that a cold back end of the service can handle.
    pub(crate) fn set_cold_rate(self: &Arc<Self>, rate: Option<RequestRate>) {
        self.update_cold_start(|cold_start_limiter| cold_start_limiter.set_rate(now(), rate));
    }

    /// Updates the warmth state of the back end, then starts the requests that may start now.
    pub(crate) fn update_cold_start(self: &Arc<Self>, change: impl FnOnce(&mut ColdStartLimiter)) {
        let mut state = self.state.lock();
        change(state.queue.cold_start_limiter());
        self.start_waiting(&mut state);
    }

    /// Applies a change to the request limiter, then rejects the requests that it does not let start in time and
    /// starts those that may start now. Returns the limits before and after the change, if they differ.
    pub(crate) fn update_request_limit(
        self: &Arc<Self>,
        change: impl FnOnce(&mut RequestLimiter) -> bool,
    ) -> Option<LimitChange> {
        let mut state = self.state.lock();
        let limiter = state.queue.request_limiter();
        let before = limiter.rate();
        if !change(limiter) {
            return None;
        }
        let limit = limiter.rate();
        for unservable in state.queue.take_unservable(now()) {
            let refusal = Refusal::RequestLimit { expected: unservable.expected };
            state.send_decision(unservable.ticket, Err(refusal));
        }
        self.start_waiting(&mut state);
        (before != limit).then_some(LimitChange { before, limit })
    }

    /// Request limit that the back end advertises.
    pub(crate) fn request_limit(&self) -> Option<RequestRate> {
        self.state.lock().queue.request_limiter().rate()
    }

    /// Waits until the back end needs a warmth probe, and marks the probe as started.
    pub(crate) async fn begin_warmth_probe(&self) {
        loop {
            let notified = self.warmth_probe_due.notified();
            if self.try_begin_warmth_probe() {
                return;
            }
            notified.await;
        }
    }

    fn try_begin_warmth_probe(&self) -> bool {
        let mut state = self.state.lock();
        let cold_start_limiter = state.queue.cold_start_limiter();
        if !cold_start_limiter.needs_warmth_probe(now()) {
            return false;
        }
        cold_start_limiter.on_warmth_probe_sent();
        true
    }

    /// Records that work currently takes `percent` hundredths of its usual time at the back end.
    pub(crate) fn on_slowdown(&self, percent: u16) -> Result<(), InvalidSlowdown> {
        self.state.lock().queue.slowdown().on_report(now(), percent)
    }

    /// Converts the duration `taken` of work that ends now to its duration at the back end's usual speed.
    fn normalized_time(&self, taken: Duration) -> Duration {
        self.state.lock().queue.slowdown().normalized_time(now(), taken)
    }

    /// Whether requests wait for a slot, or were rejected for lack of one a short time ago.
    pub(crate) fn is_slot_wanted(&self) -> bool {
        self.state.lock().queue.is_slot_wanted(now())
    }

    /// Load report for other nodes.
    pub(crate) fn report(&self) -> LoadReport {
        self.state.lock().queue.report(now())
    }

    /// Records whether a run ended with a valid response.
    pub(crate) fn record_response(&self, is_intact: bool) {
        self.state.lock().queue.record_response(is_intact);
    }

    /// Slot use of a tenant; `None` if none of its requests has waited recently.
    pub(super) fn usage(&self, tenant: TenantId) -> Option<TenantUsage> {
        self.state.lock().queue.tenant_usage(now(), tenant)
    }

    /// Slot use of the tenants, listing the `count` tenants with the highest use.
    pub(super) fn usages(&self, count: usize) -> TenantUsages {
        let state = self.state.lock();
        let greatest = state.queue.top_tenants(now(), count);
        TenantUsages { count: state.queue.tenant_count(), greatest }
    }

    fn release_slot(self: &Arc<Self>, slot: SlotUse) {
        let mut state = self.state.lock();
        state.release_slot(slot);
        self.start_waiting(&mut state);
    }

    fn start_waiting(self: &Arc<Self>, state: &mut State) {
        state.start_waiting();
        self.schedule_check(state);
    }

    /// Schedules a queue check for when the rate limits of the back end let the next request start, and requests a
    /// warmth probe if one is due.
    fn schedule_check(self: &Arc<Self>, state: &mut State) {
        if state.queue.cold_start_limiter().needs_warmth_probe(now()) {
            self.warmth_probe_due.notify_one();
        }
        let Some(at) = state.queue.rate_limited_until(now()).map(Instant::from_std) else { return };
        if state.next_check_at.is_some_and(|planned| planned <= at && planned > Instant::now()) {
            return;
        }
        state.next_check_at = Some(at);
        let admission = Arc::clone(self);
        tokio::spawn(async move {
            sleep_until(at).await;
            let mut state = admission.state.lock();
            state.next_check_at.take_if(|planned| *planned <= at);
            admission.start_waiting(&mut state);
        });
    }

    fn withdraw(&self, ticket: Ticket) {
        let mut state = self.state.lock();
        state.queue.withdraw(ticket);
        state.waiters.remove(&ticket);
    }
}

/// A request that waits for a slot.
struct Waiting {
    admission: Arc<Admission>,
    ticket: Ticket,
    holder: SlotHolder,
    decision: Option<oneshot::Receiver<AdmissionResult>>,
}

impl Waiting {
    async fn result(&mut self, item: WorkItem) -> Result<Permit, Refusal> {
        let Some(decision) = &mut self.decision else { return Err(Refusal::Closed) };
        let outcome = timeout_at(item.queue_deadline.min(item.deadline).into(), decision).await;
        match outcome {
            Ok(Ok(Ok(()))) => {
                self.decision = None;
                Ok(Permit::new(&self.admission, self.holder))
            }
            Ok(Ok(Err(refusal))) => {
                self.decision = None;
                Err(refusal)
            }
            Ok(Err(_sender_dropped)) => Err(Refusal::Closed),
            Err(_elapsed) if item.queue_deadline < item.deadline => Err(Refusal::QueueTimeout),
            Err(_elapsed) => Err(Refusal::Expired),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let Some(mut decision) = self.decision.take() else { return };
        self.admission.withdraw(self.ticket);
        // A slot may have been assigned just before the waiter timed out or was cancelled.
        if matches!(decision.try_recv(), Ok(Ok(()))) {
            self.admission.release_slot(SlotUse::unused(self.holder));
        }
    }
}

/// One slot of the back end, freed on drop.
#[derive(Debug)]
pub(crate) struct Permit {
    admission: Arc<Admission>,
    holder: SlotHolder,
    started: Instant,
    served: Option<Duration>,
}

impl Permit {
    fn new(admission: &Arc<Admission>, holder: SlotHolder) -> Self {
        Self { admission: Arc::clone(admission), holder, started: Instant::now(), served: None }
    }

    /// Time since the slot was assigned.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records that the back end has responded, so that its service time counts. A slowdown that the response
    /// reports must be recorded before.
    pub(crate) fn on_answered(&mut self) {
        self.served = Some(self.admission.normalized_time(self.started.elapsed()));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let held = self.started.elapsed();
        self.admission.release_slot(SlotUse { holder: self.holder, held, served: self.served });
    }
}
