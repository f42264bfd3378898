//! Requests of tenants before several back ends, replayed on virtual time through real queues.

mod gate;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use umberpond_model::TenantId;
use umberpond_scheduling::WorkItem;

use gate::{Gate, Leaving, Offered, QueueGate, ShardedGate};

/// Part of its objective within which a request is expected to be answered when it is taken in.
const PATIENCE_SHARE: f64 = 0.55;
/// Part of its caller's time for which a request waits at most.
const HOLD_SHARE: f64 = 0.45;

/// Numbers that look random, the same for the same seed.
pub struct Numbers(u64);

impl Numbers {
    pub const fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Between 0 and 1.
    #[allow(clippy::cast_precision_loss)]
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    #[allow(clippy::cast_possible_truncation)]
    pub fn below(&mut self, count: usize) -> usize {
        (self.next() % count as u64) as usize
    }
}

/// What one tenant sends to all back ends together.
#[derive(Debug, Clone, Copy)]
pub struct TenantLoad {
    /// Requests a second.
    pub rate: f64,
    /// Mean time that a back end takes for one, in seconds.
    pub service: f64,
    /// When it begins and ends to send, in seconds.
    pub between: (f64, f64),
}

/// What stands before the back ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gates {
    /// Queues that are told no tenants.
    Untold,
    /// Queues that are told the tenants.
    Told,
    /// A fixed number of queues with shuffle sharding.
    Sharded,
}

impl Gates {
    fn gate(self, slots: u32) -> Box<dyn Gate> {
        match self {
            Self::Untold | Self::Told => Box::new(QueueGate::new(slots)),
            Self::Sharded => Box::new(ShardedGate::new(slots)),
        }
    }
}

/// A load before back ends of equal size.
#[derive(Debug, Clone)]
pub struct Replay {
    pub tenants: Vec<TenantLoad>,
    pub back_ends: usize,
    pub slots: u32,
    pub seconds: f64,
    /// End of the objective and the deadline, in seconds from the arrival.
    pub objective: f64,
    pub deadline: f64,
    pub seed: u64,
    pub gates: Gates,
    /// When the first back end's node restarts, in seconds.
    pub restart: Option<f64>,
    /// Requests that arrive earlier don't count, in seconds.
    pub counted_from: f64,
}

/// What became of the requests of one tenant.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TenantResult {
    pub offered: u32,
    pub served: u32,
    pub in_time: u32,
    /// Taken in, and never started.
    pub in_vain: u32,
    /// Seconds of slot time.
    pub offered_seconds: f64,
    pub served_seconds: f64,
    /// Seconds of slot time of requests answered within their objective.
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
    GiveUp { back_end: usize, life: u32, request: usize },
    End { back_end: usize, life: u32, request: usize },
    Restart,
}

struct BackEnd {
    gate: Box<dyn Gate>,
    life: u32,
}

/// One run of a [`Replay`].
struct Run<'a> {
    replay: &'a Replay,
    begun: Instant,
    requests: Vec<Request>,
    back_ends: Vec<BackEnd>,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    count: usize,
    numbers: Numbers,
    results: Vec<TenantResult>,
    most_tenants: usize,
}

/// What a replay showed.
#[derive(Debug)]
pub struct Outcome {
    pub tenants: Vec<TenantResult>,
    /// Most tenants of which a queue kept something at once.
    pub most_tenants: usize,
}

impl Outcome {
    /// Requests answered within their objective.
    pub fn in_time(&self) -> u32 {
        self.tenants.iter().map(|tenant| tenant.in_time).sum()
    }

    /// Seconds of slot time of requests answered within their objective.
    pub fn in_time_seconds(&self) -> f64 {
        self.tenants.iter().map(|tenant| tenant.in_time_seconds).sum()
    }

    /// Seconds of slot time of all requests answered.
    pub fn served_seconds(&self) -> f64 {
        self.tenants.iter().map(|tenant| tenant.served_seconds).sum()
    }
}

impl Replay {
    pub fn run(&self) -> Outcome {
        let back_ends =
            (0..self.back_ends).map(|_| BackEnd { gate: self.gates.gate(self.slots), life: 0 }).collect();
        let mut run = Run {
            replay: self,
            begun: Instant::now(),
            requests: Vec::new(),
            back_ends,
            events: BinaryHeap::new(),
            count: 0,
            numbers: Numbers::new(self.seed),
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
            let (mut at, until) = (load.between.0, load.between.1.min(self.replay.seconds));
            loop {
                at -= (1.0 - self.numbers.share()).ln() / load.rate;
                if at >= until {
                    break;
                }
                let taken = load.service * (0.5 + self.numbers.share());
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
            let now = self.begun + Duration::from_nanos(at);
            match event {
                Event::Arrive(request) => self.arrive(now, request),
                Event::GiveUp { back_end, life, request } => self.give_up(back_end, life, request),
                Event::End { back_end, life, request } => self.end(now, back_end, life, request),
                Event::Restart => {
                    let life = self.back_ends[0].life + 1;
                    self.back_ends[0] = BackEnd { gate: self.replay.gates.gate(self.replay.slots), life };
                }
            }
        }
    }

    fn tenant(&self, request: Request) -> Option<TenantId> {
        (self.replay.gates != Gates::Untold).then_some(TenantId(request.tenant as u64))
    }

    fn hold_seconds(&self) -> f64 {
        self.replay.objective.min(self.replay.deadline * HOLD_SHARE)
    }

    fn item(&self, now: Instant, request: Request) -> WorkItem {
        let load = self.replay.tenants[request.tenant];
        let max_queue_wait = (self.replay.objective * PATIENCE_SHARE - load.service).max(0.0);
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

    fn count_in_vain(&mut self, request: usize) {
        if let Some(result) = self.result(request) {
            result.in_vain += 1;
        }
    }

    fn arrive(&mut self, now: Instant, request: usize) {
        let offered = self.requests[request];
        if let Some(result) = self.result(request) {
            result.offered += 1;
            result.offered_seconds += offered.taken;
        }
        let index = self.numbers.below(self.back_ends.len());
        let item = self.item(now, offered);
        let back_end = &mut self.back_ends[index];
        match back_end.gate.offer(now, item, request) {
            Offered::Starts => self.start(now, index, request),
            Offered::Waits => {
                let life = back_end.life;
                let queue_deadline = offered.arrived + self.hold_seconds();
                self.plan(queue_deadline, Event::GiveUp { back_end: index, life, request });
            }
            Offered::Refused => {}
        }
        self.start_waiting(now, index);
    }

    fn give_up(&mut self, index: usize, life: u32, request: usize) {
        let back_end = &mut self.back_ends[index];
        if back_end.life == life && back_end.gate.withdraw(request) {
            self.count_in_vain(request);
        }
    }

    fn start_waiting(&mut self, now: Instant, index: usize) {
        while let Some(leaving) = self.back_ends[index].gate.next(now) {
            match leaving {
                Leaving::Starts(request) => self.start(now, index, request),
                Leaving::InVain(request) => self.count_in_vain(request),
            }
        }
        self.most_tenants = self.most_tenants.max(self.back_ends[index].gate.tenant_count());
    }

    fn start(&mut self, now: Instant, back_end: usize, request: usize) {
        let at = now.duration_since(self.begun).as_secs_f64() + self.requests[request].taken;
        let life = self.back_ends[back_end].life;
        self.plan(at, Event::End { back_end, life, request });
    }

    fn end(&mut self, now: Instant, index: usize, life: u32, request: usize) {
        if self.back_ends[index].life != life {
            return;
        }
        let ended = self.requests[request];
        let total = now.duration_since(self.begun).as_secs_f64() - ended.arrived;
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

/// Max-min fair parts of `capacity` for `demands`.
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
