//! Simulates a service with back ends of two releases, whose nodes report to one or two coordinators. Time
//! advances in fixed steps.

#![allow(dead_code, reason = "not every test uses every part")]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use umberpond_model::{NodeName, ReleaseName, ServiceName, StoreEra, StoreRevision};
use umberpond_rollouts::{
    CoordinatorAction, EndpointCounts, HeldPlans, ListedRollouts, PlanStage, ReleaseEvidence, ResponseTally,
    RolloutCoordinator, RolloutOrder, RolloutSettings, RolloutState, StoredRollout,
};

pub fn name<N: std::str::FromStr>(text: &str) -> N {
    text.parse().ok().expect("a valid name")
}

pub const STEP: Duration = Duration::from_millis(200);
pub const ROUTE: u32 = 7;
const SLOTS: u32 = 6;

/// How back ends of one release respond.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// One of this many responses fails; 0 for none.
    pub fails_every: u32,
    pub millis: u64,
    /// Minimum share of the target, in thousandths, for this behaviour; below it the release behaves as
    /// [`SOUND`].
    pub from_permille: u16,
}

/// A burst in which every fifth response fails, once all requests go to one release.
pub const FAILURE_BURST: Behaviour = Behaviour { fails_every: 5, millis: 300, from_permille: 1_000 };

pub const SOUND: Behaviour = Behaviour { fails_every: 0, millis: 200, from_permille: 0 };

struct Node {
    name: NodeName,
    release: ReleaseName,
    tally: ResponseTally,
    responses: u32,
    in_flight: u32,
}

/// The revision `number` of the store before any restore.
pub const fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra(1), number)
}

/// A store that holds one rollout.
pub struct Store {
    pub rollout: Option<StoredRollout>,
    pub era: StoreEra,
    pub is_up: bool,
    pub writes: Vec<RolloutState>,
}

impl Store {
    /// Restores the store from a copy that has `rollout`, which keeps its revisions in the new era.
    pub fn restore(&mut self, rollout: Option<StoredRollout>) {
        self.era = StoreEra(self.era.0 + 1);
        self.rollout = rollout.map(|rollout| StoredRollout {
            revision: StoreRevision::new(self.era, rollout.revision.number),
            created_revision: StoreRevision::new(self.era, rollout.created_revision.number),
            ..rollout
        });
    }

    fn write(&mut self, revision: StoreRevision, state: RolloutState) -> Option<StoreRevision> {
        let rollout = self.rollout.as_mut().filter(|rollout| self.is_up && rollout.revision == revision)?;
        rollout.state = Some(state);
        rollout.revision.number += 1;
        self.writes.push(state);
        Some(rollout.revision)
    }
}

pub struct World {
    pub now: Instant,
    pub began: Instant,
    /// When the order is given.
    pub ordered_at: Instant,
    pub service: ServiceName,
    pub target: ReleaseName,
    pub held: HeldPlans,
    pub store: Store,
    pub coordinators: Vec<RolloutCoordinator>,
    nodes: Vec<Node>,
    pub old: Behaviour,
    pub new: Behaviour,
    /// Requests in one step, and the requests so far to the target and to all releases.
    pub per_step: u32,
    pub to_target: u32,
    pub to_all: u32,
    target_credit: f64,
    reports: u64,
}

impl World {
    pub fn new(duration: Duration, coordinators: usize) -> Self {
        let now = Instant::now();
        let service: ServiceName = name("archive");
        let target: ReleaseName = name("v2");
        let order = RolloutOrder { service: service.clone(), target: target.clone(), duration };
        let mut world = Self {
            now,
            began: now,
            ordered_at: now,
            service,
            target,
            held: HeldPlans::default(),
            store: Store {
                rollout: Some(StoredRollout {
                    order,
                    state: None,
                    revision: revision(10),
                    created_revision: revision(10),
                }),
                era: StoreEra(1),
                is_up: true,
                writes: Vec::new(),
            },
            coordinators: Vec::new(),
            nodes: Vec::new(),
            old: SOUND,
            new: SOUND,
            per_step: 80,
            to_target: 0,
            to_all: 0,
            target_credit: 0.0,
            reports: 0,
        };
        for _ in 0..coordinators {
            world.coordinators.push(RolloutCoordinator::new(RolloutSettings::default()));
        }
        world.add_nodes("v1", 10);
        world
    }

    pub fn add_nodes(&mut self, release: &str, count: usize) {
        for number in 0..count {
            self.nodes.push(Node {
                name: name(&format!("node-{release}-{number}")),
                release: name(release),
                tally: ResponseTally::default(),
                responses: 0,
                in_flight: 0,
            });
        }
    }

    pub fn stage(&self) -> Option<PlanStage> {
        self.held.get(&self.service).map(|plan| plan.stage)
    }

    /// Steps until `condition` holds, for at most `longest`. Returns whether it holds.
    pub fn run_until(&mut self, longest: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + longest;
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.step();
        }
        condition(self)
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.send_requests();
        for number in 0..self.coordinators.len() {
            self.coordinate(number);
        }
    }

    fn send_requests(&mut self) {
        let stage = self.stage().unwrap_or(PlanStage::Share(0));
        let permille = stage.target_permille();
        for request in 0..self.per_step {
            self.target_credit += f64::from(permille) / 1000.0;
            let is_target = self.target_credit >= 1.0;
            if is_target {
                self.target_credit -= 1.0;
            }
            let release: ReleaseName = if is_target { self.target.clone() } else { name("v1") };
            let of_release: Vec<usize> =
                (0..self.nodes.len()).filter(|number| self.nodes[*number].release == release).collect();
            if of_release.is_empty() {
                continue;
            }
            self.to_all += 1;
            self.to_target += u32::from(is_target);
            let mut behaviour = if is_target { self.new } else { self.old };
            if permille < behaviour.from_permille {
                behaviour = SOUND;
            }
            let node = &mut self.nodes[of_release[request as usize % of_release.len()]];
            node.responses += 1;
            let fails = behaviour.fails_every > 0 && node.responses.is_multiple_of(behaviour.fails_every);
            node.tally.record(ROUTE, !fails, Duration::from_millis(behaviour.millis));
        }
    }

    /// Sets the number of unfinished requests of each node of `release`.
    pub fn set_in_flight(&mut self, release: &str, in_flight: u32) {
        for node in &mut self.nodes {
            if node.release.as_str() == release {
                node.in_flight = in_flight;
            }
        }
    }

    pub fn endpoints(&self) -> BTreeMap<ServiceName, EndpointCounts> {
        let mut counts = EndpointCounts::default();
        for node in &self.nodes {
            counts.ready.entry(node.release.clone()).or_default().push((node.name.clone(), SLOTS));
        }
        BTreeMap::from([(self.service.clone(), counts)])
    }

    fn coordinate(&mut self, number: usize) {
        let endpoints = self.endpoints();
        let mut coordinator = std::mem::replace(
            &mut self.coordinators[number],
            RolloutCoordinator::new(RolloutSettings::default()),
        );
        for evidence in self.evidence() {
            coordinator.on_evidence(evidence);
        }
        if self.store.is_up {
            let is_ordered = self.now >= self.ordered_at;
            let rollouts = self.store.rollout.clone().into_iter().filter(|_| is_ordered).collect();
            let listed = ListedRollouts { rollouts, era: self.store.era };
            let actions = coordinator.on_stored(self.now, &self.held, listed);
            self.execute_actions(&mut coordinator, actions);
        }
        let actions = coordinator.on_tick(self.now, &self.held, &endpoints);
        self.execute_actions(&mut coordinator, actions);
        self.coordinators[number] = coordinator;
    }

    fn execute_actions(&mut self, coordinator: &mut RolloutCoordinator, actions: Vec<CoordinatorAction>) {
        for action in actions {
            match action {
                CoordinatorAction::Publish { plan, .. } => {
                    self.held.update(self.now, &plan);
                }
                CoordinatorAction::Write { service, revision, state, .. } => {
                    if let Some(revision) = self.store.write(revision, state) {
                        coordinator.on_written(&service, state, revision);
                    }
                }
            }
        }
    }

    fn evidence(&mut self) -> Vec<ReleaseEvidence> {
        self.reports += 1;
        let stage = self.stage().unwrap_or(PlanStage::Share(0));
        let target = self.target.clone();
        let evidence = self.nodes.iter().map(|node| ReleaseEvidence {
            node: node.name.clone(),
            instance: node.name.to_string(),
            number: self.reports,
            service: self.service.clone(),
            release: node.release.clone(),
            is_cold: false,
            is_closed: if node.release == target { stage.closes_target() } else { stage.closes_others() },
            in_flight: node.in_flight,
            routes: node.tally.routes(),
        });
        evidence.collect()
    }
}
