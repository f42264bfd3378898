//! Checkers of what back ends say about new requests in their responses.

use std::collections::BTreeMap;
use std::time::Duration;

use umberpond_model::{Millis, NodeName, RequestRate};

use super::DRAIN_LIMIT;
use crate::checkers::{Breach, Invariant, Violation};
use crate::history::{CallerOutcome, Event, History, RequestKey};

/// Time from the first response with a limit until the limit has to hold.
const REACTION_TIME: Millis = Millis(3_000);
/// A node counts as informed this long after it has forwarded a response with the signal.
const INFORMED_AFTER: Millis = Millis(500);
/// Length of the windows in which requests are counted.
const WINDOW: Millis = Millis(4_000);
/// Multiple of the limit that is tolerated in a window.
const TOLERATED_FACTOR: f64 = 1.5;
/// Number of requests that are tolerated in a window in addition.
const TOLERATED_EXTRA: f64 = 5.0;

/// A signal that a back end sends at present.
#[derive(Debug)]
struct ActiveSignal {
    began: Millis,
    /// When the entry node forwarded the first response with the signal; absent if it has not since its start.
    forwarded: Option<Millis>,
    /// The advertised limit; absent if the signal is that the back end is leaving.
    limit: Option<RequestRate>,
    /// Start times of the requests that count towards the limit.
    counted: Vec<Millis>,
}

impl ActiveSignal {
    const fn new(began: Millis, limit: Option<RequestRate>) -> Self {
        Self { began, forwarded: None, limit, counted: Vec::new() }
    }

    /// Whether a request that is sent or started `at` is bound by the signal after `delay`.
    fn binds(&self, at: Millis, delay: Millis) -> bool {
        self.forwarded.is_some_and(|forwarded| at.0 > forwarded.0 + delay.0)
    }

    /// Counts a request and returns the number of requests in the window that ends with it.
    fn count(&mut self, at: Millis) -> usize {
        if !self.binds(at, INFORMED_AFTER) || at.0 < self.began.0 + REACTION_TIME.0 {
            return 0;
        }
        self.counted.push(at);
        self.counted.iter().filter(|counted| at.0 - counted.0 < WINDOW.0).count()
    }
}

/// State of the walk over a history.
#[derive(Debug, Default)]
struct Walk<'a> {
    entry: Option<&'a NodeName>,
    active: BTreeMap<&'a NodeName, ActiveSignal>,
    sent: BTreeMap<RequestKey, Millis>,
    /// Nodes that ran a request, with the time at which it started.
    ran: BTreeMap<RequestKey, (&'a NodeName, Millis)>,
}

impl<'a> Walk<'a> {
    /// Applies an event that is no run of a request.
    fn on_event(&mut self, at: Millis, event: &'a Event) {
        match event {
            Event::EntryNode { node } => self.entry = Some(node),
            // A process that starts has forwarded nothing, and a frozen or separated one is excused.
            Event::Started { node } | Event::FaultBegan { node } if self.entry == Some(node) => {
                self.active.values_mut().for_each(|signal| signal.forwarded = None);
            }
            Event::Sent { request, .. } => {
                self.sent.insert(*request, at);
            }
            Event::Finished { request, outcome: CallerOutcome::Answered { .. } } => {
                let Some((node, started)) = self.ran.get(request) else { return };
                if let Some(signal) = self.active.get_mut(node).filter(|signal| signal.began <= *started) {
                    signal.forwarded.get_or_insert(at);
                }
            }
            _ => {}
        }
    }
}

/// Checks that no back end starts more requests than its limit tolerates in any window, from a short time after
/// it began to advertise the limit and the entry node has forwarded it.
#[must_use]
pub fn request_limits_kept(history: &History) -> Vec<Violation> {
    let mut walk = Walk::default();
    let mut violations = Vec::new();
    for recorded in history.events() {
        let at = recorded.at;
        match &recorded.event {
            Event::LimitBegan { node, limit } => {
                walk.active.insert(node, ActiveSignal::new(at, Some(*limit)));
            }
            Event::LimitEnded { node } => {
                walk.active.remove(node);
            }
            Event::Executed { request, node, .. } => {
                walk.ran.insert(*request, (node, at));
                let Some(signal) = walk.active.get_mut(node) else { continue };
                let requests = signal.count(at);
                if let Some(limit) = signal.limit.filter(|limit| requests > tolerated(*limit)) {
                    let breach = Breach::LimitExceeded { node: node.clone(), limit, requests };
                    violations.push(Violation { invariant: Invariant::RequestLimitsKept, at, breach });
                }
            }
            event => walk.on_event(at, event),
        }
    }
    violations
}

/// Checks that no back end starts a request that was sent later than [`DRAIN_LIMIT`] after the entry node forwarded
/// the first response that says that the back end is leaving.
#[must_use]
pub fn leaving_by_response_kept(history: &History) -> Vec<Violation> {
    let mut walk = Walk::default();
    let mut violations = Vec::new();
    for recorded in history.events() {
        let at = recorded.at;
        match &recorded.event {
            Event::LeavingBegan { node } => {
                walk.active.insert(node, ActiveSignal::new(at, None));
            }
            Event::LeavingEnded { node } => {
                walk.active.remove(node);
            }
            Event::Executed { request, node, .. } => {
                walk.ran.insert(*request, (node, at));
                let sent = walk.sent.get(request).copied().unwrap_or(at);
                if walk.active.get(node).is_some_and(|signal| signal.binds(sent, DRAIN_LIMIT)) {
                    let breach = Breach::NewWorkWhileLeaving { node: node.clone(), request: *request };
                    violations.push(Violation { invariant: Invariant::LeavingByResponseKept, at, breach });
                }
            }
            event => walk.on_event(at, event),
        }
    }
    violations
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small and positive")]
fn tolerated(limit: RequestRate) -> usize {
    let seconds = Duration::from_millis(WINDOW.0).as_secs_f64();
    (TOLERATED_FACTOR * limit.as_f64() * seconds + TOLERATED_EXTRA) as usize
}
