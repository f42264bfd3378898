//! Nodes that share quotas on a virtual clock, without sockets.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberpond_config::{KeyHash, Quota, Tenant};
use umberpond_model::{HomeRegions, RequestRate, TenantId, TenantName};
use umberpond_quotas::{
    MAX_TOKEN_WAIT, OwnShares, PooledShares, QuotaGrant, QuotaReport, QuotaSharing, Quotas, TokenDecision,
    TokenPool, quotas_of,
};

/// Time between two steps.
pub const STEP: Duration = Duration::from_millis(5);
/// Longest wait of a request for a token, without a network.
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
    /// Whether something has come that lets the node report before its next look.
    is_told: bool,
}

/// What delays and loses datagrams between nodes, and how often a node looks whether a report is due.
pub struct Network {
    random: ChaCha8Rng,
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// Part of the datagrams that meets a node without a processor.
    pub stalls: f64,
    /// Steps between two looks of a node.
    look_steps: u64,
}

impl Network {
    /// Datagrams take 5 to 10 ms, those that meet a stalled node up to 100 ms; nodes look each 50 ms, as the daemon does.
    pub fn new(seed: u64, loss: f64, stalls: f64) -> Self {
        Self { random: ChaCha8Rng::seed_from_u64(seed), loss, stalls, look_steps: 10 }
    }

    /// Steps that a datagram takes; absent if it is lost.
    fn steps(&mut self) -> Option<u32> {
        if self.random.random_bool(self.loss) {
            return None;
        }
        let is_stalled = self.random.random_bool(self.stalls);
        Some(if is_stalled { self.random.random_range(4..=20) } else { self.random.random_range(1..=2) })
    }
}

/// A message on its way; it arrives with the next step, or when the network says.
enum Message {
    Report { from: usize, to: usize, report: QuotaReport },
    Grant { to: usize, grant: QuotaGrant },
}

/// All nodes, those that are cut off from the others included.
pub struct Fleet {
    pub now: Instant,
    nodes: Vec<Node>,
    quotas: Quotas,
    pools: usize,
    is_pooled: bool,
    lives: u64,
    messages: Vec<(Instant, Message)>,
    network: Option<Network>,
    steps: u64,
    /// Nodes that only reach one another.
    pub cut: Vec<usize>,
    /// When requests of each tenant were let through.
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
            lives: 0,
            messages: Vec::new(),
            network: None,
            steps: 0,
            cut: Vec::new(),
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
        self.lives += 1;
        let mut sharing: Box<dyn QuotaSharing> = if self.is_pooled {
            Box::new(PooledShares::new(self.lives))
        } else {
            Box::new(OwnShares::default())
        };
        sharing.set_quotas(self.quotas.clone());
        sharing.set_sharing_nodes(self.now, count);
        let mut pool = TokenPool::default();
        pool.set_quotas(self.quotas.clone());
        Node { sharing, pool, waiting: HashMap::new(), next_pool: 0, is_running: true, is_told: false }
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

    /// Starts the process of a node anew.
    pub fn restart(&mut self, index: usize) {
        self.nodes[index] = self.new_node(self.nodes.len());
    }

    /// Suspends a node, or lets it go on.
    pub fn set_running(&mut self, index: usize, is_running: bool) {
        self.nodes[index].is_running = is_running;
    }

    /// A request enters at a node.
    pub fn request(&mut self, index: usize, tenant: TenantId) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        if !node.is_running {
            return;
        }
        node.sharing.on_request(now, tenant);
        match node.sharing.take(now, tenant) {
            TokenDecision::Granted { .. } => self.granted.entry(tenant).or_default().push(now),
            TokenDecision::Refused => *self.refused.entry(tenant).or_default() += 1,
            TokenDecision::Ask => {
                node.waiting.entry(tenant).or_default().push(now);
                node.is_told = true;
            }
        }
    }

    /// Lets one step of time pass: messages arrive, and those that wait are told.
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
            self.tell_waiting(index);
            self.report(index);
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.cut.contains(&from) == self.cut.contains(&to)
    }

    /// Sends a message; without a network it arrives with the next step.
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
                self.nodes[to].is_told = true;
            }
            Message::Report { .. } | Message::Grant { .. } => {}
        }
    }

    fn tell_waiting(&mut self, index: usize) {
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
                    TokenDecision::Ask if now - since < longest_wait => still.push(since),
                    TokenDecision::Ask | TokenDecision::Refused => {
                        *self.refused.entry(*tenant).or_default() += 1
                    }
                }
            }
            *waiting = still;
        }
        node.waiting.retain(|_, waiting| !waiting.is_empty());
    }

    /// Whether a node looks now for what to report: with a network only at intervals, and when a request waits or an answer has come.
    fn looks(&mut self, index: usize) -> bool {
        let is_told = std::mem::take(&mut self.nodes[index].is_told);
        let Some(network) = &self.network else { return true };
        is_told || (self.steps + index as u64).is_multiple_of(network.look_steps)
    }

    /// Each side of a cut takes the first nodes that it reaches for its pools.
    fn report(&mut self, index: usize) {
        if !self.nodes[index].is_running || !self.looks(index) {
            return;
        }
        let places: Vec<usize> =
            (0..self.nodes.len()).filter(|to| self.reaches(index, *to)).take(self.pools).collect();
        let node = &mut self.nodes[index];
        node.pool.look(self.now);
        let count = |waiting: &Vec<Instant>| u32::try_from(waiting.len()).expect("few");
        let waiting = node.waiting.iter().map(|(tenant, waiting)| (*tenant, count(waiting))).collect();
        let Some(report) = node.sharing.next_report(self.now, &waiting) else { return };
        node.next_pool += 1;
        let to = places[node.next_pool % places.len()];
        self.reports += 1;
        self.send(Message::Report { from: index, to, report });
    }

    /// Most requests of a tenant that were let through within `window`.
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

    /// Requests of a tenant that were let through in the `window` from `start` on.
    pub fn granted_between(&self, tenant: TenantId, start: Instant, window: Duration) -> usize {
        let granted = self.granted.get(&tenant).map_or(&[][..], Vec::as_slice);
        granted.iter().filter(|at| **at >= start && **at < start + window).count()
    }

    /// Tokens that nodes were given and that nobody used.
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
