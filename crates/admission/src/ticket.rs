//! A place in the queue.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use parking_lot::Mutex;
use umberpond_config::RequestClass;
use umberpond_model::Timestamp;

use crate::gate::Shared;
use crate::window::Held;
use crate::{Permit, Refusal};

/// One queued request, shared by the queue and its ticket.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) class: RequestClass,
    pub(crate) expires_at: Timestamp,
    pub(crate) held: Held,
    progress: Mutex<Progress>,
}

#[derive(Debug)]
struct Progress {
    verdict: Verdict,
    waker: Option<Waker>,
}

/// What has become of a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It waits.
    Waiting,
    /// It has a slot, since the given time.
    Granted(Timestamp),
    /// It was refused.
    Refused(Refusal),
    /// The ticket has taken the verdict, or has been dropped.
    Taken,
}

impl Waiter {
    pub(crate) fn new(class: RequestClass, expires_at: Timestamp, held: Held) -> Self {
        let progress = Mutex::new(Progress { verdict: Verdict::Waiting, waker: None });
        Self { class, expires_at, held, progress }
    }

    /// Decides on a waiting request. The returned waker is to be woken once no lock is held.
    pub(crate) fn decide(&self, verdict: Verdict) -> Option<Waker> {
        let mut progress = self.progress.lock();
        progress.verdict = verdict;
        progress.waker.take()
    }

    /// Takes the verdict if there is one.
    fn take(&self, waker: Option<&Waker>) -> Verdict {
        let mut progress = self.progress.lock();
        if progress.verdict == Verdict::Waiting {
            if let Some(waker) = waker {
                progress.waker = Some(waker.clone());
            }
            return Verdict::Waiting;
        }
        std::mem::replace(&mut progress.verdict, Verdict::Taken)
    }

    /// Ends the request's wait for good; returns what had become of it.
    pub(crate) fn abandon(&self) -> Verdict {
        std::mem::replace(&mut self.progress.lock().verdict, Verdict::Taken)
    }
}

/// A place in the queue of an [`crate::Admission`]; resolves to a permit or a refusal.
///
/// Dropping it gives the place up: the request then was rejected before execution. Bound the wait by the
/// request's deadline; an expired request is also refused when its turn comes.
#[derive(Debug)]
#[must_use = "dropping a ticket gives its place in the queue up"]
pub struct Ticket {
    shared: Arc<Shared>,
    waiter: Arc<Waiter>,
}

impl Ticket {
    pub(crate) fn new(shared: Arc<Shared>, waiter: Arc<Waiter>) -> Self {
        Self { shared, waiter }
    }

    /// The verdict, once there is one. Returns none while waiting, and after the verdict was taken.
    pub fn try_take(&mut self) -> Option<Result<Permit, Refusal>> {
        self.take(None)
    }

    fn take(&self, waker: Option<&Waker>) -> Option<Result<Permit, Refusal>> {
        match self.waiter.take(waker) {
            Verdict::Waiting | Verdict::Taken => None,
            Verdict::Granted(since) => {
                Some(Ok(Permit::new(Arc::clone(&self.shared), self.waiter.held, since)))
            }
            Verdict::Refused(refusal) => Some(Err(refusal)),
        }
    }
}

impl Future for Ticket {
    type Output = Result<Permit, Refusal>;

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        self.take(Some(context.waker())).map_or(Poll::Pending, Poll::Ready)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.shared.abandon(&self.waiter);
    }
}
