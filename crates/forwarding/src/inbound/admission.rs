//! The queue before the back end, with the tasks that wait in it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};
use umberpond_scheduling::{Decision, LoadReport, Refusal, Started, Ticket, WorkItem, WorkQueue};

type Verdict = Result<(), Refusal>;

#[derive(Debug, Default)]
struct State {
    queue: WorkQueue,
    waiters: HashMap<Ticket, oneshot::Sender<Verdict>>,
}

impl State {
    /// Gives free slots to those that wait.
    fn start_waiting(&mut self) {
        while let Some(started) = self.queue.start_next(now()) {
            match started {
                Started::Run(ticket) => {
                    if !self.tell(ticket, Ok(())) {
                        self.queue.finish(None);
                    }
                }
                Started::Expire(ticket) => {
                    self.tell(ticket, Err(Refusal::Expired));
                }
            }
        }
    }

    /// Wakes the waiter of `ticket`; `false` if it is gone.
    fn tell(&mut self, ticket: Ticket, verdict: Verdict) -> bool {
        self.waiters.remove(&ticket).is_some_and(|waiter| waiter.send(verdict).is_ok())
    }
}

/// The queue before the back end.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    state: Mutex<State>,
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

impl Admission {
    /// Waits for a slot. Dropping the future withdraws the request.
    pub(crate) async fn admit(self: &Arc<Self>, item: WorkItem) -> Result<Permit, Refusal> {
        let (ticket, verdict) = {
            let mut state = self.state.lock();
            match state.queue.offer(now(), item) {
                Decision::Start => return Ok(Permit::new(self)),
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.insert(ticket, sender);
                    (ticket, receiver)
                }
            }
        };
        let mut waiting = Waiting { admission: Arc::clone(self), ticket, verdict: Some(verdict) };
        waiting.result(item).await
    }

    /// Takes new work, `slots` requests at once.
    pub(crate) fn open(&self, slots: u32) {
        let mut state = self.state.lock();
        state.queue.set_slots(slots);
        state.queue.open();
        state.start_waiting();
    }

    /// Takes no new work and refuses what waits.
    pub(crate) fn close(&self) {
        let mut state = self.state.lock();
        for ticket in state.queue.close() {
            state.tell(ticket, Err(Refusal::Closed));
        }
    }

    /// Forgets what was learnt of the back end's speed.
    pub(crate) fn forget_service_time(&self) {
        self.state.lock().queue.forget_service_time();
    }

    /// The load, for others.
    pub(crate) fn report(&self) -> LoadReport {
        self.state.lock().queue.report()
    }

    /// Takes in whether an answer came back sound.
    pub(crate) fn record_answer(&self, is_sound: bool) {
        self.state.lock().queue.record_answer(is_sound);
    }

    fn finish(&self, served: Option<Duration>) {
        let mut state = self.state.lock();
        state.queue.finish(served);
        state.start_waiting();
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
    verdict: Option<oneshot::Receiver<Verdict>>,
}

impl Waiting {
    async fn result(&mut self, item: WorkItem) -> Result<Permit, Refusal> {
        let Some(verdict) = &mut self.verdict else { return Err(Refusal::Closed) };
        let told = timeout_at(item.hold_until.min(item.deadline).into(), verdict).await;
        match told {
            Ok(Ok(Ok(()))) => {
                self.verdict = None;
                Ok(Permit::new(&self.admission))
            }
            Ok(Ok(Err(refusal))) => {
                self.verdict = None;
                Err(refusal)
            }
            Ok(Err(_sender_dropped)) => Err(Refusal::Closed),
            Err(_elapsed) if item.hold_until < item.deadline => Err(Refusal::HeldTooLong),
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
            self.admission.finish(None);
        }
    }
}

/// One slot of the back end; it is free again when this is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    admission: Arc<Admission>,
    started: Instant,
    served: Option<Duration>,
}

impl Permit {
    fn new(admission: &Arc<Admission>) -> Self {
        Self { admission: Arc::clone(admission), started: Instant::now(), served: None }
    }

    /// Time since the slot was given.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Takes in that the back end has answered, so that its time counts.
    pub(crate) fn on_answered(&mut self) {
        self.served = Some(self.started.elapsed());
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.finish(self.served);
    }
}
