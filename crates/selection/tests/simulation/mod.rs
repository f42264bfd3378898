//! Simulates requests between calling nodes and back ends of unequal speed, in virtual time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberpond_model::{HomeRegions, Locality, NodeName, RouteName, ServiceName};
use umberpond_scheduling::{Decision, Dequeued, Refusal, Ticket, WorkItem, WorkQueue};
use umberpond_selection::{
    Choice, Endpoint, Observation, Query, ReleaseGroup, ResponseTimes, SamplingSettings, Selector,
    SelectorSettings,
};

const SLOTS: u32 = 4;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Number of back ends per zone; as many nodes call them.
const NODES_OF_ZONE: usize = 8;
const NODES: usize = ZONES.len() * NODES_OF_ZONE;
const MEAN_WORK: Duration = Duration::from_millis(58);
/// Standard deviation of the logarithm of the service time.
const WORK_SPREAD: f64 = 0.5;
/// Share of the requests that take several times as long as others.
const TAIL_SHARE: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;
const OBJECTIVE: Duration = Duration::from_millis(250);
const DEADLINE: Duration = Duration::from_millis(600);
/// One-way latency between two nodes.
const HOP_LATENCY: Duration = Duration::from_millis(2);
/// Length of the intervals in which a back end is either slow or not.
const SLOW_INTERVAL: Duration = Duration::from_millis(600);
const SLOW_SHARE: f64 = 0.15;
const SLOW_PERCENT: u16 = 250;
/// Requests that arrive before this time are not counted, since the back ends are still unknown.
const WARM_UP: Duration = Duration::from_secs(5);
const END: Duration = Duration::from_secs(25);
/// Values of [`umberpond_forwarding`]: until when a refusal counts as early, when a response must be
/// expected, and how long a request is held in a queue.
const EARLY_SHARE: f64 = 0.2;
const EXPECTED_SHARE: f64 = 0.55;
const HOLD_SHARE: f64 = 0.45;
const BLIND_ATTEMPTS: usize = 2;
const MAX_ATTEMPTS: usize = 8;

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Offered load as a share of the capacity of all slots.
    pub share: f64,
    /// Speeds of the back ends of a zone, assigned in turn.
    pub speeds: [f64; 4],
    /// Whether back ends are slow in some intervals.
    pub has_slow_intervals: bool,
    /// Whether back ends report their slowdown.
    pub reports_slowdown: bool,
    /// Whether calling nodes receive the reported slowdown; if not, only the nodes in front of the back ends
    /// do.
    pub callers_get_slowdown: bool,
    /// Interval between two load reports of a node to all others.
    pub report_interval: Duration,
    pub sampling: SamplingSettings,
    pub seed: u64,
}

/// Outcomes of the requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcomes {
    pub in_time: u32,
    pub late: u32,
    /// Late requests that would have been in time at another back end of the caller's zone which had a free
    /// slot when they started.
    pub avoidable: u32,
    pub refused: u32,
    pub attempts: u32,
    /// Attempts refused because the back end was slow.
    pub refused_as_slow: u32,
}

#[derive(Debug, Clone)]
struct Request {
    caller: usize,
    arrived: Duration,
    work: Duration,
    tried: Vec<NodeName>,
    /// Current node, and the service time expected there.
    at: usize,
    service: Duration,
    started: Duration,
    is_avoidable: bool,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    NextRequest,
    Send(usize),
    Arrive(usize),
    QueueTimeout(usize, Ticket),
    Finish(usize),
    SendReport(usize),
}

struct BackEnd {
    queue: WorkQueue,
    speed: f64,
    running: u32,
    waiting: BTreeMap<Ticket, usize>,
}

impl Outcomes {
    pub fn add(self, other: Self) -> Self {
        Self {
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            avoidable: self.avoidable + other.avoidable,
            refused: self.refused + other.refused,
            attempts: self.attempts + other.attempts,
            refused_as_slow: self.refused_as_slow + other.refused_as_slow,
        }
    }
}

/// State of a simulation.
pub struct Simulation {
    scenario: Scenario,
    epoch: Instant,
    now: Duration,
    /// Generates the requests; the sequence does not depend on the selections.
    arrivals: ChaCha8Rng,
    /// Random numbers for the selections.
    random: ChaCha8Rng,
    events: BTreeMap<(Duration, u64), Event>,
    last_sequence: u64,
    callers: Vec<Selector>,
    back_ends: Vec<BackEnd>,
    requests: Vec<Request>,
    service: ServiceName,
    route: RouteName,
    outcomes: Outcomes,
}

/// Runs the simulation to its end.
pub fn simulate(scenario: Scenario) -> Outcomes {
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    simulation.outcomes
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let epoch = Instant::now();
        let service = parsed("archive");
        let endpoints: Vec<Endpoint> = (0..NODES).map(endpoint).collect();
        let callers = (0..NODES).map(|number| {
            let settings = SelectorSettings { sampling: scenario.sampling, ..SelectorSettings::default() };
            let mut selector = Selector::new(endpoints[number].locality.clone(), settings);
            selector.set_endpoints(epoch, &service, endpoints.clone());
            selector
        });
        let back_ends = (0..NODES).map(|number| {
            let mut queue = WorkQueue::new();
            queue.set_slots(SLOTS);
            queue.open();
            let speed = scenario.speeds[number / ZONES.len() % scenario.speeds.len()];
            BackEnd { queue, speed, running: 0, waiting: BTreeMap::new() }
        });
        let mut simulation = Self {
            scenario,
            epoch,
            now: Duration::ZERO,
            arrivals: ChaCha8Rng::seed_from_u64(scenario.seed),
            random: ChaCha8Rng::seed_from_u64(!scenario.seed),
            events: BTreeMap::new(),
            last_sequence: 0,
            callers: callers.collect(),
            back_ends: back_ends.collect(),
            requests: Vec::new(),
            service,
            route: parsed("route"),
            outcomes: Outcomes::default(),
        };
        simulation.schedule(Duration::ZERO, Event::NextRequest);
        for number in 0..NODES {
            let first = scenario.report_interval.mul_f64(simulation.random.random());
            simulation.schedule(first, Event::SendReport(number));
        }
        simulation
    }

    fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            match event {
                Event::NextRequest => self.on_next_request(),
                Event::Send(request) => self.on_send(request),
                Event::Arrive(request) => self.on_arrival(request),
                Event::QueueTimeout(request, ticket) => self.on_queue_timeout(request, ticket),
                Event::Finish(request) => self.on_finish(request),
                Event::SendReport(number) => self.on_send_report(number),
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.last_sequence += 1;
        self.events.insert((self.now + after, self.last_sequence), event);
    }

    fn at(&self) -> Instant {
        self.epoch + self.now
    }

    /// Creates a new request and schedules the next one.
    fn on_next_request(&mut self) {
        if self.now > END {
            return;
        }
        let request = Request {
            caller: self.arrivals.random_range(0..NODES),
            arrived: self.now,
            work: sample_work(&mut self.arrivals),
            tried: Vec::new(),
            at: 0,
            service: Duration::ZERO,
            started: Duration::ZERO,
            is_avoidable: false,
        };
        self.requests.push(request);
        self.on_send(self.requests.len() - 1);
        let speed: f64 = self.back_ends.iter().map(|back_end| back_end.speed).sum();
        let per_second = speed * f64::from(SLOTS) / MEAN_WORK.as_secs_f64() * self.scenario.share;
        let pause = -(1.0 - self.arrivals.random::<f64>()).ln() / per_second;
        self.schedule(Duration::from_secs_f64(pause), Event::NextRequest);
    }

    fn on_send(&mut self, number: usize) {
        let Some(choice) = self.choose(number) else { return self.give_up(number) };
        let tried = self.requests[number].tried.len();
        if tried >= MAX_ATTEMPTS || (tried > BLIND_ATTEMPTS && !choice.has_free_slot) {
            return self.give_up(number);
        }
        let request = &mut self.requests[number];
        request.at = number_of(&choice.node);
        request.service = choice.service;
        request.tried.push(choice.node.clone());
        self.callers[request.caller].on_sent(&self.service, &choice.node);
        self.outcomes.attempts += u32::from(self.now >= WARM_UP);
        self.schedule(HOP_LATENCY, Event::Arrive(number));
    }

    fn choose(&mut self, number: usize) -> Option<Choice> {
        let request = &self.requests[number];
        let query = Query {
            route: &self.route,
            tried: &request.tried,
            group: ReleaseGroup::Others,
            objective: OBJECTIVE,
            homes: &HomeRegions::default(),
        };
        let now = self.epoch + self.now;
        self.callers[request.caller].choose(now, &mut self.random, &self.service, query)
    }

    fn on_arrival(&mut self, number: usize) {
        let (now, item) = (self.at(), self.item(number));
        let at = self.requests[number].at;
        match self.back_ends[at].queue.offer(now, item) {
            Decision::Start => self.start(number),
            Decision::Wait(ticket) => {
                self.back_ends[at].waiting.insert(ticket, number);
                let hold = (item.queue_deadline - self.epoch).saturating_sub(self.now);
                self.schedule(hold, Event::QueueTimeout(number, ticket));
            }
            Decision::Refuse(refusal) => {
                let is_slow_refusal = matches!(refusal, Refusal::BackEndSlow { .. });
                self.outcomes.refused_as_slow += u32::from(is_slow_refusal && self.now >= WARM_UP);
                self.on_refused(number);
                self.schedule(HOP_LATENCY, Event::Send(number));
            }
        }
    }

    fn item(&self, number: usize) -> WorkItem {
        let request = &self.requests[number];
        let passed = self.now - request.arrived;
        let hold = DEADLINE.mul_f64(HOLD_SHARE).min(OBJECTIVE);
        let is_early = passed < OBJECTIVE.mul_f64(EARLY_SHARE);
        let max_queue_wait = if is_early {
            OBJECTIVE.mul_f64(EXPECTED_SHARE).saturating_sub(passed + request.service)
        } else {
            DEADLINE.saturating_sub(passed + request.service).min(hold.saturating_sub(passed))
        };
        let arrived = self.epoch + request.arrived;
        WorkItem {
            priority: 2,
            objective_at: arrived + OBJECTIVE,
            deadline: arrived + DEADLINE,
            queue_deadline: arrived + hold,
            max_queue_wait,
            service: request.service,
            is_caller_retry: false,
            tenant: None,
            call: None,
        }
    }

    fn start(&mut self, number: usize) {
        let request = &self.requests[number];
        let taken = self.time_at(request.at, request.work);
        let left = (request.arrived + OBJECTIVE).saturating_sub(self.now);
        let mut of_zone = (request.caller % ZONES.len()..NODES).step_by(ZONES.len());
        let has_better = of_zone.any(|other| {
            self.back_ends[other].running < SLOTS
                && self.time_at(other, request.work) + HOP_LATENCY * 2 <= left
        });
        let request = &mut self.requests[number];
        request.started = self.now;
        request.is_avoidable = has_better && taken > left;
        let at = request.at;
        self.back_ends[at].running += 1;
        self.schedule(taken, Event::Finish(number));
    }

    fn on_queue_timeout(&mut self, number: usize, ticket: Ticket) {
        let back_end = &mut self.back_ends[self.requests[number].at];
        if back_end.waiting.remove(&ticket).is_some() {
            back_end.queue.withdraw(ticket);
            self.on_refused(number);
            self.give_up(number);
        }
    }

    fn on_finish(&mut self, number: usize) {
        let request = self.requests[number].clone();
        let (now, percent) = (self.at(), self.percent(request.at));
        let taken = self.now - request.started;
        let BackEnd { queue, running, .. } = &mut self.back_ends[request.at];
        *running -= 1;
        if self.scenario.reports_slowdown {
            queue.slowdown().on_report(now, percent).expect("the slowdown should be valid");
        }
        let usual = queue.slowdown().normalized_time(now, taken);
        queue.finish(Some(usual));
        let mut report = queue.report(now);
        if !self.scenario.callers_get_slowdown {
            report.slowdown_percent = 0;
        }
        let node = name_of(request.at);
        let caller = &mut self.callers[request.caller];
        caller.on_ended(now, &self.service, &node, Observation::Answered(report));
        let times = ResponseTimes { served: taken, overhead: HOP_LATENCY * 2 };
        caller.on_response_times(now, &self.service, &self.route, &node, times);
        self.count(&request);
        self.start_waiting(request.at);
    }

    fn start_waiting(&mut self, at: usize) {
        let now = self.at();
        while let Some(started) = self.back_ends[at].queue.start_next(now) {
            let (Dequeued::Run(ticket) | Dequeued::Expire(ticket)) = started;
            let number = self.back_ends[at].waiting.remove(&ticket).expect("the ticket should be waiting");
            match started {
                Dequeued::Run(_) => self.start(number),
                Dequeued::Expire(_) => self.on_refused(number),
            }
        }
    }

    fn on_send_report(&mut self, number: usize) {
        if self.now > END {
            return;
        }
        let now = self.at();
        let mut report = self.back_ends[number].queue.report(now);
        if !self.scenario.callers_get_slowdown {
            report.slowdown_percent = 0;
        }
        for caller in &mut self.callers {
            caller.on_fresh_report(now, &self.service, &name_of(number), report);
        }
        self.schedule(self.scenario.report_interval, Event::SendReport(number));
    }

    fn on_refused(&mut self, number: usize) {
        let (now, at) = (self.at(), self.requests[number].at);
        let mut report = self.back_ends[at].queue.report(now);
        if !self.scenario.callers_get_slowdown {
            report.slowdown_percent = 0;
        }
        let caller = &mut self.callers[self.requests[number].caller];
        caller.on_ended(now, &self.service, &name_of(at), Observation::Refused(report));
    }

    fn give_up(&mut self, number: usize) {
        self.outcomes.refused += u32::from(self.requests[number].arrived >= WARM_UP);
    }

    fn count(&mut self, request: &Request) {
        if request.arrived < WARM_UP {
            return;
        }
        let is_late = self.now - request.arrived > OBJECTIVE;
        self.outcomes.late += u32::from(is_late);
        self.outcomes.avoidable += u32::from(is_late && request.is_avoidable);
        self.outcomes.in_time += u32::from(!is_late);
    }

    fn time_at(&self, at: usize, work: Duration) -> Duration {
        let slowdown = f64::from(self.percent(at)) / 100.0;
        work.mul_f64(slowdown / self.back_ends[at].speed)
    }

    /// Current service time of a back end in percent of the usual one.
    fn percent(&self, at: usize) -> u16 {
        let interval =
            (self.now.as_secs_f64() / SLOW_INTERVAL.as_secs_f64() + at as f64 / NODES as f64) as u64;
        let mut drawn = ChaCha8Rng::seed_from_u64(self.scenario.seed ^ interval << 8 ^ (at as u64) << 40);
        let is_slow = self.scenario.has_slow_intervals && drawn.random::<f64>() < SLOW_SHARE;
        if is_slow { SLOW_PERCENT } else { 100 }
    }
}

/// Returns an approximately lognormal service time; some are several times as long.
fn sample_work(random: &mut ChaCha8Rng) -> Duration {
    let normal = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    let ratio = (WORK_SPREAD * normal - WORK_SPREAD.powi(2) / 2.0).exp();
    let is_tail = random.random::<f64>() < TAIL_SHARE;
    let factor = if is_tail { TAIL_FACTOR } else { 1.0 };
    MEAN_WORK.mul_f64(ratio * factor / (1.0 + TAIL_SHARE * (TAIL_FACTOR - 1.0)))
}

fn parsed<N: std::str::FromStr>(text: &str) -> N {
    text.parse().ok().expect("the name should be valid")
}

fn name_of(number: usize) -> NodeName {
    parsed(&format!("node-{number}"))
}

fn number_of(node: &NodeName) -> usize {
    node.as_str().trim_start_matches("node-").parse().expect("the name should be that of a simulated node")
}

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        node: name_of(number),
        address: "10.0.0.1:80".parse().expect("the address should be valid"),
        locality: Locality { region: parsed("north"), zone: parsed(ZONES[number % ZONES.len()]) },
        instance: format!("process-of-{number}"),
        release: None,
        slots: SLOTS,
        is_cold: false,
        request_limit: None,
    }
}
