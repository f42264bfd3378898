//! One endpoint as the balancer sees it: fixed identity, a counter, and a small state under its own lock.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

use parking_lot::Mutex;
use umberpond_model::{
    EndpointRecord, EndpointStatus, Incarnation, Locality, NodeName, RecordOrder, Timestamp,
};

use crate::health::{Health, Phase};
use crate::key_ring::node_hash;
use crate::load::{ReportedLoad, TypicalLoad};
use crate::{AllowedEndpoint, BalancerSettings, EndpointReport, Observation, RequestResult};

/// One endpoint in one incarnation.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) node: NodeName,
    pub(crate) locality: Locality,
    pub(crate) inbound: SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) hash: u64,
    outstanding: AtomicU32,
    state: Mutex<EndpointState>,
}

#[derive(Debug)]
struct EndpointState {
    order: RecordOrder,
    takes_new_work: bool,
    refused: Option<RefusedWork>,
    load: ReportedLoad,
    health: Health,
    cold_since: Option<Timestamp>,
}

/// The endpoint itself said that it takes no new work.
#[derive(Debug, Clone, Copy)]
struct RefusedWork {
    /// Sequence at which it said so; if unknown, only a later incarnation says otherwise.
    sequence: Option<u64>,
}

/// How an endpoint compares with others right now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Score {
    /// Smaller is better: expected load with one more request, enlarged while the endpoint is cold.
    pub(crate) cost: f64,
    /// Estimated load in shares of the endpoint's slots.
    pub(crate) utilisation: f64,
    /// Share of the usual work that it should get, below 1 while cold.
    pub(crate) warmth: f64,
}

/// Whether an endpoint belongs in the list that picks are made from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Availability {
    /// Draining, starting, gone or suspected.
    NotReady,
    /// Ready, and in the list.
    Ready,
    /// Ready, but ejected until the given time.
    Ejected(Timestamp),
}

/// What an observation changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing that the list of choices depends on.
    None,
    /// Whether the endpoint is ready.
    Readiness,
    /// The endpoint is to be ejected if the cap lets it.
    WantsEjection,
}

impl Endpoint {
    /// `cold_since` starts a slow start; absent for an endpoint that was there before this process looked.
    pub(crate) fn new(allowed: &AllowedEndpoint, cold_since: Option<Timestamp>) -> Self {
        let record = allowed.record();
        let state = EndpointState {
            order: record.order(),
            takes_new_work: record.takes_new_work(),
            refused: None,
            load: ReportedLoad::new(allowed.slots()),
            health: Health::new(),
            cold_since,
        };
        Self {
            node: record.node.clone(),
            locality: record.locality.clone(),
            inbound: record.inbound,
            incarnation: record.incarnation,
            hash: node_hash(&record.node),
            outstanding: AtomicU32::new(0),
            state: Mutex::new(state),
        }
    }

    /// Whether `record` tells of this same process at this same place.
    pub(crate) fn is_same_process(&self, record: &EndpointRecord) -> bool {
        self.incarnation == record.incarnation
            && self.inbound == record.inbound
            && self.locality == record.locality
    }

    /// Whether `record` is older than what is known here.
    pub(crate) fn is_newer_than(&self, record: &EndpointRecord) -> bool {
        self.state.lock().order > record.order()
    }

    /// Takes a newer record of the same process in. An endpoint that becomes ready starts cold.
    pub(crate) fn on_record(&self, now: Timestamp, record: &EndpointRecord) {
        let mut state = self.state.lock();
        if record.order() < state.order {
            return;
        }
        let was_starting = !state.takes_new_work && !state.order.suspect;
        state.order = record.order();
        state.takes_new_work = record.takes_new_work();
        if state.takes_new_work && was_starting {
            state.cold_since = Some(now);
        }
        state.lift_refusal(record.sequence);
    }

    pub(crate) fn set_configured_slots(&self, slots: u32) {
        self.state.lock().load.set_configured_slots(slots);
    }

    pub(crate) fn outstanding(&self) -> u32 {
        self.outstanding.load(Ordering::Relaxed)
    }

    pub(crate) fn start_request(&self) {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end_request(&self) {
        self.outstanding.fetch_sub(1, Ordering::Relaxed);
    }

    /// Compares the endpoint with others; absent while a probe is already under way.
    pub(crate) fn score(
        &self,
        now: Timestamp,
        typical: &TypicalLoad,
        settings: &BalancerSettings,
    ) -> Option<Score> {
        let own = self.outstanding();
        let state = self.state.lock();
        if state.health.phase() == Phase::Probing && own > 0 {
            return None;
        }
        let slots = f64::from(state.load.slots());
        let load = state.load.estimate(now, own, typical, settings);
        let warmth = state.warmth(now, settings);
        Some(Score { cost: (load + 1.0) / (slots * warmth), utilisation: load / slots, warmth })
    }

    pub(crate) fn availability(&self, now: Timestamp) -> Availability {
        let mut state = self.state.lock();
        if !state.takes_new_work || state.refused.is_some() {
            return Availability::NotReady;
        }
        match state.health.phase() {
            Phase::Ejected(until) if now < until => Availability::Ejected(until),
            Phase::Ejected(_) => {
                state.health.start_probing();
                Availability::Ready
            }
            Phase::Healthy | Phase::Probing => Availability::Ready,
        }
    }

    pub(crate) fn eject(&self, now: Timestamp, settings: &BalancerSettings) {
        self.state.lock().health.eject(now, settings);
    }

    /// Ends an ejection before its time, because too many endpoints are ejected.
    pub(crate) fn end_ejection(&self) {
        self.state.lock().health.start_probing();
    }

    pub(crate) fn take_latency_window(&self, settings: &BalancerSettings) -> Option<f64> {
        self.state.lock().health.take_window(settings)
    }

    /// Takes in what an answer's headers say of the endpoint.
    pub(crate) fn on_report(
        &self,
        now: Timestamp,
        report: &EndpointReport,
        typical: &TypicalLoad,
        settings: &BalancerSettings,
    ) -> Change {
        if report.incarnation != self.incarnation {
            return Change::None;
        }
        let own = self.outstanding();
        let mut state = self.state.lock();
        if let Some(load) = report.load {
            state.load.on_report(now, load, own, typical, settings);
        }
        state.on_status(report.status, report.sequence)
    }

    /// Takes in how an exchange ended.
    pub(crate) fn on_result(
        &self,
        now: Timestamp,
        observation: &Observation,
        typical: &TypicalLoad,
        settings: &BalancerSettings,
    ) -> Change {
        let own = self.outstanding();
        let mut state = self.state.lock();
        match observation.result {
            RequestResult::Answered => {
                if state.health.on_answered(now, observation.latency) {
                    state.cold_since = Some(now);
                }
                Change::None
            }
            RequestResult::Rejected => {
                state.load.on_rejected(now, own, typical, settings);
                Change::None
            }
            RequestResult::Failed if state.health.on_failed(settings) => Change::WantsEjection,
            RequestResult::Failed | RequestResult::Cancelled => Change::None,
        }
    }
}

impl EndpointState {
    fn warmth(&self, now: Timestamp, settings: &BalancerSettings) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        #[allow(clippy::cast_precision_loss)]
        let share = now.since(since).0 as f64 / settings.slow_start.0.max(1) as f64;
        share.clamp(settings.slow_start_share, 1.0)
    }

    fn on_status(&mut self, status: EndpointStatus, sequence: Option<u64>) -> Change {
        if sequence.is_some_and(|sequence| sequence < self.order.sequence) {
            return Change::None;
        }
        let refuses = match status {
            EndpointStatus::Ready => false,
            EndpointStatus::Draining | EndpointStatus::Gone => true,
            // Without a sequence nothing would tell when the start is over, so the next record decides.
            EndpointStatus::Starting => sequence.is_some(),
        };
        let was_refused = self.refused.is_some();
        if refuses {
            self.refused = Some(RefusedWork { sequence: self.latest_refusal(sequence) });
        } else if let Some(sequence) = sequence {
            self.lift_refusal(sequence);
        }
        if was_refused == self.refused.is_some() { Change::None } else { Change::Readiness }
    }

    /// The sequence that a refusal holds at; unknown as soon as one refusal came without it.
    fn latest_refusal(&self, sequence: Option<u64>) -> Option<u64> {
        let Some(before) = self.refused else { return sequence };
        Some(sequence?.max(before.sequence?))
    }

    /// A word of the owner at `sequence` replaces an earlier refusal of work.
    fn lift_refusal(&mut self, sequence: u64) {
        let is_later = self
            .refused
            .is_some_and(|refused| refused.sequence.is_some_and(|refused_at| sequence > refused_at));
        if is_later {
            self.refused = None;
        }
    }
}
