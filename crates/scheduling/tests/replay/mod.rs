//! Discrete-event simulation of arrivals on a virtual clock, with real queues.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

use umberpond_model::ServiceName;
use umberpond_scheduling::{
    CallFailureEstimator, CallLevel, CallOutcome, Decision, Dependent, Dequeued, PendingRun, Ticket,
    WaitBounds, WorkItem, WorkQueue,
};

/// Slots of one queue.
const QUEUE_SLOTS: u32 = 8;
/// Simulated milliseconds in which requests arrive.
const ARRIVAL_MILLIS: u64 = 20_000;
/// Milliseconds at the start that are excluded from the results.
const WARM_UP_MILLIS: u64 = 4_000;
/// Fraction of the remaining time after which a refused caller retries, once.
const RETRY_DELAY_SHARE: f64 = 0.3;

/// The calls that runs of a kind make concurrently after their own work.
#[derive(Debug)]
pub struct CallKind {
    pub kind: &'static Kind,
    pub count: u32,
    /// Fraction of the runs that make calls.
    pub share: f64,
}

/// A kind of request. Times are in milliseconds.
#[derive(Debug)]
pub struct Kind {
    pub name: &'static str,
    pub service: usize,
    pub priority: u8,
    pub work: u64,
    pub objective: u64,
    pub deadline: u64,
    pub call: Option<CallKind>,
}

/// Rate at which callers send requests of a kind.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub kind: &'static Kind,
    pub per_second: f64,
}

/// Results of the requests of a kind.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    sent: u32,
    in_time: u32,
    late: u32,
    failed: u32,
}

#[derive(Debug)]
struct Request {
    kind: &'static Kind,
    first_sent: u64,
    sent: u64,
    is_caller_retry: bool,
    /// The run that made this call; absent for a caller's request.
    run: Option<usize>,
    queue: (usize, usize),
    started: u64,
    open_calls: u32,
    has_failed_call: bool,
    level: CallLevel,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    WorkDone(usize),
    TimeOut(usize, Ticket),
}

/// One simulation and its results.
pub struct Replay {
    epoch: Instant,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    services: Vec<Vec<WorkQueue>>,
    /// Call statistics of each queue's runs.
    failure_estimators: HashMap<(usize, usize), CallFailureEstimator>,
    requests: Vec<Request>,
    waiting: HashMap<(usize, usize, Ticket), usize>,
    /// Mean slot time by kind, in milliseconds.
    slot_times: HashMap<&'static str, f64>,
    tallies: BTreeMap<&'static str, Tally>,
    random: u64,
}

impl Replay {
    /// Simulates `loads` on services with the given numbers of slots.
    pub fn run(slots: &[u32], loads: &[Load]) -> Self {
        let mut replay = Self::new(slots);
        for load in loads {
            replay.send_all(*load);
        }
        while let Some(Reverse((at, _, event))) = replay.events.pop() {
            replay.now = at;
            replay.step(event);
        }
        replay
    }

    fn new(slots: &[u32]) -> Self {
        let queues = |slots: &u32| (0..slots / QUEUE_SLOTS).map(|_| open_queue()).collect();
        Self {
            epoch: Instant::now(),
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            services: slots.iter().map(queues).collect(),
            failure_estimators: HashMap::new(),
            requests: Vec::new(),
            waiting: HashMap::new(),
            slot_times: HashMap::new(),
            tallies: BTreeMap::new(),
            random: 7,
        }
    }

    /// Responses within their objective per second, over all kinds that callers send.
    pub fn goodput(&self) -> f64 {
        let in_time: u32 = self.tallies.values().map(|tally| tally.in_time).sum();
        f64::from(in_time) * 1e3 / (ARRIVAL_MILLIS - WARM_UP_MILLIS) as f64
    }

    /// Fraction of the requests of a kind that were answered in time.
    pub fn served_share(&self, kind: &str) -> f64 {
        let tally = self.tallies[kind];
        f64::from(tally.in_time) / f64::from(tally.sent)
    }

    fn send_all(&mut self, load: Load) {
        let mut at = 0.0;
        loop {
            at -= self.uniform().ln() * 1e3 / load.per_second;
            if at >= ARRIVAL_MILLIS as f64 {
                return;
            }
            let request = self.request(load.kind, at as u64, None);
            self.at(at as u64, Event::Arrive(request));
        }
    }

    fn request(&mut self, kind: &'static Kind, sent: u64, run: Option<usize>) -> usize {
        let level = CallLevel::from_hash((self.uniform() * 1e6) as u64);
        self.requests.push(Request {
            kind,
            first_sent: sent,
            sent,
            is_caller_retry: false,
            run,
            queue: (kind.service, 0),
            started: 0,
            open_calls: 0,
            has_failed_call: false,
            level,
        });
        self.requests.len() - 1
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::WorkDone(request) => self.finish_work(request),
            Event::TimeOut(request, ticket) => self.time_out(request, ticket),
        }
    }

    /// Offers a request to the less loaded of two random queues, then to the other one.
    fn arrive(&mut self, request: usize) {
        let service = self.requests[request].kind.service;
        let count = self.services[service].len();
        let one = (self.uniform() * count as f64) as usize;
        let other = (one + 1 + (self.uniform() * (count - 1) as f64) as usize) % count;
        let now = self.instant(self.now);
        let mut load = |queue: usize| {
            let report = self.services[service][queue].report(now);
            report.running + report.waiting
        };
        let order = if load(other) < load(one) { [other, one] } else { [one, other] };
        for queue in order {
            if self.offer(request, queue) {
                return;
            }
        }
        self.refused(request);
    }

    /// Whether a run may begin at a queue, judged by its calls.
    fn may_begin(&mut self, request: usize, queue: usize) -> bool {
        let Request { kind, .. } = self.requests[request];
        let Some(call) = &kind.call else { return true };
        let now = self.instant(self.now);
        let load = self.services[kind.service][queue].report(now);
        if load.waiting == 0 && load.refused_priority.is_none() {
            return true;
        }
        let calls = [(name_of(call.kind), f64::from(call.count))];
        let pending_run = PendingRun {
            route: 0,
            priority: kind.priority,
            level: self.requests[request].level,
            calls: &calls,
        };
        self.failure_estimators.entry((kind.service, queue)).or_default().begin_run(now, &pending_run).is_ok()
    }

    /// Offers a request to a queue. Returns `false` if it is refused.
    fn offer(&mut self, request: usize, queue: usize) -> bool {
        if !self.may_begin(request, queue) {
            return false;
        }
        let item = self.item(request);
        let (service, now) = (self.requests[request].kind.service, self.instant(self.now));
        self.requests[request].queue = (service, queue);
        match self.services[service][queue].offer(now, item) {
            Decision::Start => self.start(request),
            Decision::Wait(ticket) => {
                self.waiting.insert((service, queue, ticket), request);
                let end = item.queue_deadline.min(item.deadline).duration_since(self.epoch);
                self.at(end.as_millis() as u64, Event::TimeOut(request, ticket));
            }
            Decision::Refuse(_) => return false,
        }
        true
    }

    fn item(&self, request: usize) -> WorkItem {
        let Request { kind, sent, run, is_caller_retry, .. } = &self.requests[request];
        let run = run.map(|run| &self.requests[run]);
        let run_deadline = run.map_or(u64::MAX, |run| run.sent + run.kind.deadline);
        let run_priority = run.map_or(u8::MAX, |run| run.kind.priority);
        let bounds = WaitBounds {
            arrived: self.instant(*sent),
            objective: Duration::from_millis(kind.objective),
            deadline: self.instant(run_deadline.min(sent + kind.deadline)),
            caller_timeout: Duration::from_millis(kind.deadline),
            dependent: if run.is_some() { Dependent::Requests } else { Dependent::Caller },
        };
        let slot_time = self.slot_times.get(kind.name).copied().unwrap_or(kind.work as f64);
        let service = Duration::from_secs_f64(slot_time / 1e3);
        WorkItem {
            priority: run_priority.min(kind.priority),
            objective_at: bounds.arrived + bounds.objective,
            deadline: bounds.deadline,
            queue_deadline: bounds.queue_deadline(),
            max_queue_wait: bounds.max_queue_wait(self.instant(self.now), service),
            service,
            is_caller_retry: *is_caller_retry,
            tenant: None,
            call: run.map(|run| run.level),
        }
    }

    fn start(&mut self, request: usize) {
        let work = self.requests[request].kind.work as f64 * (0.7 + 0.6 * self.uniform());
        self.requests[request].started = self.now;
        self.at(self.now + work as u64, Event::WorkDone(request));
    }

    /// Makes the calls of a run whose own work is done.
    fn finish_work(&mut self, request: usize) {
        let Request { kind, queue, .. } = self.requests[request];
        let Some(call) = &kind.call else { return self.end(request, true) };
        let has_called = self.uniform() < call.share;
        self.failure_estimators.entry(queue).or_default().record_run(0, has_called);
        if !has_called {
            return self.end(request, true);
        }
        self.requests[request].open_calls = call.count;
        for _ in 0..call.count {
            let made = self.request(call.kind, self.now, Some(request));
            self.at(self.now, Event::Arrive(made));
        }
    }

    /// Ends a request that had a slot.
    fn end(&mut self, request: usize, is_good: bool) {
        let Request { kind, queue: (service, queue), started, .. } = self.requests[request];
        let taken = self.now - started;
        let mean = self.slot_times.entry(kind.name).or_insert(taken as f64);
        *mean += 0.05 * (taken as f64 - *mean);
        let taken = Some(Duration::from_millis(taken));
        let work_queue = &mut self.services[service][queue];
        match self.requests[request].run {
            Some(_) => work_queue.finish_call(taken),
            None => work_queue.finish(taken),
        }
        self.start_waiting(service, queue);
        self.complete(request, is_good);
    }

    fn start_waiting(&mut self, service: usize, queue: usize) {
        let now = self.instant(self.now);
        while let Some(started) = self.services[service][queue].start_next(now) {
            match started {
                Dequeued::Run(ticket) => {
                    let request = self.waiting.remove(&(service, queue, ticket));
                    self.start(request.expect("it waits"));
                }
                Dequeued::Expire(ticket) => {
                    let request = self.waiting.remove(&(service, queue, ticket));
                    self.refused(request.expect("it waits"));
                }
            }
        }
    }

    fn time_out(&mut self, request: usize, ticket: Ticket) {
        let (service, queue) = self.requests[request].queue;
        if self.waiting.remove(&(service, queue, ticket)).is_some() {
            self.services[service][queue].withdraw(ticket);
            self.refused(request);
        }
    }

    /// Retries a refused request once; calls are not retried.
    fn refused(&mut self, request: usize) {
        let Request { kind, first_sent, run, is_caller_retry, .. } = self.requests[request];
        let left = (first_sent + kind.deadline).saturating_sub(self.now);
        if run.is_some() || is_caller_retry || left == 0 {
            return self.complete(request, false);
        }
        let next = self.now + (left as f64 * RETRY_DELAY_SHARE) as u64;
        self.requests[request].is_caller_retry = true;
        self.requests[request].sent = next;
        self.at(next, Event::Arrive(request));
    }

    /// Reports the result of a request to the run that made it, or counts it.
    fn complete(&mut self, request: usize, is_good: bool) {
        let Request { kind, first_sent, run, .. } = self.requests[request];
        if let Some(run) = run {
            let Request { kind: run_kind, queue, .. } = self.requests[run];
            let end = if is_good { CallOutcome::Run } else { CallOutcome::Overloaded };
            let now = self.instant(self.now);
            self.failure_estimators.entry(queue).or_default().record_call(
                now,
                &name_of(kind),
                run_kind.priority,
                self.requests[run].level,
                end,
            );
            self.requests[run].has_failed_call |= !is_good;
            self.requests[run].open_calls -= 1;
            if self.requests[run].open_calls == 0 {
                self.end(run, !self.requests[run].has_failed_call);
            }
            return;
        }
        if first_sent < WARM_UP_MILLIS {
            return;
        }
        let tally = self.tallies.entry(kind.name).or_default();
        tally.sent += 1;
        match () {
            () if !is_good => tally.failed += 1,
            () if self.now <= first_sent + kind.objective => tally.in_time += 1,
            () => tally.late += 1,
        }
    }

    fn at(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at.max(self.now), self.sequence, event)));
    }

    fn instant(&self, millis: u64) -> Instant {
        self.epoch + Duration::from_millis(millis)
    }

    /// A random number in the range from 0 (excluded) to 1.
    fn uniform(&mut self) -> f64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.random >> 33) + 1) as f64 / (1_u64 << 31) as f64
    }
}

impl fmt::Display for Replay {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "goodput {:.0}", self.goodput())?;
        for (name, Tally { sent, in_time, late, failed }) in &self.tallies {
            write!(formatter, "; {name}: {in_time} of {sent} in time, {late} late, {failed} failed")?;
        }
        Ok(())
    }
}

fn name_of(kind: &Kind) -> ServiceName {
    ServiceName::new(&format!("service-{}", kind.service)).expect("a name")
}

fn open_queue() -> WorkQueue {
    let mut queue = WorkQueue::new();
    queue.reserve_slots_for_calls(true);
    queue.set_slots(QUEUE_SLOTS);
    queue.open();
    queue
}
