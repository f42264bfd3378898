//! A discrete-event model that compares ways of choosing an endpoint on the same schedule of requests.
//!
//! Callers on edge nodes send requests to a few endpoints with slots and a first-come queue. Time is virtual, in
//! microseconds; nothing here is a measurement of real time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use rand::{Rng, RngExt};
use umberpond_balance::{
    Balancer, BalancerSettings, EndpointReport, LoadReport, Observation, Picked, RequestResult, Strategy,
};
use umberpond_model::{EndpointStatus, Incarnation, Locality, Millis, Timestamp};

use super::{filter_with_slots, locality, record, seeded};

const MICROS_PER_MILLI: u64 = 1_000;
/// Cost of a new connection, in microseconds.
const CONNECT: u64 = 1_000;
/// Time between two looks at how evenly the work is spread, in microseconds.
const SAMPLE: u64 = 50_000;

/// Step between the ring places of successive callers, so that the busy ones don't sit side by side. Shares no
/// divisor with the numbers of callers used here.
const SPREAD: usize = 7;

/// What is wrong with the first endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// It takes three times as long for each request.
    Slow,
    /// It always reports that it holds one request, and takes twice as long.
    Misleading,
}

/// A way of choosing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// One of the balancer's strategies over all endpoints.
    Plain(Strategy),
    /// Power of two choices that never hears a load report.
    LocalLoadOnly,
    /// Power of two choices inside a fixed subset a caller, laid out on a ring as in "Deterministic Aperture".
    Aperture(usize),
}

/// One deployment and its schedule.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Number of endpoints.
    pub endpoints: usize,
    /// Requests an endpoint runs at once.
    pub slots: u32,
    /// Number of callers; the n-th sends in proportion to 1/n.
    pub callers: usize,
    /// Mean service time, in microseconds.
    pub service: u64,
    /// One way between zones, in microseconds.
    pub link: u64,
    /// Share of all slots in use at the height of the rush.
    pub peak: f64,
    /// Length of the schedule, in microseconds. The rush is its middle third.
    pub length: u64,
    /// Whether callers sit in the endpoints' zones, so that the near endpoint comes first.
    pub zonal: bool,
}

/// Figures of one run.
#[derive(Debug, Clone, Copy)]
pub struct Figures {
    /// Median latency, in milliseconds.
    pub p50: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99: f64,
    /// Busiest endpoint's outstanding work over the mean, averaged over time (1 is perfectly even).
    pub evenness: f64,
    /// Connections held open at the end.
    pub connections: usize,
    /// Connections of the endpoint that has most.
    pub most_connections: usize,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Send,
    Reach(usize),
    Served(usize),
    Answer(usize),
    Sample,
}

struct Request {
    caller: usize,
    endpoint: usize,
    sent: u64,
    held: u32,
    picked: Option<Picked>,
}

#[derive(Default)]
struct Server {
    running: u32,
    queue: VecDeque<usize>,
}

#[derive(Default, Clone)]
struct Pool {
    idle: u32,
    open: usize,
}

struct Model<'a> {
    scenario: &'a Scenario,
    fault: Fault,
    hears_reports: bool,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    balancers: Vec<Balancer>,
    caller_shares: Vec<f64>,
    servers: Vec<Server>,
    pools: Vec<Vec<Pool>>,
    requests: Vec<Request>,
    latencies: Vec<u64>,
    spreads: Vec<f64>,
}

/// Runs `scenario` once. The schedule of requests depends on `seed` only, not on the way of choosing.
pub fn run(scenario: &Scenario, fault: Fault, way: Way, seed: u64) -> Figures {
    let mut model = Model::new(scenario, fault, way);
    model.schedule(0, Event::Send);
    model.schedule(SAMPLE, Event::Sample);
    let mut arrivals = seeded(seed);
    let mut choices = seeded(seed + 1);
    while let Some(Reverse((at, _, event))) = model.events.pop() {
        model.now = at;
        match event {
            Event::Send => model.send(&mut arrivals, &mut choices),
            Event::Reach(request) => model.reach(request, &mut choices),
            Event::Served(request) => model.served(request, &mut choices),
            Event::Answer(request) => model.answer(request),
            Event::Sample => model.sample(),
        }
    }
    model.figures()
}

fn zone(number: usize) -> Locality {
    locality("eu-north", &format!("hall-{number}"))
}

/// The endpoints that caller `caller` may choose from.
fn subset(scenario: &Scenario, way: Way, caller: usize) -> Vec<usize> {
    let Way::Aperture(width) = way else { return (0..scenario.endpoints).collect() };
    let place = caller * SPREAD % scenario.callers;
    let start = place * scenario.endpoints / scenario.callers;
    (0..width).map(|offset| (start + offset) % scenario.endpoints).collect()
}

impl<'a> Model<'a> {
    fn new(scenario: &'a Scenario, fault: Fault, way: Way) -> Self {
        let strategy = if let Way::Plain(strategy) = way { strategy } else { Strategy::PowerOfTwoChoices };
        let balancer = |caller: usize| {
            let settings = BalancerSettings { strategy, ..Default::default() };
            let own = if scenario.zonal { zone(caller % scenario.endpoints) } else { zone(99) };
            let balancer = Balancer::new(own, settings);
            let records =
                subset(scenario, way, caller).into_iter().map(|number| record(number, &zone(number)));
            balancer
                .update(Timestamp(0), filter_with_slots(&["eu-north"], scenario.slots).allow_all(records));
            balancer
        };
        let total: f64 = (1..=scenario.callers).map(|rank| 1.0 / rank as f64).sum();
        Self {
            scenario,
            fault,
            hears_reports: way != Way::LocalLoadOnly,
            now: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            balancers: (0..scenario.callers).map(balancer).collect(),
            caller_shares: (1..=scenario.callers).map(|rank| 1.0 / rank as f64 / total).collect(),
            servers: (0..scenario.endpoints).map(|_| Server::default()).collect(),
            pools: vec![vec![Pool::default(); scenario.endpoints]; scenario.callers],
            requests: Vec::new(),
            latencies: Vec::new(),
            spreads: Vec::new(),
        }
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + after, self.event_count, event)));
    }

    fn timestamp(&self) -> Timestamp {
        Timestamp(self.now / MICROS_PER_MILLI)
    }

    /// Share of the slots that the schedule asks for now: half the peak, and the peak in the middle third.
    fn utilisation(&self) -> f64 {
        let third = self.scenario.length / 3;
        let is_rush = (third..2 * third).contains(&self.now);
        if is_rush { self.scenario.peak } else { self.scenario.peak / 2.0 }
    }

    fn send(&mut self, arrivals: &mut impl Rng, choices: &mut impl Rng) {
        let slots = self.scenario.endpoints as f64 * f64::from(self.scenario.slots);
        let per_micro = slots * self.utilisation() / self.scenario.service as f64;
        let gap = -(1.0 - arrivals.random::<f64>()).ln() / per_micro;
        let caller = self.draw_caller(arrivals.random::<f64>());
        if self.now < self.scenario.length {
            self.schedule(gap as u64, Event::Send);
        }
        let picked = self.balancers[caller].pick(self.timestamp(), choices, &[]).expect("an endpoint");
        let number = picked.node().as_str().trim_start_matches("node-").parse().expect("a number");
        let request = Request { caller, endpoint: number, sent: self.now, held: 0, picked: Some(picked) };
        self.requests.push(request);
        let connect = self.take_connection(caller, number);
        self.schedule(connect + self.link_to(caller, number), Event::Reach(self.requests.len() - 1));
    }

    fn draw_caller(&self, mut point: f64) -> usize {
        for (caller, share) in self.caller_shares.iter().enumerate() {
            point -= share;
            if point <= 0.0 {
                return caller;
            }
        }
        self.caller_shares.len() - 1
    }

    fn take_connection(&mut self, caller: usize, endpoint: usize) -> u64 {
        let pool = &mut self.pools[caller][endpoint];
        if pool.idle > 0 {
            pool.idle -= 1;
            return 0;
        }
        pool.open += 1;
        CONNECT
    }

    fn link_to(&self, caller: usize, endpoint: usize) -> u64 {
        let is_near = self.scenario.zonal && caller % self.scenario.endpoints == endpoint;
        if is_near { self.scenario.link / 5 } else { self.scenario.link }
    }

    fn reach(&mut self, request: usize, rng: &mut impl Rng) {
        let endpoint = self.requests[request].endpoint;
        let server = &mut self.servers[endpoint];
        if server.running >= self.scenario.slots {
            server.queue.push_back(request);
            return;
        }
        self.start(request, rng);
    }

    fn start(&mut self, request: usize, rng: &mut impl Rng) {
        let endpoint = self.requests[request].endpoint;
        self.servers[endpoint].running += 1;
        let factor = match self.fault {
            Fault::Slow if endpoint == 0 => 3.0,
            Fault::Misleading if endpoint == 0 => 2.0,
            _ => 1.0,
        };
        let exponential = -(1.0 - rng.random::<f64>()).ln();
        let service = self.scenario.service as f64 * factor * (0.5 + 0.5 * exponential);
        self.schedule(service as u64, Event::Served(request));
    }

    fn served(&mut self, request: usize, rng: &mut impl Rng) {
        let Request { caller, endpoint, .. } = self.requests[request];
        self.schedule(self.link_to(caller, endpoint), Event::Answer(request));
        let server = &mut self.servers[endpoint];
        self.requests[request].held = server.running + server.queue.len() as u32;
        server.running -= 1;
        if let Some(next) = self.servers[endpoint].queue.pop_front() {
            self.start(next, rng);
        }
    }

    fn answer(&mut self, request: usize) {
        let now = self.timestamp();
        let Request { caller, endpoint, sent, held, .. } = self.requests[request];
        let latency = self.now - sent;
        self.latencies.push(latency);
        self.pools[caller][endpoint].idle += 1;
        let is_misleading = self.fault == Fault::Misleading && endpoint == 0;
        let outstanding = if is_misleading { 1 } else { held };
        let report = EndpointReport {
            incarnation: Incarnation(1),
            sequence: Some(1),
            status: EndpointStatus::Ready,
            load: self.hears_reports.then_some(LoadReport { outstanding, slots: self.scenario.slots }),
        };
        let observation = Observation {
            result: RequestResult::Answered,
            latency: Duration::from_micros(latency),
            report: Some(report),
        };
        let picked = self.requests[request].picked.take().expect("answered once");
        picked.finish(now, observation);
    }

    fn sample(&mut self) {
        let held = |server: &Server| f64::from(server.running) + server.queue.len() as f64;
        let total: f64 = self.servers.iter().map(held).sum();
        let most = self.servers.iter().map(held).fold(0.0, f64::max);
        if total > 0.0 {
            self.spreads.push(most * self.servers.len() as f64 / total);
        }
        if self.now < self.scenario.length {
            self.schedule(SAMPLE, Event::Sample);
        }
    }

    fn figures(mut self) -> Figures {
        self.latencies.sort_unstable();
        let at = |share: f64| {
            let index = ((self.latencies.len() - 1) as f64 * share) as usize;
            self.latencies[index] as f64 / MICROS_PER_MILLI as f64
        };
        let of_endpoint = |endpoint: usize| self.pools.iter().map(|pools| pools[endpoint].open).sum();
        let open: Vec<usize> = (0..self.scenario.endpoints).map(of_endpoint).collect();
        Figures {
            p50: at(0.5),
            p99: at(0.99),
            evenness: self.spreads.iter().sum::<f64>() / self.spreads.len() as f64,
            connections: open.iter().sum(),
            most_connections: open.iter().copied().max().unwrap_or(0),
        }
    }
}

/// Gridwell's solver: four upstreams of 20 slots, four halls 1.5 ms apart.
pub fn gridwell(length: Millis) -> Scenario {
    Scenario {
        endpoints: 4,
        slots: 20,
        callers: 24,
        service: 20_000,
        link: 1_500,
        peak: 0.75,
        length: length.0 * MICROS_PER_MILLI,
        zonal: false,
    }
}

/// The activation platform's activator: three upstreams of 10 slots, three zones 1 ms apart.
pub fn tasmania(length: Millis) -> Scenario {
    Scenario { endpoints: 3, slots: 10, callers: 18, service: 40_000, link: 1_000, ..gridwell(length) }
}
