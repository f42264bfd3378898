//! The gate before one back end: slots, the queue before them, draining and duplicates.

use std::sync::Arc;
use std::task::Waker;

use parking_lot::Mutex;
use umberpond_config::RequestClass;
use umberpond_model::{Millis, Timestamp};

use crate::concurrency::ConcurrencyLimit;
use crate::queue::ClassQueue;
use crate::ticket::{Verdict, Waiter};
use crate::window::{DuplicateWindow, Held};
use crate::{AdmissionSettings, Attempt, Completion, Permit, Refusal, RefusalReason, Ticket};

/// Whether the gate lets new work in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateStatus {
    /// The back end is not ready yet; everything is refused.
    Starting,
    /// The back end takes work.
    Open,
    /// The back end takes no new work; what runs goes on.
    Draining,
}

/// What [`Admission::admit`] gives to a request that isn't refused at once.
#[derive(Debug)]
#[must_use = "dropping it gives the place up"]
pub enum Admitted {
    /// The request may go to the back end now.
    Now(Permit),
    /// The request waits for a slot.
    Queued(Ticket),
}

/// State of the gate, for load reports and status pages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateView {
    /// Whether new work is let in.
    pub status: GateStatus,
    /// Requests at the back end.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Slots given out now; below the configured number when the back end sheds.
    pub slots: u32,
    /// Requests and keys in the duplicate window.
    pub remembered: usize,
}

/// The gate before one back end. Cloning shares the state.
#[derive(Debug, Clone)]
pub struct Admission {
    shared: Arc<Shared>,
}

/// State behind the gate. Lock order: `state`, then one waiter's own lock; the window's locks are leaves.
#[derive(Debug)]
pub(crate) struct Shared {
    settings: AdmissionSettings,
    pub(crate) window: DuplicateWindow,
    state: Mutex<GateState>,
}

#[derive(Debug)]
struct GateState {
    status: GateStatus,
    running: u32,
    limit: ConcurrencyLimit,
    queue: ClassQueue,
    /// Latest time that was handed in; a dropped permit brings none of its own.
    now: Timestamp,
}

impl Admission {
    /// A gate for a process whose back end is still starting. Non-idempotent requests first sent before `started` are
    /// refused, since an earlier process may have admitted them.
    #[must_use]
    pub fn new(settings: AdmissionSettings, started: Timestamp) -> Self {
        let state = GateState {
            status: GateStatus::Starting,
            running: 0,
            limit: ConcurrencyLimit::new(settings.slots, settings.adaptive),
            queue: ClassQueue::default(),
            now: started,
        };
        let window = DuplicateWindow::new(started, &settings);
        Self { shared: Arc::new(Shared { settings, window, state: Mutex::new(state) }) }
    }

    /// Opens or closes the gate. From the return of this call on no new work is let in unless it is open, and
    /// whatever was queued is refused if it is not. What runs goes on.
    pub fn set_status(&self, status: GateStatus) {
        self.shared.set_status(status);
    }

    /// Takes up another number of slots. What runs goes on, also beyond a smaller number; what is remembered stays.
    pub fn set_slots(&self, slots: u32) {
        self.shared.set_slots(slots);
    }

    /// Refuses one arrival for a reason outside the gate, and remembers that: a copy of it never runs here.
    ///
    /// # Errors
    /// Returns a [`Refusal`] that is no proof if the request may have run here before, or can't be remembered.
    pub fn refuse(&self, now: Timestamp, attempt: &Attempt) -> Result<(), Refusal> {
        let claimed = self.shared.window.claim(now, attempt);
        let held = claimed.map_err(|reason| self.shared.window_refusal(reason))?;
        self.shared.window.refuse(held);
        Ok(())
    }

    /// Decides on one arrival at once.
    ///
    /// # Errors
    /// Returns the [`Refusal`]; [`Refusal::proves_not_executed`] tells whether the request is known not to have run.
    pub fn admit(&self, now: Timestamp, attempt: &Attempt) -> Result<Admitted, Refusal> {
        let claimed = self.shared.window.claim(now, attempt);
        let held = claimed.map_err(|reason| self.shared.window_refusal(reason))?;
        let admitted = self.shared.enter(now, attempt, held);
        if admitted.is_err() {
            self.shared.window.refuse(held);
        }
        admitted
    }

    /// State of the gate now.
    #[must_use]
    pub fn view(&self) -> GateView {
        let state = self.shared.state.lock();
        GateView {
            status: state.status,
            running: state.running,
            queued: state.queue.len(),
            slots: state.limit.slots(),
            remembered: self.shared.window.remembered(),
        }
    }
}

impl Shared {
    fn enter(self: &Arc<Self>, now: Timestamp, attempt: &Attempt, held: Held) -> Result<Admitted, Refusal> {
        let mut state = self.state.lock();
        state.now = state.now.max(now);
        state.check_open(&self.settings)?;
        if attempt.remaining.0 == 0 {
            return Err(state.refusal(RefusalReason::DeadlineTooShort, &self.settings));
        }
        if state.running < state.limit.slots() {
            state.running += 1;
            return Ok(Admitted::Now(Permit::new(Arc::clone(self), held, now)));
        }
        state.check_wait(attempt, &self.settings)?;
        let displaced = state.make_room(attempt.class, &self.settings)?;
        let waiter = Arc::new(Waiter::new(attempt.class, now + attempt.remaining, held));
        state.queue.push(Arc::clone(&waiter));
        let refusal = state.refusal(RefusalReason::Displaced, &self.settings);
        drop(state);
        if let Some(displaced) = displaced {
            wake(self.refuse(&displaced, refusal));
        }
        Ok(Admitted::Queued(Ticket::new(Arc::clone(self), waiter)))
    }

    fn set_status(&self, status: GateStatus) {
        let mut state = self.state.lock();
        state.status = status;
        let Err(refusal) = state.check_open(&self.settings) else { return };
        let queue = std::mem::take(&mut state.queue);
        drop(state);
        for waiter in queue.into_waiters() {
            wake(self.refuse(&waiter, refusal));
        }
    }

    fn set_slots(&self, slots: u32) {
        let mut state = self.state.lock();
        state.limit.set_most(slots);
        let wakers = self.hand_out(&mut state);
        drop(state);
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Gives one slot back and hands free slots to the queue.
    pub(crate) fn release(&self, now: Option<Timestamp>, completion: Completion) {
        let mut state = self.state.lock();
        state.now = now.map_or(state.now, |now| state.now.max(now));
        state.running -= 1;
        let at = state.now;
        match completion {
            Completion::Served { service_time } => state.limit.on_served(service_time),
            Completion::Shed => state.limit.on_shed(at),
            Completion::NotSent | Completion::Broken => {}
        }
        let wakers = self.hand_out(&mut state);
        drop(state);
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Ends the wait of a request whose ticket is gone.
    pub(crate) fn abandon(&self, waiter: &Arc<Waiter>) {
        let mut state = self.state.lock();
        let verdict = waiter.abandon();
        match verdict {
            Verdict::Taken | Verdict::Refused(_) => return,
            Verdict::Waiting => state.queue.remove(waiter),
            Verdict::Granted(_) => state.running -= 1,
        }
        let wakers = self.hand_out(&mut state);
        drop(state);
        self.window.refuse(waiter.held);
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Gives free slots to the queue; requests whose deadline has passed are refused when their turn comes.
    fn hand_out(&self, state: &mut GateState) -> Vec<Waker> {
        let mut wakers = Vec::new();
        while state.running < state.limit.slots() {
            let Some(waiter) = state.queue.pop() else { break };
            if state.now >= waiter.expires_at {
                let refusal = state.refusal(RefusalReason::DeadlineTooShort, &self.settings);
                wakers.extend(self.refuse(&waiter, refusal));
                continue;
            }
            state.running += 1;
            wakers.extend(waiter.decide(Verdict::Granted(state.now)));
        }
        wakers
    }

    /// Refuses a request that was taken out of the queue.
    fn refuse(&self, waiter: &Waiter, refusal: Refusal) -> Option<Waker> {
        self.window.refuse(waiter.held);
        waiter.decide(Verdict::Refused(refusal))
    }

    fn window_refusal(&self, reason: RefusalReason) -> Refusal {
        Refusal { reason, retry_after: self.settings.retry_after }
    }
}

fn wake(waker: Option<Waker>) {
    if let Some(waker) = waker {
        waker.wake();
    }
}

impl GateState {
    fn check_open(&self, settings: &AdmissionSettings) -> Result<(), Refusal> {
        match self.status {
            GateStatus::Open => Ok(()),
            GateStatus::Starting => Err(self.refusal(RefusalReason::NotReady, settings)),
            GateStatus::Draining => Err(self.refusal(RefusalReason::Draining, settings)),
        }
    }

    /// Refuses at once what would wait past its deadline or the bound on waits.
    fn check_wait(&self, attempt: &Attempt, settings: &AdmissionSettings) -> Result<(), Refusal> {
        let ahead = self.queue.ahead_of(attempt.class);
        let wait = self.wait_behind(ahead);
        if wait > settings.longest_wait {
            return Err(self.refusal(RefusalReason::Overloaded, settings));
        }
        let service = millis(self.limit.mean_service_seconds());
        if wait.0 + service.0 > attempt.remaining.0 {
            return Err(self.refusal(RefusalReason::DeadlineTooShort, settings));
        }
        Ok(())
    }

    /// Finds a place in the queue, if need be that of a less important request, which is returned.
    fn make_room(
        &mut self,
        class: RequestClass,
        settings: &AdmissionSettings,
    ) -> Result<Option<Arc<Waiter>>, Refusal> {
        if self.queue.len() < settings.queue {
            return Ok(None);
        }
        let displaced = self.queue.displace_below(class);
        if displaced.is_none() {
            return Err(self.refusal(RefusalReason::Overloaded, settings));
        }
        Ok(displaced)
    }

    /// Expected wait of a request with `ahead` others before it.
    #[allow(clippy::cast_precision_loss)]
    fn wait_behind(&self, ahead: usize) -> Millis {
        let turns = (ahead + 1) as f64 / f64::from(self.limit.slots());
        millis(turns * self.limit.mean_service_seconds())
    }

    /// A refusal that asks to come back when the present queue is worked off.
    fn refusal(&self, reason: RefusalReason, settings: &AdmissionSettings) -> Refusal {
        let retry_after = self.wait_behind(self.queue.len()).max(settings.retry_after);
        Refusal { reason, retry_after }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn millis(seconds: f64) -> Millis {
    Millis((seconds * 1e3) as u64)
}
