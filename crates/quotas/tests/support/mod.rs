//! Simulation of nodes that share quotas, on a virtual clock without sockets.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberpond_config::{KeyHash, Quota, Tenant};
use umberpond_model::{HomeRegions, RequestRate, TenantId, TenantName};
use umberpond_quotas::{
    LocalShares, MAX_TOKEN_WAIT, PooledShares, QuotaGrant, QuotaReport, QuotaSharing, Quotas, TokenDecision,
    TokenPool, quotas_of,
};

/// Simulated time per step.
pub const STEP: Duration = Duration::from_millis(5);
/// Longest wait of a request for a token if no network is simulated.
const SHORT_WAIT: Duration = Duration::from_millis(150);

pub fn tenant(name: &str, rate: f64, burst: u64) -> Tenant {
    Tenant {
        name: TenantName::new(name).expect("a name"),
        keys: [KeyHash::of(name.as_bytes())].into(),
        priority: None,
        quota: Some(Quota { rate: RequestRate::per_second(rate).expect("a rate"), burst }),
        homes: HomeRegions::default(),
    }
}

pub fn number(name: &str) -> TenantId {
    TenantId::of(&TenantName::new(name).expect("a name"))
}

struct Node {
    sharing: Box<dyn QuotaSharing>,
    pool: TokenPool,
    waiting: HashMap<TenantId, Vec<Instant>>,
    next_pool: usize,
    is_running: bool,
    /// Whether an event lets the node report before its next poll.
    has_event: bool,
}

/// Delay and loss of datagrams between nodes, and the polling interval of the nodes.
pub struct Network {
    random: ChaCha8Rng,
    /// Fraction of the datagrams that is lost.
    pub loss: f64,
    /// Fraction of the datagrams that reach a node while its process is not scheduled.
    pub stalls: f64,
    /// Steps between two polls of a node.
    poll_steps: u64,
}

impl Network {
    /// Datagrams take 5 to 10 ms, or up to 100 ms if they reach a stalled node. Nodes poll every 50 ms, like
    /// the daemon.
    pub fn new(seed: u64, loss: f64, stalls: f64) -> Self {
        Self { random: ChaCha8Rng::seed_from_u64(seed), loss, stalls, poll_steps: 10 }
    }

    /// Number of steps that a datagram is in transit; absent if it is lost.
    fn steps(&mut self) -> Option<u32> {
        if self.random.random_bool(self.loss) {
            return None;
        }
        let is_stalled = self.random.random_bool(self.stalls);
        Some(if is_stalled { self.random.random_range(4..=20) } else { self.random.random_range(1..=2) })
    }
}

/// A message in transit.
enum Message {
    Report { from: usize, to: usize, report: QuotaReport },
    Grant { to: usize, grant: QuotaGrant },
}

/// All nodes, including partitioned ones.
pub struct Fleet {
    pub now: Instant,
    nodes: Vec<Node>,
    quotas: Quotas,
    pools: usize,
    is_pooled: bool,
    processes: u64,
    messages: Vec<(Instant, Message)>,
    network: Option<Network>,
    steps: u64,
    /// Nodes that are partitioned from all others but reach each other.
    pub partitioned: Vec<usize>,
    /// When requests of each tenant were admitted.
    pub granted: HashMap<TenantId, Vec<Instant>>,
    pub refused: HashMap<TenantId, u32>,
    pub reports: u64,
}

impl Fleet {
    pub fn new(count: usize, pools: usize, tenants: &[Tenant], is_pooled: bool) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            nodes: Vec::new(),
            quotas: quotas_of(tenants),
            pools,
            is_pooled,
            processes: 0,
            messages: Vec::new(),
            network: None,
            steps: 0,
            partitioned: Vec::new(),
            granted: HashMap::new(),
            refused: HashMap::new(),
            reports: 0,
        };
        for _ in 0..count {
            let node = fleet.new_node(count);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn new_node(&mut self, count: usize) -> Node {
        self.processes += 1;
        let mut sharing: Box<dyn QuotaSharing> = if self.is_pooled {
            Box::new(PooledShares::new(self.processes))
        } else {
            Box::new(LocalShares::default())
        };
        sharing.set_quotas(self.quotas.clone());
        sharing.set_sharing_nodes(self.now, count);
        let mut pool = TokenPool::default();
        pool.set_quotas(self.quotas.clone());
        Node { sharing, pool, waiting: HashMap::new(), next_pool: 0, is_running: true, has_event: false }
    }

    /// Sends all datagrams through `network` from now on.
    pub fn set_network(&mut self, network: Network) {
        self.network = Some(network);
    }

    /// Sets the tenants' quotas at all nodes.
    pub fn set_tenants(&mut self, tenants: &[Tenant]) {
        self.quotas = quotas_of(tenants);
        for node in &mut self.nodes {
            node.sharing.set_quotas(self.quotas.clone());
            node.pool.set_quotas(self.quotas.clone());
        }
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Restarts the process of a node.
    pub fn restart(&mut self, index: usize) {
        self.nodes[index] = self.new_node(self.nodes.len());
    }

    /// Suspends or resumes a node.
    pub fn set_running(&mut self, index: usize, is_running: bool) {
        self.nodes[index].is_running = is_running;
    }

    /// Sends a request to a node.
    pub fn request(&mut self, index: usize, tenant: TenantId) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        if !node.is_running {
            return;
        }
        node.sharing.on_request(now, tenant);
        match node.sharing.take(now, tenant) {
            TokenDecision::Granted { .. } => self.granted.entry(tenant).or_default().push(now),
            TokenDecision::Refused => *self.refused.entry(tenant).or_default() += 1,
            TokenDecision::Pending => {
                node.waiting.entry(tenant).or_default().push(now);
                node.has_event = true;
            }
        }
    }

    /// Advances the time by one step: delivers messages, retries waiting requests and sends reports.
    pub fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, _)| *at <= now);
        self.messages = later;
        for (_, message) in due {
            self.deliver(message);
        }
        for index in 0..self.nodes.len() {
            self.retry_waiting(index);
            self.report(index);
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.partitioned.contains(&from) == self.partitioned.contains(&to)
    }

    /// Sends a message. Without a network it arrives with the next step.
    fn send(&mut self, message: Message) {
        let steps = self.network.as_mut().map_or(Some(1), Network::steps);
        if let Some(steps) = steps {
            self.messages.push((self.now + STEP * steps, message));
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report { from, to, report } if self.nodes[to].is_running => {
                let grant = self.nodes[to].pool.on_report(self.now, &report);
                if let Some(grant) = grant.filter(|_| self.reaches(to, from)) {
                    self.send(Message::Grant { to: from, grant });
                }
            }
            Message::Grant { to, grant } if self.nodes[to].is_running => {
                self.nodes[to].sharing.on_grant(self.now, &grant, self.pools);
                self.nodes[to].has_event = true;
            }
            Message::Report { .. } | Message::Grant { .. } => {}
        }
    }

    fn retry_waiting(&mut self, index: usize) {
        let longest_wait = if self.network.is_some() { MAX_TOKEN_WAIT } else { SHORT_WAIT };
        let (now, node) = (self.now, &mut self.nodes[index]);
        if !node.is_running {
            return;
        }
        for (tenant, waiting) in &mut node.waiting {
            let mut still = Vec::new();
            for since in waiting.drain(..) {
                match node.sharing.take(now, *tenant) {
                    TokenDecision::Granted { .. } => self.granted.entry(*tenant).or_default().push(now),
                    TokenDecision::Pending if now - since < longest_wait => still.push(since),
                    TokenDecision::Pending | TokenDecision::Refused => {
                        *self.refused.entry(*tenant).or_default() += 1
                    }
                }
            }
            *waiting = still;
        }
        node.waiting.retain(|_, waiting| !waiting.is_empty());
    }

    /// Whether a node polls for a report in this step: always without a network; otherwise at intervals, when
    /// a request waits, and when a grant has arrived.
    fn polls(&mut self, index: usize) -> bool {
        let has_event = std::mem::take(&mut self.nodes[index].has_event);
        let Some(network) = &self.network else { return true };
        has_event || (self.steps + index as u64).is_multiple_of(network.poll_steps)
    }

    /// Sends a node's report. Each side of a partition uses the first nodes that it reaches as pools.
    fn report(&mut self, index: usize) {
        if !self.nodes[index].is_running || !self.polls(index) {
            return;
        }
        let reachable_pools: Vec<usize> =
            (0..self.nodes.len()).filter(|to| self.reaches(index, *to)).take(self.pools).collect();
        let node = &mut self.nodes[index];
        node.pool.tick(self.now);
        let count = |waiting: &Vec<Instant>| u32::try_from(waiting.len()).expect("few");
        let waiting = node.waiting.iter().map(|(tenant, waiting)| (*tenant, count(waiting))).collect();
        let Some(report) = node.sharing.next_report(self.now, &waiting) else { return };
        node.next_pool += 1;
        let to = reachable_pools[node.next_pool % reachable_pools.len()];
        self.reports += 1;
        self.send(Message::Report { from: index, to, report });
    }

    /// Maximum number of requests of a tenant that were admitted within `window`.
    pub fn most_within(&self, tenant: TenantId, window: Duration) -> usize {
        let granted = self.granted.get(&tenant).map_or(&[][..], Vec::as_slice);
        let mut first = 0;
        let mut most = 0;
        for (last, at) in granted.iter().enumerate() {
            while *at - granted[first] >= window {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    /// Number of requests of a tenant that were admitted in the `window` from `start`.
    pub fn granted_between(&self, tenant: TenantId, start: Instant, window: Duration) -> usize {
        let granted = self.granted.get(&tenant).map_or(&[][..], Vec::as_slice);
        granted.iter().filter(|at| **at >= start && **at < start + window).count()
    }

    /// Number of granted tokens that expired unused.
    pub fn expired_tokens(&self) -> u64 {
        self.nodes.iter().map(|node| node.sharing.expired_tokens()).sum()
    }

    pub fn granted_of(&self, tenant: TenantId) -> usize {
        self.granted.get(&tenant).map_or(0, Vec::len)
    }

    pub fn refused_of(&self, tenant: TenantId) -> u32 {
        self.refused.get(&tenant).copied().unwrap_or(0)
    }
}
