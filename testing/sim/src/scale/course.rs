//! The course of a run: changes, restarts, failures, machine list, storms.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::RngExt;
use umberpond_model::{EndpointStatus, Millis, NodeName, Timestamp};
use umberpond_overlay::Role;
use umberpond_overlay::interface::{Machine, PlatformEvent, PlatformRequest};

use super::hollow::HollowNode;
use super::platform::Process;
use super::scenario::Storm;
use super::world::{Event, World};

/// Time from a process's start until its back end takes work.
pub(super) const BACK_END_START: Millis = Millis(1_000);
/// Time over which the nodes of a new system start.
const FIRST_START: Millis = Millis(5_000);
/// When the first version is accepted.
const FIRST_VERSION: Timestamp = Timestamp(15_000);
/// Time from the begin of a planned stop to the end of the process.
const DRAIN_TIME: Millis = Millis(3_000);
/// Longest time from the end of a process to the start of the next, drawn evenly.
const RESTART_TIME: Millis = Millis(3_000);
/// Time in which all processes of a herd are back.
const HERD_RESTART_TIME: Millis = Millis(1_000);
/// Time from the loss of a machine until its replacement starts.
const REPLACEMENT_TIME: Millis = Millis(20_000);
/// The machine list is refreshed this often, and shows what was true one refresh ago.
const MACHINE_LIST_REFRESH: Millis = Millis(5_000);
/// Fleet for which the rates of restarts and failures are given.
const RATED_NODES: f64 = 13_000.0;
/// Milliseconds of a day.
const DAY_MILLIS: f64 = 86_400_000.0;

/// Something of the scenario.
#[derive(Debug)]
pub(super) enum CourseEvent {
    /// The measurement begins.
    MeasurementBegins,
    /// A version is accepted, and the next one scheduled.
    Accept,
    /// The machine list is refreshed.
    RefreshMachines(Arc<Vec<Machine>>),
    /// A planned restart of a random node, and the next one scheduled.
    Restart,
    /// A random machine is lost, and the next loss scheduled.
    LoseMachine,
    /// The storm begins.
    StormBegins,
    /// The storm is over.
    StormEnds,
    /// A process ends.
    Stop { process: Process },
}

impl World {
    pub(super) fn schedule_course(&mut self) {
        for node in 0..self.nodes.len() {
            let at = Timestamp(self.rng.random_range(0..FIRST_START.0));
            self.queue.schedule(at, Event::Start { node });
        }
        let begin = Timestamp(self.scenario.warm_up.0);
        self.at(begin, CourseEvent::MeasurementBegins);
        self.at(FIRST_VERSION, CourseEvent::Accept);
        self.at(Timestamp(1_000), CourseEvent::RefreshMachines(Arc::new(Vec::new())));
        self.at(begin, CourseEvent::Restart);
        self.at(begin, CourseEvent::LoseMachine);
        let storm_at = begin + Millis(self.scenario.measured.0 / 4);
        self.at(storm_at, CourseEvent::StormBegins);
        self.at(storm_at + self.scenario.storm_time, CourseEvent::StormEnds);
    }

    fn at(&mut self, at: Timestamp, event: CourseEvent) {
        self.queue.schedule(at, Event::Course(event));
    }

    fn after(&mut self, wait: Millis, event: CourseEvent) {
        self.at(self.now + wait, event);
    }

    pub(super) fn course(&mut self, event: CourseEvent) {
        match event {
            CourseEvent::MeasurementBegins => self.measurement.begin(&mut self.nodes, &self.platform),
            CourseEvent::Accept => self.accept(),
            CourseEvent::RefreshMachines(shown) => self.refresh_machines(shown),
            CourseEvent::Restart => self.restart_some_node(),
            CourseEvent::LoseMachine => self.lose_some_machine(),
            CourseEvent::StormBegins => self.begin_storm(),
            CourseEvent::StormEnds => self.end_storm(),
            CourseEvent::Stop { process } => {
                if self.is_running(process) {
                    self.stop_and_restart(process.0, RESTART_TIME);
                }
            }
        }
    }

    fn accept(&mut self) {
        let wait = self.draw_wait(self.scenario.changes_per_second / 1_000.0);
        // A platform that is away accepts nothing; a slow one does.
        if self.platform.is_up(self.now) {
            let witnesses = self.choose_witnesses();
            let accepted = self.workload.accept(&mut self.rng, Millis(self.now.0), witnesses);
            self.measurement.accepted(self.now, accepted.record.version);
            let watchers: Vec<Process> = self.platform.accept(Arc::clone(&accepted)).collect();
            self.tell_watchers(watchers, &PlatformEvent::Accepted(accepted));
        }
        self.after(wait, CourseEvent::Accept);
    }

    /// One witness in each zone; a lost one is replaced, one at a time and each once the last change is in force.
    fn choose_witnesses(&self) -> Vec<NodeName> {
        let current =
            self.workload.record.as_ref().map(|record| record.witnesses.clone()).unwrap_or_default();
        if current.is_empty() {
            let mut first_in_zone: BTreeMap<usize, NodeName> = BTreeMap::new();
            for node in self.nodes.iter().filter(|node| node.core.is_some()) {
                first_in_zone.entry(node.zone).or_insert_with(|| node.record.node.clone());
            }
            return first_in_zone.into_values().collect();
        }
        let is_settled = self.measurement.lowest_commit() >= self.workload.witnesses_since();
        let lost = current.iter().position(|name| !self.runs(name));
        let (true, Some(lost)) = (is_settled, lost) else { return current };
        let zone = self.nodes.iter().find(|node| node.record.node == current[lost]).map(|node| node.zone);
        let replacement = self.nodes.iter().find(|node| {
            Some(node.zone) == zone && node.core.is_some() && !current.contains(&node.record.node)
        });
        let mut next = current;
        if let Some(replacement) = replacement {
            next[lost] = replacement.record.node.clone();
        }
        next
    }

    fn runs(&self, name: &NodeName) -> bool {
        let number = name.as_str().strip_prefix("node-").and_then(|number| number.parse::<usize>().ok());
        number.is_some_and(|number| self.nodes[number].core.is_some())
    }

    fn refresh_machines(&mut self, shown: Arc<Vec<Machine>>) {
        if self.platform.is_up(self.now) && *shown != *self.platform.machines {
            self.platform.machines = Arc::clone(&shown);
            let watchers: Vec<Process> = self.platform.watchers().collect();
            self.tell_watchers(watchers, &PlatformEvent::Machines(shown));
        }
        let running = self.nodes.iter().filter(|node| node.core.is_some());
        let machines = running.map(|node| Machine {
            member: node.member(),
            leaving: node.record.status == EndpointStatus::Draining,
        });
        let next = Arc::new(machines.collect());
        self.after(MACHINE_LIST_REFRESH, CourseEvent::RefreshMachines(next));
    }

    fn restart_some_node(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        if self.measurement.has_begun() && self.nodes[node].core.is_some() {
            self.drain_and_stop(node);
        }
        let wait = self.draw_wait(self.fleet_rate(self.scenario.restarts_per_day));
        self.after(wait, CourseEvent::Restart);
    }

    pub(super) fn drain_and_stop(&mut self, node: usize) {
        let process = (node, self.nodes[node].generation);
        self.queue.schedule(self.now, Event::Status { process, status: EndpointStatus::Draining });
        let gone_at = self.now + DRAIN_TIME;
        self.queue.schedule(gone_at, Event::Status { process, status: EndpointStatus::Gone });
        self.at(gone_at + Millis(200), CourseEvent::Stop { process });
    }

    fn lose_some_machine(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        if self.measurement.has_begun() && self.nodes[node].core.is_some() {
            self.lose_machine(node, REPLACEMENT_TIME);
        }
        let wait = self.draw_wait(self.fleet_rate(self.scenario.failures_per_day));
        self.after(wait, CourseEvent::LoseMachine);
    }

    fn lose_machine(&mut self, node: usize, replaced_after: Millis) {
        self.stop(node, true);
        self.queue.schedule(self.now + replaced_after, Event::Start { node });
    }

    fn stop_and_restart(&mut self, node: usize, within: Millis) {
        self.stop(node, false);
        let wait = Millis(self.rng.random_range(0..=within.0));
        self.queue.schedule(self.now + wait, Event::Start { node });
    }

    fn begin_storm(&mut self) {
        let storm_end = self.now + self.scenario.storm_time;
        let last_zone = self.scenario.zones - 1;
        match self.scenario.storm {
            Storm::Calm => {}
            Storm::ZoneLost => {
                for node in self.running(|node| node.zone == last_zone) {
                    self.lose_machine(node, self.scenario.storm_time);
                }
            }
            Storm::RegionCut => {
                let region = self.scenario.regions - 1;
                let regions = self.scenario.regions;
                let zones = (0..self.scenario.zones).filter(|zone| zone % regions == region).collect();
                self.links.cut(zones, storm_end);
            }
            Storm::PlatformAway => self.take_platform_away(storm_end),
            Storm::ReadersDie => {
                let is_reader = |node: &HollowNode| {
                    node.core.as_ref().is_some_and(|core| core.status().role == Role::Reader)
                };
                for node in self.running(is_reader) {
                    self.stop_and_restart(node, HERD_RESTART_TIME);
                }
            }
            Storm::ZoneRestart => {
                self.take_platform_away(storm_end);
                for node in self.running(|node| node.zone == last_zone) {
                    self.stop_and_restart(node, HERD_RESTART_TIME);
                }
            }
            Storm::HalfRestart => {
                for node in self.running(|node| node.number.is_multiple_of(2)) {
                    self.stop_and_restart(node, HERD_RESTART_TIME);
                }
            }
        }
    }

    fn end_storm(&mut self) {
        if self.scenario.storm != Storm::Calm {
            self.measurement.storm_ended(self.now, self.platform.head());
        }
    }

    fn take_platform_away(&mut self, until: Timestamp) {
        self.platform.down_until = until;
        // It comes back slow.
        self.platform.slow_until = until + self.scenario.storm_time;
        for process in self.platform.end_watches() {
            let held = self.nodes[process.0].core.as_ref().and_then(|core| core.status().held);
            let request = PlatformRequest::Watch { after: held.unwrap_or_default() };
            self.queue.schedule(self.now, Event::Request { process, request, attempt: 0 });
        }
    }

    fn running(&self, which: impl Fn(&HollowNode) -> bool) -> Vec<usize> {
        let running = self.nodes.iter().filter(|node| node.core.is_some() && which(node));
        running.map(|node| node.number).collect()
    }

    /// Events a millisecond for this run's fleet.
    #[expect(clippy::cast_precision_loss, reason = "a count of nodes is far below the limit of exact floats")]
    fn fleet_rate(&self, per_day: f64) -> f64 {
        per_day / DAY_MILLIS * (self.nodes.len() as f64 / RATED_NODES)
    }

    /// Waiting time of a Poisson process, in whole milliseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is positive and far below the limit"
    )]
    fn draw_wait(&mut self, per_milli: f64) -> Millis {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Millis((-uniform.ln() / per_milli).ceil() as u64)
    }
}
