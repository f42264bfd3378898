//! The queue before the back end, with the tasks that wait in it.

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
    ColdStartLimiter, Decision, Dequeued, InvalidSlowdown, LoadReport, Refusal, TenantUsage, Ticket,
    WorkItem, WorkQueue,
};

use crate::clock::now;

type Verdict = Result<(), Refusal>;

/// The task that waits for the verdict on one request.
#[derive(Debug)]
struct Waiter {
    sender: oneshot::Sender<Verdict>,
    holder: SlotHolder,
}

/// What has a slot, or waits for one.
#[derive(Debug, Clone, Copy)]
struct SlotHolder {
    /// Whose request it is; absent if of none.
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
    /// When the queue is looked at again because the pace of a cold back end lets a request start then.
    look_at: Option<Instant>,
}

impl State {
    /// Gives free slots to those that wait.
    fn start_waiting(&mut self) {
        while let Some(started) = self.queue.start_next(now()) {
            match started {
                Dequeued::Run(ticket) => self.hand_slot(ticket),
                Dequeued::Expire(ticket) => {
                    self.tell(ticket, Err(Refusal::Expired));
                }
            }
        }
    }

    /// Gives a slot to the waiter of `ticket`. It is free again if that one is gone.
    fn hand_slot(&mut self, ticket: Ticket) {
        let Some(waiter) = self.waiters.remove(&ticket) else { return self.queue.finish(None) };
        if waiter.sender.send(Ok(())).is_err() {
            self.free_slot(SlotUse::unused(waiter.holder));
        }
    }

    /// Takes in that a slot is free again.
    fn free_slot(&mut self, slot: SlotUse) {
        if let Some(tenant) = slot.holder.tenant {
            self.queue.settle(tenant, slot.held);
        }
        if slot.holder.is_call {
            self.queue.finish_call(slot.served);
        } else {
            self.queue.finish(slot.served);
        }
    }

    /// Refuses those that had to make room for others.
    fn refuse_displaced(&mut self) {
        for displaced in self.queue.take_displaced() {
            self.tell(displaced.ticket, Err(Refusal::OverShare { expected: displaced.expected }));
        }
    }

    /// Wakes the waiter of `ticket`, if it is still there.
    fn tell(&mut self, ticket: Ticket, verdict: Verdict) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // A waiter that is gone needs no refusal.
            let _ = waiter.sender.send(verdict);
        }
    }
}

/// What became of a slot that was given.
#[derive(Debug, Clone, Copy)]
struct SlotUse {
    holder: SlotHolder,
    held: Duration,
    /// Time that the back end took, if it answered.
    served: Option<Duration>,
}

impl SlotUse {
    /// Of a slot whose holder had gone before it had it.
    const fn unused(holder: SlotHolder) -> Self {
        Self { holder, held: Duration::ZERO, served: None }
    }
}

/// How the tenants of one back end stand.
#[derive(Debug)]
pub(super) struct TenantStandings {
    /// Number of tenants that share the slots.
    pub(super) count: usize,
    /// Those that took most, the greatest first.
    pub(super) greatest: Vec<TenantUsage>,
}

/// The queue before the back end.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    state: Mutex<State>,
    /// Told when the back end should be asked whether it is warm.
    word_wanted: Notify,
}

impl Admission {
    /// Before a back end of which nothing is known. `keeps_slots`: whether new requests leave slots to calls.
    pub(crate) fn new(keeps_slots: bool) -> Arc<Self> {
        let admission = Self::default();
        admission.state.lock().queue.reserve_slots_for_calls(keeps_slots);
        Arc::new(admission)
    }

    /// Waits for a slot. Dropping the future withdraws the request.
    pub(crate) async fn admit(self: &Arc<Self>, item: WorkItem) -> Result<Permit, Refusal> {
        let (ticket, verdict) = {
            let mut state = self.state.lock();
            match state.queue.offer(now(), item) {
                Decision::Start => {
                    self.follow_pace(&mut state);
                    return Ok(Permit::new(self, SlotHolder::of(&item)));
                }
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.insert(ticket, Waiter { sender, holder: SlotHolder::of(&item) });
                    state.refuse_displaced();
                    self.follow_pace(&mut state);
                    (ticket, receiver)
                }
            }
        };
        let (holder, verdict) = (SlotHolder::of(&item), Some(verdict));
        let mut waiting = Waiting { admission: Arc::clone(self), ticket, holder, verdict };
        waiting.result(item).await
    }

    /// Takes new work, `slots` requests at once.
    pub(crate) fn open(self: &Arc<Self>, slots: u32) {
        let mut state = self.state.lock();
        state.queue.set_slots(slots);
        // It may have turned cold while it took nothing.
        state.queue.cold_start_limiter().doubt();
        state.queue.open();
        self.start_waiting(&mut state);
    }

    /// Takes no new work and refuses what waits.
    pub(crate) fn close(&self) {
        let mut state = self.state.lock();
        for ticket in state.queue.close() {
            state.tell(ticket, Err(Refusal::Closed));
        }
    }

    /// Refuses what waits.
    pub(crate) fn turn_away_waiting(&self) {
        let mut state = self.state.lock();
        for ticket in state.queue.cancel_waiting() {
            state.tell(ticket, Err(Refusal::Closed));
        }
    }

    /// Forgets what was learnt of the back end: another one stands in its place, and it may be cold.
    pub(crate) fn forget_back_end(&self) {
        let mut state = self.state.lock();
        state.queue.reset_statistics();
        state.queue.cold_start_limiter().forget();
    }

    /// Sets the rate of requests that a cold back end of the service bears.
    pub(crate) fn set_cold_rate(self: &Arc<Self>, rate: Option<RequestRate>) {
        self.change_pace(|cold_start_limiter| cold_start_limiter.set_rate(now(), rate));
    }

    /// Takes in what is known of the back end's warmth, and starts what may start now.
    pub(crate) fn change_pace(self: &Arc<Self>, change: impl FnOnce(&mut ColdStartLimiter)) {
        let mut state = self.state.lock();
        change(state.queue.cold_start_limiter());
        self.start_waiting(&mut state);
    }

    /// Waits until the back end should be asked whether it is warm, and takes in that it is asked now.
    pub(crate) async fn begin_warmth_probe(&self) {
        loop {
            let notified = self.word_wanted.notified();
            if self.try_begin_question() {
                return;
            }
            notified.await;
        }
    }

    fn try_begin_question(&self) -> bool {
        let mut state = self.state.lock();
        let cold_start_limiter = state.queue.cold_start_limiter();
        if !cold_start_limiter.needs_warmth_probe(now()) {
            return false;
        }
        cold_start_limiter.on_warmth_probe_sent();
        true
    }

    /// Takes in that work takes `percent` hundredths of the usual time at the back end now.
    pub(crate) fn on_slowdown(&self, percent: u16) -> Result<(), InvalidSlowdown> {
        self.state.lock().queue.slowdown().on_word(now(), percent)
    }

    /// Time that work which ends now and has taken `taken` would have taken at the back end's usual speed.
    fn normalized_time(&self, taken: Duration) -> Duration {
        self.state.lock().queue.slowdown().normalized_time(now(), taken)
    }

    /// Whether requests wait for a slot, or were refused one a moment ago.
    pub(crate) fn is_slot_wanted(&self) -> bool {
        self.state.lock().queue.is_slot_wanted(now())
    }

    /// The load, for others.
    pub(crate) fn report(&self) -> LoadReport {
        self.state.lock().queue.report(now())
    }

    /// Takes in whether an answer came back sound.
    pub(crate) fn record_response(&self, is_sound: bool) {
        self.state.lock().queue.record_response(is_sound);
    }

    /// How a tenant stands; absent if none of its requests has waited of late.
    pub(super) fn standing(&self, tenant: TenantId) -> Option<TenantUsage> {
        self.state.lock().queue.standing(now(), tenant)
    }

    /// How tenants stand, the greatest `count` of them named.
    pub(super) fn standings(&self, count: usize) -> TenantStandings {
        let state = self.state.lock();
        let greatest = state.queue.top_tenants(now(), count);
        TenantStandings { count: state.queue.tenant_count(), greatest }
    }

    fn free_slot(self: &Arc<Self>, slot: SlotUse) {
        let mut state = self.state.lock();
        state.free_slot(slot);
        self.start_waiting(&mut state);
    }

    fn start_waiting(self: &Arc<Self>, state: &mut State) {
        state.start_waiting();
        self.follow_pace(state);
    }

    /// Sees to it that the queue is looked at again when the pace lets a request start, and that the back end is asked whether it is warm.
    fn follow_pace(self: &Arc<Self>, state: &mut State) {
        if state.queue.cold_start_limiter().needs_warmth_probe(now()) {
            self.word_wanted.notify_one();
        }
        let Some(at) = state.queue.rate_limited_until(now()).map(Instant::from_std) else { return };
        if state.look_at.is_some_and(|planned| planned <= at && planned > Instant::now()) {
            return;
        }
        state.look_at = Some(at);
        let admission = Arc::clone(self);
        tokio::spawn(async move {
            sleep_until(at).await;
            let mut state = admission.state.lock();
            state.look_at.take_if(|planned| *planned <= at);
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
    verdict: Option<oneshot::Receiver<Verdict>>,
}

impl Waiting {
    async fn result(&mut self, item: WorkItem) -> Result<Permit, Refusal> {
        let Some(verdict) = &mut self.verdict else { return Err(Refusal::Closed) };
        let told = timeout_at(item.queue_deadline.min(item.deadline).into(), verdict).await;
        match told {
            Ok(Ok(Ok(()))) => {
                self.verdict = None;
                Ok(Permit::new(&self.admission, self.holder))
            }
            Ok(Ok(Err(refusal))) => {
                self.verdict = None;
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
        let Some(mut verdict) = self.verdict.take() else { return };
        self.admission.withdraw(self.ticket);
        // The slot may have been given in the very moment in which the waiter gave up.
        if matches!(verdict.try_recv(), Ok(Ok(()))) {
            self.admission.free_slot(SlotUse::unused(self.holder));
        }
    }
}

/// One slot of the back end; it is free again when this is dropped.
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

    /// Time since the slot was given.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Takes in that the back end has answered, so that its time counts. What the answer tells of the back end's speed is taken in before.
    pub(crate) fn on_answered(&mut self) {
        self.served = Some(self.admission.normalized_time(self.started.elapsed()));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let held = self.started.elapsed();
        self.admission.free_slot(SlotUse { holder: self.holder, held, served: self.served });
    }
}
