//! One pass of requests over callers' nodes and back ends that are uneven, on virtual time.

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
/// Back ends of each zone; as many nodes call them.
const NODES_OF_ZONE: usize = 8;
const NODES: usize = ZONES.len() * NODES_OF_ZONE;
const WORK: Duration = Duration::from_millis(58);
/// Standard deviation of the logarithm of the work.
const WORK_SPREAD: f64 = 0.5;
/// Share of the requests that take many times as long as others.
const TAIL_SHARE: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;
const OBJECTIVE: Duration = Duration::from_millis(250);
const DEADLINE: Duration = Duration::from_millis(600);
/// Way of a request from node to node.
const HOP: Duration = Duration::from_millis(2);
/// Length of a spell in which a back end is slow, or not.
const SPELL: Duration = Duration::from_millis(600);
const SLOW_SHARE: f64 = 0.15;
const SLOW_PERCENT: u16 = 250;
/// Requests that come before this are not counted: nothing is known of the back ends yet.
const WARM_UP: Duration = Duration::from_secs(5);
const END: Duration = Duration::from_secs(25);
/// As [`umberpond_forwarding`] has them: when a refusal is early, when an answer has to be expected, and how long a request is held.
const EARLY_SHARE: f64 = 0.2;
const EXPECTED_SHARE: f64 = 0.55;
const HOLD_SHARE: f64 = 0.45;
const BLIND_ATTEMPTS: usize = 2;
const MAX_ATTEMPTS: usize = 8;

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Work that comes, as a share of what all slots can do.
    pub share: f64,
    /// Speeds of the back ends of a zone, by turns.
    pub speeds: [f64; 4],
    /// Whether back ends are slow in spells.
    pub has_spells: bool,
    /// Whether they tell.
    pub tells: bool,
    /// Whether callers' nodes take in what is told; if not, only the nodes beside the back ends do.
    pub reaches_callers: bool,
    /// Time between two reports of a node to all others.
    pub news_every: Duration,
    pub draw: SamplingSettings,
    pub seed: u64,
}

/// What became of the requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub in_time: u32,
    pub late: u32,
    /// Of those, the ones that would have been in time at another back end of their caller's zone which had a free slot when they were
    /// handed over.
    pub avoidable: u32,
    pub refused: u32,
    pub attempts: u32,
    /// Attempts refused since the back end was slow.
    pub slowed: u32,
}

#[derive(Debug, Clone)]
struct Request {
    caller: usize,
    arrived: Duration,
    work: Duration,
    tried: Vec<NodeName>,
    /// Where it is, and what is expected there.
    at: usize,
    service: Duration,
    started: Duration,
    is_avoidable: bool,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Next,
    Ask(usize),
    Offer(usize),
    Hold(usize, Ticket),
    Finish(usize),
    News(usize),
}

struct BackEnd {
    queue: WorkQueue,
    speed: f64,
    running: u32,
    waiting: BTreeMap<Ticket, usize>,
}

impl Tally {
    pub fn plus(self, other: Self) -> Self {
        Self {
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            avoidable: self.avoidable + other.avoidable,
            refused: self.refused + other.refused,
            attempts: self.attempts + other.attempts,
            slowed: self.slowed + other.slowed,
        }
    }
}

/// The pass.
pub struct Replay {
    load: Load,
    epoch: Instant,
    now: Duration,
    /// Draws what comes; the same whatever is chosen.
    arrivals: ChaCha8Rng,
    /// Draws for choices.
    random: ChaCha8Rng,
    steps: BTreeMap<(Duration, u64), Step>,
    planned: u64,
    callers: Vec<Selector>,
    back_ends: Vec<BackEnd>,
    requests: Vec<Request>,
    service: ServiceName,
    route: RouteName,
    tally: Tally,
}

/// Plays `load` to its end.
pub fn play(load: Load) -> Tally {
    let mut replay = Replay::new(load);
    replay.run();
    replay.tally
}

impl Replay {
    fn new(load: Load) -> Self {
        let epoch = Instant::now();
        let service = parsed("archive");
        let endpoints: Vec<Endpoint> = (0..NODES).map(endpoint).collect();
        let callers = (0..NODES).map(|number| {
            let settings = SelectorSettings { draw: load.draw, ..SelectorSettings::default() };
            let mut selector = Selector::new(endpoints[number].locality.clone(), settings);
            selector.set_endpoints(epoch, &service, endpoints.clone());
            selector
        });
        let back_ends = (0..NODES).map(|number| {
            let mut queue = WorkQueue::new();
            queue.set_slots(SLOTS);
            queue.open();
            let speed = load.speeds[number / ZONES.len() % load.speeds.len()];
            BackEnd { queue, speed, running: 0, waiting: BTreeMap::new() }
        });
        let mut replay = Self {
            load,
            epoch,
            now: Duration::ZERO,
            arrivals: ChaCha8Rng::seed_from_u64(load.seed),
            random: ChaCha8Rng::seed_from_u64(!load.seed),
            steps: BTreeMap::new(),
            planned: 0,
            callers: callers.collect(),
            back_ends: back_ends.collect(),
            requests: Vec::new(),
            service,
            route: parsed("route"),
            tally: Tally::default(),
        };
        replay.plan(Duration::ZERO, Step::Next);
        for number in 0..NODES {
            let first = load.news_every.mul_f64(replay.random.random());
            replay.plan(first, Step::News(number));
        }
        replay
    }

    fn run(&mut self) {
        while let Some(((at, _), step)) = self.steps.pop_first() {
            self.now = at;
            match step {
                Step::Next => self.on_next(),
                Step::Ask(request) => self.on_ask(request),
                Step::Offer(request) => self.on_offer(request),
                Step::Hold(request, ticket) => self.on_hold(request, ticket),
                Step::Finish(request) => self.on_finish(request),
                Step::News(number) => self.on_news(number),
            }
        }
    }

    fn plan(&mut self, after: Duration, step: Step) {
        self.planned += 1;
        self.steps.insert((self.now + after, self.planned), step);
    }

    fn at(&self) -> Instant {
        self.epoch + self.now
    }

    /// A new request, and the time of the one after it.
    fn on_next(&mut self) {
        if self.now > END {
            return;
        }
        let request = Request {
            caller: self.arrivals.random_range(0..NODES),
            arrived: self.now,
            work: draw_work(&mut self.arrivals),
            tried: Vec::new(),
            at: 0,
            service: Duration::ZERO,
            started: Duration::ZERO,
            is_avoidable: false,
        };
        self.requests.push(request);
        self.on_ask(self.requests.len() - 1);
        let speed: f64 = self.back_ends.iter().map(|back_end| back_end.speed).sum();
        let per_second = speed * f64::from(SLOTS) / WORK.as_secs_f64() * self.load.share;
        let pause = -(1.0 - self.arrivals.random::<f64>()).ln() / per_second;
        self.plan(Duration::from_secs_f64(pause), Step::Next);
    }

    fn on_ask(&mut self, number: usize) {
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
        self.tally.attempts += u32::from(self.now >= WARM_UP);
        self.plan(HOP, Step::Offer(number));
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

    fn on_offer(&mut self, number: usize) {
        let (now, item) = (self.at(), self.item(number));
        let at = self.requests[number].at;
        match self.back_ends[at].queue.offer(now, item) {
            Decision::Start => self.start(number),
            Decision::Wait(ticket) => {
                self.back_ends[at].waiting.insert(ticket, number);
                let hold = (item.queue_deadline - self.epoch).saturating_sub(self.now);
                self.plan(hold, Step::Hold(number, ticket));
            }
            Decision::Refuse(refusal) => {
                let is_slowed = matches!(refusal, Refusal::BackEndSlow { .. });
                self.tally.slowed += u32::from(is_slowed && self.now >= WARM_UP);
                self.on_refused(number);
                self.plan(HOP, Step::Ask(number));
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
            self.back_ends[other].running < SLOTS && self.time_at(other, request.work) + HOP * 2 <= left
        });
        let request = &mut self.requests[number];
        request.started = self.now;
        request.is_avoidable = has_better && taken > left;
        let at = request.at;
        self.back_ends[at].running += 1;
        self.plan(taken, Step::Finish(number));
    }

    fn on_hold(&mut self, number: usize, ticket: Ticket) {
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
        if self.load.tells {
            queue.slowdown().on_word(now, percent).expect("a sensible figure");
        }
        let usual = queue.slowdown().normalized_time(now, taken);
        queue.finish(Some(usual));
        let mut report = queue.report(now);
        if !self.load.reaches_callers {
            report.slowdown_percent = 0;
        }
        let node = name_of(request.at);
        let caller = &mut self.callers[request.caller];
        caller.on_ended(now, &self.service, &node, Observation::Answered(report));
        let times = ResponseTimes { served: taken, overhead: HOP * 2 };
        caller.on_response_times(now, &self.service, &self.route, &node, times);
        self.count(&request);
        self.start_waiting(request.at);
    }

    fn start_waiting(&mut self, at: usize) {
        let now = self.at();
        while let Some(started) = self.back_ends[at].queue.start_next(now) {
            let (Dequeued::Run(ticket) | Dequeued::Expire(ticket)) = started;
            let number = self.back_ends[at].waiting.remove(&ticket).expect("it waits");
            match started {
                Dequeued::Run(_) => self.start(number),
                Dequeued::Expire(_) => self.on_refused(number),
            }
        }
    }

    fn on_news(&mut self, number: usize) {
        if self.now > END {
            return;
        }
        let now = self.at();
        let mut report = self.back_ends[number].queue.report(now);
        if !self.load.reaches_callers {
            report.slowdown_percent = 0;
        }
        for caller in &mut self.callers {
            caller.on_fresh_report(now, &self.service, &name_of(number), report);
        }
        self.plan(self.load.news_every, Step::News(number));
    }

    fn on_refused(&mut self, number: usize) {
        let (now, at) = (self.at(), self.requests[number].at);
        let mut report = self.back_ends[at].queue.report(now);
        if !self.load.reaches_callers {
            report.slowdown_percent = 0;
        }
        let caller = &mut self.callers[self.requests[number].caller];
        caller.on_ended(now, &self.service, &name_of(at), Observation::Refused(report));
    }

    fn give_up(&mut self, number: usize) {
        self.tally.refused += u32::from(self.requests[number].arrived >= WARM_UP);
    }

    fn count(&mut self, request: &Request) {
        if request.arrived < WARM_UP {
            return;
        }
        let is_late = self.now - request.arrived > OBJECTIVE;
        self.tally.late += u32::from(is_late);
        self.tally.avoidable += u32::from(is_late && request.is_avoidable);
        self.tally.in_time += u32::from(!is_late);
    }

    fn time_at(&self, at: usize, work: Duration) -> Duration {
        let slowdown = f64::from(self.percent(at)) / 100.0;
        work.mul_f64(slowdown / self.back_ends[at].speed)
    }

    /// Hundredths of the usual time that work takes there now.
    fn percent(&self, at: usize) -> u16 {
        let spell = (self.now.as_secs_f64() / SPELL.as_secs_f64() + at as f64 / NODES as f64) as u64;
        let mut drawn = ChaCha8Rng::seed_from_u64(self.load.seed ^ spell << 8 ^ (at as u64) << 40);
        let is_slow = self.load.has_spells && drawn.random::<f64>() < SLOW_SHARE;
        if is_slow { SLOW_PERCENT } else { 100 }
    }
}

/// About lognormal; some take many times as long.
fn draw_work(random: &mut ChaCha8Rng) -> Duration {
    let normal = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    let ratio = (WORK_SPREAD * normal - WORK_SPREAD.powi(2) / 2.0).exp();
    let is_tail = random.random::<f64>() < TAIL_SHARE;
    let factor = if is_tail { TAIL_FACTOR } else { 1.0 };
    WORK.mul_f64(ratio * factor / (1.0 + TAIL_SHARE * (TAIL_FACTOR - 1.0)))
}

fn parsed<N: std::str::FromStr>(text: &str) -> N {
    text.parse().ok().expect("a valid name")
}

fn name_of(number: usize) -> NodeName {
    parsed(&format!("node-{number}"))
}

fn number_of(node: &NodeName) -> usize {
    node.as_str().trim_start_matches("node-").parse().expect("a node of this load")
}

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        node: name_of(number),
        address: "10.0.0.1:80".parse().expect("an address"),
        locality: Locality { region: parsed("north"), zone: parsed(ZONES[number % ZONES.len()]) },
        instance: format!("life-of-{number}"),
        release: None,
        slots: SLOTS,
        is_cold: false,
    }
}
