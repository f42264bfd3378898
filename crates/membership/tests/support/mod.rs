//! Several memberships on a virtual clock, with datagrams that are delayed, lost or cut one way.

#![allow(dead_code, reason = "not every test uses every part")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberpond_membership::{
    BackEndRecord, BackEndState, Heartbeat, Introduction, MemberPhase, MemberRecord, MemberView, Membership,
    MembershipSettings, Outgoing, Reachability,
};
use umberpond_model::{Incarnation, Locality, NodeName};

const TICK: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(10);

pub fn name<N: std::str::FromStr>(text: &str) -> N {
    text.parse().ok().expect("a valid name")
}

pub fn node(number: usize) -> NodeName {
    name(&format!("node-{number}"))
}

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(number).unwrap()], 7000))
}

pub fn back_end(instance: &str, state: BackEndState) -> BackEndRecord {
    BackEndRecord {
        instance: instance.to_owned(),
        service: name("archive"),
        slots: 10,
        state,
        is_cold: false,
    }
}

struct Flying {
    due: Instant,
    from: SocketAddr,
    to: SocketAddr,
    heartbeat: Heartbeat,
}

pub struct World {
    pub now: Instant,
    start: Instant,
    pub nodes: BTreeMap<usize, Membership>,
    flying: Vec<Flying>,
    random: ChaCha8Rng,
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Directions in which nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    pub datagrams: u64,
    pub bytes: u64,
    lives: u64,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            now,
            start: now,
            nodes: BTreeMap::new(),
            flying: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.0,
            cut: BTreeSet::new(),
            datagrams: 0,
            bytes: 0,
            lives: 0,
        }
    }

    /// `count` nodes that have read one another from the store.
    pub fn joined(seed: u64, count: usize) -> Self {
        let mut world = Self::new(seed);
        for number in 0..count {
            world.start(number);
        }
        for number in 0..count {
            world.introduce(number, 0..count);
        }
        world
    }

    /// Starts a process of the node, in place of the one that runs.
    pub fn start(&mut self, number: usize) {
        self.start_at(number, number);
    }

    /// Starts a process of the node called by `named` at the address of the node `number`.
    pub fn start_at(&mut self, named: usize, number: usize) {
        self.lives += 1;
        self.start_with(named, number, self.lives);
    }

    /// Starts a process whose random number is `life`.
    pub fn start_as(&mut self, number: usize, life: u64) {
        self.start_with(number, number, life);
    }

    fn start_with(&mut self, named: usize, number: usize, life: u64) {
        let record = MemberRecord {
            node: node(named),
            life,
            incarnation: Incarnation(1),
            sequence: 0,
            control: address(number),
            inbound: address(number),
            locality: Locality { region: name("north"), zone: name("a") },
            phase: MemberPhase::Running,
            back_end: None,
        };
        self.nodes.insert(number, Membership::new(MembershipSettings::default(), record));
    }

    pub fn kill(&mut self, number: usize) {
        self.nodes.remove(&number);
    }

    pub fn introduce(&mut self, number: usize, others: impl IntoIterator<Item = usize>) {
        let introductions =
            others.into_iter().map(|other| Introduction { node: node(other), control: address(other) });
        let now = self.now;
        self.nodes.get_mut(&number).unwrap().on_introductions(now, introductions.collect());
    }

    /// Lets a node say something at once.
    pub fn tell(&mut self, number: usize, say: impl FnOnce(&mut Membership, Instant) -> Vec<Outgoing>) {
        let outgoing = say(self.nodes.get_mut(&number).unwrap(), self.now);
        self.send(number, outgoing);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            let is_tick = (self.now - self.start).as_millis().is_multiple_of(TICK.as_millis());
            if is_tick {
                self.tick();
            }
        }
    }

    pub fn run_millis(&mut self, millis: u64) {
        self.run(Duration::from_millis(millis));
    }

    fn tick(&mut self) {
        let now = self.now;
        let numbers: Vec<usize> = self.nodes.keys().copied().collect();
        for number in numbers {
            let outgoing = self.nodes.get_mut(&number).unwrap().on_tick(now);
            self.send(number, outgoing);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.flying).into_iter().partition(|flying| flying.due <= now);
        self.flying = later;
        for Flying { from, to, heartbeat, .. } in due {
            let Some(number) = (0..256).find(|number| address(*number) == to) else { continue };
            let Some(membership) = self.nodes.get_mut(&number) else { continue };
            let outgoing = membership.on_heartbeat(now, from, &heartbeat);
            self.send(number, outgoing);
        }
    }

    fn send(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        for Outgoing { to, heartbeat } in outgoing {
            self.datagrams += 1;
            self.bytes += bitcode::encode(&heartbeat).len() as u64;
            let receiver = (0..256).find(|number| address(*number) == to).unwrap_or(255);
            if self.cut.contains(&(from, receiver)) || self.random.random_bool(self.loss) {
                continue;
            }
            let delay = Duration::from_millis(self.random.random_range(1..15));
            self.flying.push(Flying { due: self.now + delay, from: address(from), to, heartbeat });
        }
    }

    pub fn view(&self, from: usize, of: usize) -> Option<MemberView> {
        self.nodes[&from].members().find(|member| member.record.node == node(of))
    }

    pub fn reaches(&self, from: usize, to: usize) -> bool {
        self.view(from, to).is_some_and(|member| member.reachability == Reachability::Reachable)
    }

    /// Whether every node reaches every other one.
    pub fn all_reach_all(&self) -> bool {
        let numbers: Vec<usize> = self.nodes.keys().copied().collect();
        let pairs = numbers.iter().flat_map(|from| numbers.iter().map(move |to| (*from, *to)));
        pairs.filter(|(from, to)| from != to).all(|(from, to)| self.reaches(from, to))
    }
}
