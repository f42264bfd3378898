//! Simulation of tenants' requests at several back ends, with real queues on a virtual clock.

mod gate;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use umberpond_model::TenantId;
use umberpond_scheduling::WorkItem;

use gate::{Gate, Leaving, Offered, QueueGate, ShardedGate};

/// Fraction of its objective within which an admitted request is expected to be answered.
const EXPECTED_RESPONSE_SHARE: f64 = 0.55;
/// Maximum fraction of the caller's timeout for which a request waits.
const MAX_QUEUE_TIMEOUT_SHARE: f64 = 0.45;

/// Deterministic pseudorandom numbers.
pub struct Random(u64);

impl Random {
    pub const fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number between 0 and 1.
    #[allow(clippy::cast_precision_loss)]
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    #[allow(clippy::cast_possible_truncation)]
    pub fn below(&mut self, count: usize) -> usize {
        (self.next() % count as u64) as usize
    }
}

/// Requests of one tenant to all back ends together.
#[derive(Debug, Clone, Copy)]
pub struct TenantLoad {
    /// Requests per second.
    pub rate: f64,
    /// Mean service time in seconds.
    pub service: f64,
    /// Start and end of sending, in seconds.
    pub sending_period: (f64, f64),
}

/// Admission strategy of the back ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// Queues without information about tenants.
    WithoutTenants,
    /// Queues with information about tenants.
    WithTenants,
    /// Shuffle sharding over a fixed number of queues.
    Sharded,
}

impl Strategy {
    fn gate(self, slots: u32) -> Box<dyn Gate> {
        match self {
            Self::WithoutTenants | Self::WithTenants => Box::new(QueueGate::new(slots)),
            Self::Sharded => Box::new(ShardedGate::new(slots)),
        }
    }
}

/// A load on back ends of equal size.
#[derive(Debug, Clone)]
pub struct Replay {
    pub tenants: Vec<TenantLoad>,
    pub back_ends: usize,
    pub slots: u32,
    pub seconds: f64,
    /// Objective and deadline, in seconds from the arrival.
    pub objective: f64,
    pub deadline: f64,
    pub seed: u64,
    pub strategy: Strategy,
    /// When the node of the first back end restarts, in seconds.
    pub restart: Option<f64>,
    /// Requests that arrive earlier are excluded from the results, in seconds.
    pub counted_from: f64,
}

/// Results of one tenant's requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TenantResult {
    pub offered: u32,
    pub served: u32,
    pub in_time: u32,
    /// Admitted but never started.
    pub dropped: u32,
    /// Slot time in seconds.
    pub offered_seconds: f64,
    pub served_seconds: f64,
    /// Slot time in seconds of requests answered within their objective.
    pub in_time_seconds: f64,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    tenant: usize,
    arrived: f64,
    taken: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    TimeOut { back_end: usize, generation: u32, request: usize },
    End { back_end: usize, generation: u32, request: usize },
    Restart,
}

struct BackEnd {
    gate: Box<dyn Gate>,
    generation: u32,
}

/// One execution of a [`Replay`].
struct Run<'a> {
    replay: &'a Replay,
    epoch: Instant,
    requests: Vec<Request>,
    back_ends: Vec<BackEnd>,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    count: usize,
    random: Random,
    results: Vec<TenantResult>,
    most_tenants: usize,
}

/// Results of a replay.
#[derive(Debug)]
pub struct Outcome {
    pub tenants: Vec<TenantResult>,
    /// Maximum number of tenants for which a queue had state at the same time.
    pub most_tenants: usize,
}

impl Outcome {
    /// Number of requests answered within their objective.
    pub fn in_time(&self) -> u32 {
        self.tenants.iter().map(|tenant| tenant.in_time).sum()
    }

    /// Slot time in seconds of requests answered within their objective.
    pub fn in_time_seconds(&self) -> f64 {
        self.tenants.iter().map(|tenant| tenant.in_time_seconds).sum()
    }

    /// Slot time in seconds of all answered requests.
    pub fn served_seconds(&self) -> f64 {
        self.tenants.iter().map(|tenant| tenant.served_seconds).sum()
    }
}

impl Replay {
    pub fn run(&self) -> Outcome {
        let back_ends = (0..self.back_ends)
            .map(|_| BackEnd { gate: self.strategy.gate(self.slots), generation: 0 })
            .collect();
        let mut run = Run {
            replay: self,
            epoch: Instant::now(),
            requests: Vec::new(),
            back_ends,
            events: BinaryHeap::new(),
            count: 0,
            random: Random::new(self.seed),
            results: vec![TenantResult::default(); self.tenants.len()],
            most_tenants: 0,
        };
        run.plan_arrivals();
        run.go();
        Outcome { tenants: run.results, most_tenants: run.most_tenants }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn nanos(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

impl Run<'_> {
    fn plan(&mut self, at: f64, event: Event) {
        self.events.push(Reverse((nanos(at), self.count, event)));
        self.count += 1;
    }

    fn plan_arrivals(&mut self) {
        for (tenant, load) in self.replay.tenants.iter().enumerate() {
            let (mut at, until) = (load.sending_period.0, load.sending_period.1.min(self.replay.seconds));
            loop {
                at -= (1.0 - self.random.share()).ln() / load.rate;
                if at >= until {
                    break;
                }
                let taken = load.service * (0.5 + self.random.share());
                self.requests.push(Request { tenant, arrived: at, taken });
                self.plan(at, Event::Arrive(self.requests.len() - 1));
            }
        }
        if let Some(at) = self.replay.restart {
            self.plan(at, Event::Restart);
        }
    }

    fn go(&mut self) {
        let end = nanos(self.replay.seconds);
        while let Some(Reverse((at, _, event))) = self.events.pop().filter(|Reverse((at, ..))| *at <= end) {
            let now = self.epoch + Duration::from_nanos(at);
            match event {
                Event::Arrive(request) => self.arrive(now, request),
                Event::TimeOut { back_end, generation, request } => {
                    self.time_out(back_end, generation, request)
                }
                Event::End { back_end, generation, request } => self.end(now, back_end, generation, request),
                Event::Restart => {
                    let generation = self.back_ends[0].generation + 1;
                    self.back_ends[0] =
                        BackEnd { gate: self.replay.strategy.gate(self.replay.slots), generation };
                }
            }
        }
    }

    fn tenant(&self, request: Request) -> Option<TenantId> {
        (self.replay.strategy != Strategy::WithoutTenants).then_some(TenantId(request.tenant as u64))
    }

    fn hold_seconds(&self) -> f64 {
        self.replay.objective.min(self.replay.deadline * MAX_QUEUE_TIMEOUT_SHARE)
    }

    fn item(&self, now: Instant, request: Request) -> WorkItem {
        let load = self.replay.tenants[request.tenant];
        let max_queue_wait = (self.replay.objective * EXPECTED_RESPONSE_SHARE - load.service).max(0.0);
        WorkItem {
            priority: 1,
            objective_at: now + Duration::from_secs_f64(self.replay.objective),
            deadline: now + Duration::from_secs_f64(self.replay.deadline),
            queue_deadline: now + Duration::from_secs_f64(self.hold_seconds()),
            max_queue_wait: Duration::from_secs_f64(max_queue_wait),
            service: Duration::from_secs_f64(load.service),
            is_caller_retry: false,
            tenant: self.tenant(request),
            call: None,
        }
    }

    fn result(&mut self, request: usize) -> Option<&mut TenantResult> {
        let Request { tenant, arrived, .. } = self.requests[request];
        (arrived >= self.replay.counted_from).then(|| &mut self.results[tenant])
    }

    fn count_dropped(&mut self, request: usize) {
        if let Some(result) = self.result(request) {
            result.dropped += 1;
        }
    }

    fn arrive(&mut self, now: Instant, request: usize) {
        let offered = self.requests[request];
        if let Some(result) = self.result(request) {
            result.offered += 1;
            result.offered_seconds += offered.taken;
        }
        let index = self.random.below(self.back_ends.len());
        let item = self.item(now, offered);
        let back_end = &mut self.back_ends[index];
        match back_end.gate.offer(now, item, request) {
            Offered::Starts => self.start(now, index, request),
            Offered::Waits => {
                let generation = back_end.generation;
                let queue_deadline = offered.arrived + self.hold_seconds();
                self.plan(queue_deadline, Event::TimeOut { back_end: index, generation, request });
            }
            Offered::Refused => {}
        }
        self.start_waiting(now, index);
    }

    fn time_out(&mut self, index: usize, generation: u32, request: usize) {
        let back_end = &mut self.back_ends[index];
        if back_end.generation == generation && back_end.gate.withdraw(request) {
            self.count_dropped(request);
        }
    }

    fn start_waiting(&mut self, now: Instant, index: usize) {
        while let Some(leaving) = self.back_ends[index].gate.next(now) {
            match leaving {
                Leaving::Starts(request) => self.start(now, index, request),
                Leaving::Dropped(request) => self.count_dropped(request),
            }
        }
        self.most_tenants = self.most_tenants.max(self.back_ends[index].gate.tenant_count());
    }

    fn start(&mut self, now: Instant, back_end: usize, request: usize) {
        let at = now.duration_since(self.epoch).as_secs_f64() + self.requests[request].taken;
        let generation = self.back_ends[back_end].generation;
        self.plan(at, Event::End { back_end, generation, request });
    }

    fn end(&mut self, now: Instant, index: usize, generation: u32, request: usize) {
        if self.back_ends[index].generation != generation {
            return;
        }
        let ended = self.requests[request];
        let total = now.duration_since(self.epoch).as_secs_f64() - ended.arrived;
        let is_in_time = total <= self.replay.objective;
        if let Some(result) = self.result(request) {
            result.served += 1;
            result.served_seconds += ended.taken;
            result.in_time += u32::from(is_in_time);
            result.in_time_seconds += if is_in_time { ended.taken } else { 0.0 };
        }
        let taken = Duration::from_secs_f64(ended.taken);
        let tenant = self.tenant(ended);
        self.back_ends[index].gate.finish(tenant, taken);
        self.start_waiting(now, index);
    }
}

/// Max-min fair division of `capacity` between `demands`.
#[allow(clippy::cast_precision_loss)]
pub fn max_min_fair(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut parts = vec![0.0; demands.len()];
    let mut left = capacity;
    for (position, tenant) in order.iter().enumerate() {
        let equal = left / (demands.len() - position) as f64;
        parts[*tenant] = demands[*tenant].min(equal);
        left -= parts[*tenant];
    }
    parts
}
