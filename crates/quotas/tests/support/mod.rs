//! Nodes that share quotas on a virtual clock, without sockets.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::HashMap;
use std::time::{Duration, Instant};

use umberpond_config::{KeyHash, Quota, Tenant};
use umberpond_model::{HomeRegions, RequestRate, TenantName, TenantNumber};
use umberpond_quotas::{
    OwnShares, PooledShares, QuotaGrant, QuotaReport, QuotaSharing, Quotas, TokenAnswer, TokenPool, quotas_of,
};

/// Time between two steps.
pub const STEP: Duration = Duration::from_millis(5);
/// Longest wait of a request for a token.
const LONGEST_WAIT: Duration = Duration::from_millis(150);

pub fn tenant(name: &str, rate: f64, burst: u64) -> Tenant {
    Tenant {
        name: TenantName::new(name).expect("a name"),
        keys: [KeyHash::of(name.as_bytes())].into(),
        priority: None,
        quota: Some(Quota { rate: RequestRate::per_second(rate).expect("a rate"), burst }),
        homes: HomeRegions::default(),
    }
}

pub fn number(name: &str) -> TenantNumber {
    TenantNumber::of(&TenantName::new(name).expect("a name"))
}

struct Node {
    sharing: Box<dyn QuotaSharing>,
    pool: TokenPool,
    waiting: HashMap<TenantNumber, Vec<Instant>>,
    next_pool: usize,
    is_running: bool,
}

/// A message on its way; it arrives with the next step.
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
    messages: Vec<Message>,
    /// Nodes that only reach one another.
    pub cut: Vec<usize>,
    /// When requests of each tenant were let through.
    pub granted: HashMap<TenantNumber, Vec<Instant>>,
    pub refused: HashMap<TenantNumber, u32>,
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
        Node { sharing, pool, waiting: HashMap::new(), next_pool: 0, is_running: true }
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
    pub fn request(&mut self, index: usize, tenant: TenantNumber) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        if !node.is_running {
            return;
        }
        node.sharing.on_request(now, tenant);
        match node.sharing.take(now, tenant) {
            TokenAnswer::Granted => self.granted.entry(tenant).or_default().push(now),
            TokenAnswer::Refused => *self.refused.entry(tenant).or_default() += 1,
            TokenAnswer::Ask => node.waiting.entry(tenant).or_default().push(now),
        }
    }

    /// Lets one step of time pass: messages arrive, and those that wait are told.
    pub fn step(&mut self) {
        self.now += STEP;
        for message in std::mem::take(&mut self.messages) {
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

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report { from, to, report } if self.nodes[to].is_running => {
                let grant = self.nodes[to].pool.on_report(self.now, &report);
                if let Some(grant) = grant.filter(|_| self.reaches(to, from)) {
                    self.messages.push(Message::Grant { to: from, grant });
                }
            }
            Message::Grant { to, grant } if self.nodes[to].is_running => {
                self.nodes[to].sharing.on_grant(self.now, &grant, self.pools);
            }
            Message::Report { .. } | Message::Grant { .. } => {}
        }
    }

    fn tell_waiting(&mut self, index: usize) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        if !node.is_running {
            return;
        }
        for (tenant, waiting) in &mut node.waiting {
            let mut still = Vec::new();
            for since in waiting.drain(..) {
                match node.sharing.take(now, *tenant) {
                    TokenAnswer::Granted => self.granted.entry(*tenant).or_default().push(now),
                    TokenAnswer::Ask if now - since < LONGEST_WAIT => still.push(since),
                    TokenAnswer::Ask | TokenAnswer::Refused => *self.refused.entry(*tenant).or_default() += 1,
                }
            }
            *waiting = still;
        }
    }

    /// Each side of a cut takes the first nodes that it reaches for its pools.
    fn report(&mut self, index: usize) {
        if !self.nodes[index].is_running {
            return;
        }
        let places: Vec<usize> =
            (0..self.nodes.len()).filter(|to| self.reaches(index, *to)).take(self.pools).collect();
        let node = &mut self.nodes[index];
        let count = |waiting: &Vec<Instant>| u32::try_from(waiting.len()).expect("few");
        let waiting = node.waiting.iter().map(|(tenant, waiting)| (*tenant, count(waiting))).collect();
        let Some(report) = node.sharing.next_report(self.now, &waiting) else { return };
        node.next_pool += 1;
        let to = places[node.next_pool % places.len()];
        self.reports += 1;
        self.messages.push(Message::Report { from: index, to, report });
    }

    /// Most requests of a tenant that were let through within `window`.
    pub fn most_within(&self, tenant: TenantNumber, window: Duration) -> usize {
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

    pub fn granted_of(&self, tenant: TenantNumber) -> usize {
        self.granted.get(&tenant).map_or(0, Vec::len)
    }

    pub fn refused_of(&self, tenant: TenantNumber) -> u32 {
        self.refused.get(&tenant).copied().unwrap_or(0)
    }
}
