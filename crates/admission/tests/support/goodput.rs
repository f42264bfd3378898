//! A discrete-event model of an overload: callers with deadlines and retries, and a few back ends with slots.
//!
//! Time is virtual, in microseconds; nothing here is a measurement of real time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use umberpond_admission::{
    Admission, AdmissionSettings, Admitted, Attempt, AttemptStage, Completion, Deadline, Permit,
    RequestAttempts, RequestId, RetryBudget, RetryBudgetSettings, RetryDecision, Ticket,
};
use umberpond_model::{Millis, Timestamp};

use super::{CLASSES, open_gate};

const MICROS_PER_MILLI: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const BACK_ENDS: usize = 4;
const SLOTS: u32 = 20;
/// Mean service time.
const SERVICE: u64 = 20 * MICROS_PER_MILLI;
/// One way between caller and back end.
const LINK: u64 = MICROS_PER_MILLI;
/// What a caller waits for one attempt, and for all.
const ATTEMPT_TIMEOUT: u64 = 500 * MICROS_PER_MILLI;
const DEADLINE: Millis = Millis(1_500);
/// Share of the capacity that is offered before and after the overload.
const CALM: f64 = 0.5;
const WARM_UP: u64 = SECOND;
/// How long the calm after the overload is watched.
const AFTERMATH: u64 = 15 * SECOND;
/// Cumulative share of each class, in shed order: 20% reporting, 50% status, 20% transaction, 10% internal.
const CLASS_BOUNDS: [f64; 4] = [0.2, 0.7, 0.9, 1.0];
/// Width of the bins in which recovery is looked for, and the share answered in time that counts as recovered.
const BIN: u64 = 100 * MICROS_PER_MILLI;
const RECOVERED: f64 = 0.95;

/// What protects the back ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Protection {
    /// Retries are a share of live traffic.
    pub budget: bool,
    /// The gate bounds its queue, sheds by class and cancels what was given up on. Without it the queue is endless.
    pub shedding: bool,
}

/// Figures of one run.
#[derive(Debug, Clone, Copy)]
pub struct Figures {
    /// Requests answered in time during the overload, as a share of those offered, by class in shed order.
    pub answered: [f64; 4],
    /// Requests answered in time during the overload, as a share of what the back ends can serve.
    pub goodput: f64,
    /// Attempts sent for each request offered during the overload.
    pub attempts: f64,
    /// Time after the overload until calls are answered again, in milliseconds; absent if not in the time watched.
    pub recovery_millis: Option<u64>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Offer,
    Reach(usize),
    Served(usize),
    Refused(usize, Millis),
    Answered(usize),
    TimedOut(usize),
}

struct Request {
    class: usize,
    sent: u64,
    attempts: RequestAttempts,
    deadline: Deadline,
    sent_attempts: u32,
    is_answered: bool,
}

/// One attempt; gone from the model's map once it is over at both ends.
struct Sent {
    request: usize,
    back_end: usize,
    permit: Option<Permit>,
    started: u64,
    is_given_up: bool,
}

struct BackEnd {
    gate: Admission,
    tickets: Vec<(usize, Ticket)>,
    running: u32,
    queue: VecDeque<usize>,
}

struct Model {
    protection: Protection,
    load: f64,
    load_end: u64,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    rng: ChaCha8Rng,
    budget: RetryBudget,
    back_ends: Vec<BackEnd>,
    requests: Vec<Request>,
    sent: BTreeMap<usize, Sent>,
    sent_count: usize,
}

/// Offers `load` times the capacity for `length`, after and before a calm time.
pub fn run(load: f64, length: Millis, protection: Protection, seed: u64) -> Figures {
    let load_end = WARM_UP + length.0 * MICROS_PER_MILLI;
    let mut model = Model::new(load, load_end, protection, seed);
    model.schedule(0, Event::Offer);
    while let Some(Reverse((at, _, event))) = model.events.pop() {
        model.now = at;
        match event {
            Event::Offer => model.offer(),
            Event::Reach(attempt) => model.reach(attempt),
            Event::Served(attempt) => model.served(attempt),
            Event::Refused(attempt, retry_after) => {
                model.ended(attempt, AttemptStage::Refused { retry_after });
            }
            Event::Answered(attempt) => model.ended(attempt, AttemptStage::Answered),
            Event::TimedOut(attempt) => model.timed_out(attempt),
        }
    }
    model.figures()
}

impl Model {
    fn new(load: f64, load_end: u64, protection: Protection, seed: u64) -> Self {
        let settings = AdmissionSettings { slots: SLOTS, queue: SLOTS as usize, ..Default::default() };
        let back_end = |_| BackEnd {
            gate: open_gate(settings.clone()),
            tickets: Vec::new(),
            running: 0,
            queue: VecDeque::new(),
        };
        let unlimited =
            RetryBudgetSettings { retries_per_thousand: 10_000, minimum_per_second: 0, burst: 1 << 40 };
        let budget = if protection.budget { RetryBudgetSettings::default() } else { unlimited };
        Self {
            protection,
            load,
            load_end,
            now: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            budget: RetryBudget::new(budget, Timestamp(0)),
            back_ends: (0..BACK_ENDS).map(back_end).collect(),
            requests: Vec::new(),
            sent: BTreeMap::new(),
            sent_count: 0,
        }
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + after, self.event_count, event)));
    }

    fn timestamp(&self) -> Timestamp {
        Timestamp(self.now / MICROS_PER_MILLI)
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.rng.random::<f64>()).ln() * mean) as u64
    }

    fn offer(&mut self) {
        let is_overload = (WARM_UP..self.load_end).contains(&self.now);
        let load = if is_overload { self.load } else { CALM };
        let capacity_per_micro = BACK_ENDS as f64 * f64::from(SLOTS) / SERVICE as f64;
        let gap = self.exponential(1.0 / (load * capacity_per_micro));
        if self.now < self.load_end + AFTERMATH {
            self.schedule(gap, Event::Offer);
        }
        let point = self.rng.random::<f64>();
        let class = CLASS_BOUNDS.iter().position(|bound| point < *bound).expect("the last bound is 1");
        let deadline = Deadline::after(self.timestamp(), DEADLINE);
        let is_idempotent = class != 2;
        let request = Request {
            class,
            sent: self.now,
            attempts: RequestAttempts::new(is_idempotent, deadline),
            deadline,
            sent_attempts: 0,
            is_answered: false,
        };
        self.requests.push(request);
        self.budget.on_request(self.timestamp());
        self.send(self.requests.len() - 1);
    }

    fn send(&mut self, request: usize) {
        let back_end = self.rng.random_range(0..BACK_ENDS);
        self.sent_count += 1;
        let attempt = self.sent_count;
        self.requests[request].sent_attempts += 1;
        let sent = Sent { request, back_end, permit: None, started: 0, is_given_up: false };
        self.sent.insert(attempt, sent);
        self.schedule(LINK, Event::Reach(attempt));
        self.schedule(ATTEMPT_TIMEOUT, Event::TimedOut(attempt));
    }

    fn reach(&mut self, attempt: usize) {
        let back_end = self.sent[&attempt].back_end;
        if self.protection.shedding {
            return self.reach_gate(attempt);
        }
        if self.back_ends[back_end].running < SLOTS {
            self.back_ends[back_end].running += 1;
            return self.start(attempt);
        }
        self.back_ends[back_end].queue.push_back(attempt);
    }

    fn reach_gate(&mut self, attempt: usize) {
        let now = self.timestamp();
        let Sent { request, back_end, .. } = self.sent[&attempt];
        let state = &self.requests[request];
        let remaining = state.deadline.remaining(now).min(Millis(ATTEMPT_TIMEOUT / MICROS_PER_MILLI));
        let arrival = Attempt {
            request: RequestId(request as u128),
            number: state.attempts.number(),
            class: CLASSES[state.class],
            idempotent: state.class != 2,
            remaining,
            age: now.since(Timestamp(state.sent / MICROS_PER_MILLI)),
            key: None,
        };
        match self.back_ends[back_end].gate.admit(now, &arrival) {
            Ok(Admitted::Now(permit)) => self.admit(attempt, permit),
            Ok(Admitted::Queued(ticket)) => self.back_ends[back_end].tickets.push((attempt, ticket)),
            Err(refusal) => self.schedule(LINK, Event::Refused(attempt, refusal.retry_after)),
        }
        self.poll_tickets(back_end);
    }

    /// Looks which queued requests the gate has decided on.
    fn poll_tickets(&mut self, back_end: usize) {
        let mut decided = Vec::new();
        self.back_ends[back_end].tickets.retain_mut(|(attempt, ticket)| match ticket.try_take() {
            None => true,
            Some(verdict) => {
                decided.push((*attempt, verdict));
                false
            }
        });
        for (attempt, verdict) in decided {
            match verdict {
                Ok(permit) => self.admit(attempt, permit),
                Err(refusal) => self.schedule(LINK, Event::Refused(attempt, refusal.retry_after)),
            }
        }
    }

    fn admit(&mut self, attempt: usize, permit: Permit) {
        self.sent.get_mut(&attempt).expect("waiting").permit = Some(permit);
        self.start(attempt);
    }

    fn start(&mut self, attempt: usize) {
        self.sent.get_mut(&attempt).expect("reached").started = self.now;
        let service = SERVICE / 2 + self.exponential(SERVICE as f64 / 2.0);
        self.schedule(service, Event::Served(attempt));
    }

    fn served(&mut self, attempt: usize) {
        let now = self.timestamp();
        let Some(sent) = self.sent.get_mut(&attempt) else { return };
        let back_end = sent.back_end;
        if let Some(permit) = sent.permit.take() {
            let service_time = Duration::from_micros(self.now - sent.started);
            permit.finish(now, Completion::Served { service_time });
            self.poll_tickets(back_end);
        } else if let Some(next) = self.back_ends[back_end].queue.pop_front() {
            self.start(next);
        } else {
            self.back_ends[back_end].running -= 1;
        }
        self.schedule(LINK, Event::Answered(attempt));
    }

    /// The caller learns how its attempt ended.
    fn ended(&mut self, attempt: usize, stage: AttemptStage) {
        let Some(sent) = self.sent.remove(&attempt) else { return };
        if sent.is_given_up {
            return;
        }
        self.requests[sent.request].is_answered |= stage == AttemptStage::Answered;
        self.decide(sent.request, stage);
    }

    fn decide(&mut self, request: usize, stage: AttemptStage) {
        let now = self.timestamp();
        let decision = self.requests[request].attempts.on_attempt_ended(now, stage, &self.budget);
        if decision == RetryDecision::RetryElsewhere {
            self.send(request);
        }
    }

    /// The caller stops waiting. With shedding this cancels the work; without it the work goes on unseen.
    fn timed_out(&mut self, attempt: usize) {
        let Some(sent) = self.sent.get_mut(&attempt) else { return };
        sent.is_given_up = true;
        let Sent { request, back_end, .. } = *sent;
        if self.protection.shedding {
            self.sent.remove(&attempt);
            self.back_ends[back_end].tickets.retain(|(waiting, _)| *waiting != attempt);
            self.poll_tickets(back_end);
        }
        self.decide(request, AttemptStage::Written);
    }

    fn figures(&self) -> Figures {
        let offered = |request: &&Request| (WARM_UP..self.load_end).contains(&request.sent);
        let during: Vec<_> = self.requests.iter().filter(offered).collect();
        let answered_of = |class: usize| {
            let of_class: Vec<_> = during.iter().filter(|request| request.class == class).collect();
            share(of_class.iter().filter(|request| request.is_answered).count(), of_class.len())
        };
        let answered = during.iter().filter(|request| request.is_answered).count();
        let capacity =
            BACK_ENDS as f64 * f64::from(SLOTS) * (self.load_end - WARM_UP) as f64 / SERVICE as f64;
        let attempts = during.iter().map(|request| request.sent_attempts as usize).sum();
        Figures {
            answered: [0, 1, 2, 3].map(answered_of),
            goodput: answered as f64 / capacity,
            attempts: share(attempts, during.len()),
            recovery_millis: self.recovery(),
        }
    }

    /// End of the last bin after the overload in which too few requests were answered in time.
    fn recovery(&self) -> Option<u64> {
        let mut bins = vec![(0, 0); (AFTERMATH / BIN) as usize];
        for request in &self.requests {
            let Some(since) = request.sent.checked_sub(self.load_end) else { continue };
            let Some(bin) = bins.get_mut((since / BIN) as usize) else { continue };
            bin.0 += usize::from(request.is_answered);
            bin.1 += 1;
        }
        let last_bad = bins.iter().rposition(|(answered, offered)| share(*answered, *offered) < RECOVERED);
        let recovered_at = last_bad.map_or(0, |bin| bin + 1);
        (recovered_at < bins.len()).then_some(recovered_at as u64 * BIN / MICROS_PER_MILLI)
    }
}

fn share(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}
