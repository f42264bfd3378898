//! The actor that owns the membership.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};
use umberpond_forwarding::{Inbound, Outbound};
use umberpond_membership::{
    BackEndRecord, Datagram, MemberPhase, MemberRecord, Membership, MembershipEvent, Outgoing, RecordOrder,
};
use umberpond_model::StoreEra;
use umberpond_net::BoxDatagrams;
use umberpond_rollouts::ReleaseEvidence;
use umberpond_telemetry::{Event, Telemetry};

use super::datagrams::send;
use super::endpoints::{PublishedEndpoints, count_by_release};
use super::evacuated::EvacuationsInForce;
use super::message::{MembershipMessage, StoreView};
use super::plans::PlansInForce;
use super::pools::TokenPools;
use super::suspects::SuspectSync;
use crate::configuration::ConfigurationMessage;
use crate::duration::millis;
use crate::rollouts::RolloutView;
use crate::suspension::{BootClock, SuspensionWatch};

/// Interval at which due heartbeats are sent: a quarter of the shortest heartbeat interval to one node.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for learning the other nodes from the store. Until then this node reads no configuration from the
/// store, since the other nodes may already hold it.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Arguments of the actor.
pub(crate) struct MembershipArguments {
    pub(crate) membership: Membership,
    pub(crate) socket: Arc<BoxDatagrams>,
    pub(crate) inbound: Arc<Inbound>,
    pub(crate) outbound: Arc<Outbound>,
    pub(crate) telemetry: Telemetry,
    /// Clock that advances while the machine is suspended.
    pub(crate) boot_clock: Arc<dyn BootClock>,
    /// Channel for reports on releases to the task that coordinates rollouts.
    pub(crate) evidence: mpsc::UnboundedSender<ReleaseEvidence>,
    /// Channel for what other nodes remember of the back end of an earlier process of this node.
    pub(crate) earlier_back_ends: mpsc::UnboundedSender<BackEndRecord>,
    /// Channel for the latest era of the store that any reachable node has seen.
    pub(crate) store_era: watch::Sender<StoreEra>,
}

pub(crate) struct MembershipState {
    membership: Membership,
    socket: Arc<BoxDatagrams>,
    inbound: Arc<Inbound>,
    outbound: Arc<Outbound>,
    telemetry: Telemetry,
    published: PublishedEndpoints,
    plans: PlansInForce,
    evacuations: EvacuationsInForce,
    pools: TokenPools,
    suspects: SuspectSync,
    suspension: SuspensionWatch,
    evidence: mpsc::UnboundedSender<ReleaseEvidence>,
    earlier_back_ends: mpsc::UnboundedSender<BackEndRecord>,
    /// Replies to send once enough other nodes hold this version of this node's record.
    holder_waiters: Vec<(RecordOrder, RpcReplyPort<()>)>,
    store_era: watch::Sender<StoreEra>,
    configuration: Option<ActorRef<ConfigurationMessage>>,
    started_at: std::time::Instant,
    has_joined: bool,
}

/// The actor that owns the membership.
pub(crate) struct MembershipActor;

impl Actor for MembershipActor {
    type Msg = MembershipMessage;
    type State = MembershipState;
    type Arguments = MembershipArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        arguments: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        tokio::spawn(tick(myself));
        Ok(MembershipState {
            pools: TokenPools::new(Arc::clone(arguments.outbound.quotas())),
            suspects: SuspectSync::new(Arc::clone(arguments.inbound.quarantine())),
            suspension: SuspensionWatch::new(arguments.boot_clock),
            membership: arguments.membership,
            socket: arguments.socket,
            inbound: arguments.inbound,
            outbound: arguments.outbound,
            telemetry: arguments.telemetry,
            published: PublishedEndpoints::default(),
            plans: PlansInForce::default(),
            evacuations: EvacuationsInForce::default(),
            evidence: arguments.evidence,
            earlier_back_ends: arguments.earlier_back_ends,
            holder_waiters: Vec::new(),
            store_era: arguments.store_era,
            configuration: None,
            started_at: Instant::now().into_std(),
            has_joined: false,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let is_tick = matches!(message, MembershipMessage::Tick);
        let outgoing = state.on_message(message);
        send(&state.socket, &outgoing, state.telemetry.metrics());
        state.emit_events();
        state.reply_to_holder_waiters();
        state.publish_changes(is_tick);
        Ok(())
    }
}

async fn tick(membership: ActorRef<MembershipMessage>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if membership.send_message(MembershipMessage::Tick).is_err() {
            return;
        }
    }
}

impl MembershipState {
    fn on_message(&mut self, message: MembershipMessage) -> Vec<Outgoing> {
        let now = Instant::now().into_std();
        match message {
            MembershipMessage::Tick => {
                self.detect_suspension(now);
                if self.evacuations.is_carrying() {
                    self.follow_evacuations(now);
                }
                self.membership.set_load(self.inbound.load());
                let mut outgoing = self.membership.on_tick(now);
                outgoing.extend(self.suspects.on_tick(now, &mut self.membership));
                outgoing.extend(self.pools.report(&self.membership));
                self.telemetry.metrics().quota_tokens_expired(self.pools.take_expired_tokens());
                outgoing
            }
            MembershipMessage::Datagram { from, datagram } => self.on_datagram(now, from, &datagram),
            MembershipMessage::DirectoryEntries(entries) => {
                self.membership.on_directory_entries(now, entries);
                self.membership.on_tick(now)
            }
            MembershipMessage::Joined => {
                self.has_joined = true;
                self.update_sharing_nodes();
                self.suspects.resync(&mut self.membership)
            }
            MembershipMessage::TokenWanted => self.pools.report(&self.membership),
            MembershipMessage::BroadcastSuspects(records) => {
                SuspectSync::broadcast(&mut self.membership, &records)
            }
            MembershipMessage::AwaitHolders(reply) => {
                self.holder_waiters.push((self.membership.own().order(), reply));
                Vec::new()
            }
            MembershipMessage::BackEnd(back_end) => self.membership.set_back_end(now, back_end),
            MembershipMessage::Phase(phase) => self.membership.set_phase(now, phase),
            MembershipMessage::Version(version) => self.membership.set_version(now, version),
            MembershipMessage::StoreResponded(era) => {
                self.membership.on_store_response(now);
                let outgoing = self.membership.set_store_era(now, era);
                self.publish_store_era();
                outgoing
            }
            MembershipMessage::StoreView(reply) => {
                let _ = reply.send(self.store_view(now));
                Vec::new()
            }
            MembershipMessage::ConfigurationActor(actor) => {
                self.configuration = Some(actor);
                Vec::new()
            }
            MembershipMessage::Rollouts(plans) => {
                let outgoing = self.membership.set_rollouts(now, plans);
                self.follow_plans(now);
                outgoing
            }
            MembershipMessage::Evacuations(listed) => {
                let published = self.evacuations.to_publish(listed);
                let outgoing = self.membership.set_evacuations(now, published);
                self.follow_evacuations(now);
                outgoing
            }
            MembershipMessage::ReportEvidence(evidence) => self.report(evidence),
            MembershipMessage::RolloutView(reply) => {
                let _ = reply.send(RolloutView {
                    held: self.plans.held(),
                    endpoints: count_by_release(&self.membership),
                });
                Vec::new()
            }
            MembershipMessage::Members(reply) => {
                let _ = reply.send(self.membership.members().collect());
                Vec::new()
            }
        }
    }

    /// Detects that the machine was suspended and informs all parts of the node. A suspension is handled like
    /// a network partition of the same length.
    fn detect_suspension(&mut self, now: std::time::Instant) {
        let Some(suspended) = self.suspension.check() else { return };
        self.telemetry.emit(Event::MachineSuspended { suspended_millis: millis(suspended) });
        self.membership.on_suspended(now, suspended);
        self.outbound.on_suspended(suspended);
        self.suspects.request_resync();
    }

    fn on_datagram(
        &mut self,
        now: std::time::Instant,
        from: SocketAddr,
        datagram: &Datagram,
    ) -> Vec<Outgoing> {
        if let Datagram::Evidence(evidence) = datagram {
            // The task ends with the process.
            let _ = self.evidence.send((**evidence).clone());
            return Vec::new();
        }
        match datagram {
            Datagram::Suspects(message) => {
                return self.suspects.on_message(&mut self.membership, from, message);
            }
            Datagram::QuotaReport(report) => return self.pools.on_report(from, report),
            Datagram::QuotaGrant(grant) => return self.pools.on_grant(&self.membership, grant),
            _ => {}
        }
        let outgoing = self.membership.on_datagram(now, from, datagram);
        for back_end in self.membership.take_earlier_back_ends() {
            // The task ends with the process.
            let _ = self.earlier_back_ends.send(back_end);
        }
        let Datagram::Heartbeat(heartbeat) = datagram else { return outgoing };
        if let Some((node, service)) = self.membership.back_end_of(heartbeat.sender.order()) {
            self.outbound.on_report(service, node, heartbeat.load);
        }
        let sender = self.membership.record_of(heartbeat.sender.order());
        if let (Some(actor), Some(version), Some(sender)) =
            (&self.configuration, heartbeat.configuration.version, sender)
        {
            // Uses the address in the sender's record rather than the source address of the datagram, which
            // may differ, for example behind an address translator.
            let peer = sender.control;
            let is_same_zone = sender.locality == self.membership.own().locality;
            let _ = actor.send_message(ConfigurationMessage::PeerVersion { version, peer, is_same_zone });
        }
        outgoing
    }

    /// Replies to those who wait until enough other nodes hold this node's record.
    fn reply_to_holder_waiters(&mut self) {
        let waiters = std::mem::take(&mut self.holder_waiters);
        let open = waiters.into_iter().filter(|(_, reply)| !reply.is_closed());
        let (held, waiting) = open.partition(|(order, _)| self.membership.is_held_elsewhere(*order));
        self.holder_waiters = waiting;
        let held: Vec<(RecordOrder, RpcReplyPort<()>)> = held;
        for (_, reply) in held {
            // The caller may have stopped waiting.
            let _ = reply.send(());
        }
    }

    /// Sends the response statistics of the local back end to the coordinators of its rollout.
    fn report(&self, evidence: Box<ReleaseEvidence>) -> Vec<Outgoing> {
        let coordinators = self.membership.coordinators_of(&evidence.service);
        if !self.membership.own().rollouts.is_empty() {
            // The task ends with the process.
            let _ = self.evidence.send((*evidence).clone());
        }
        let outgoing = coordinators.into_iter();
        outgoing.map(|to| Outgoing { to, datagram: Datagram::Evidence(evidence.clone()) }).collect()
    }

    /// Applies the latest rollout plans that any node publishes.
    fn follow_plans(&mut self, now: std::time::Instant) {
        self.plans.follow(now, &self.membership, &self.inbound, &self.outbound, &self.telemetry);
    }

    /// Applies the latest evacuations that any node publishes.
    fn follow_evacuations(&mut self, now: std::time::Instant) {
        self.evacuations.follow(now, &self.membership, &self.outbound, &self.telemetry);
    }

    /// Informs the tasks of this node that the store was restored.
    fn publish_store_era(&self) {
        let latest = self.membership.latest_store_era();
        self.store_era.send_if_modified(|known| {
            let is_later = latest > *known;
            *known = latest.max(*known);
            is_later
        });
    }

    fn store_view(&self, now: std::time::Instant) -> StoreView {
        let running = |record: &&MemberRecord| record.phase == MemberPhase::Running;
        let reachable = self.membership.reachable().filter(running).map(|record| record.node.clone());
        let store_contact = self.membership.last_store_contact();
        let last_seen_at = store_contact.unwrap_or(self.started_at);
        StoreView {
            own: self.membership.own().node.clone(),
            others: reachable.chain(self.membership.expected_candidates(now).cloned()).collect(),
            silent_for: now.saturating_duration_since(last_seen_at),
            has_store_contact: store_contact.is_some(),
            has_joined: self.has_joined || now.saturating_duration_since(self.started_at) > JOIN_TIMEOUT,
        }
    }

    fn emit_events(&mut self) {
        for event in self.membership.take_events() {
            if matches!(event, MembershipEvent::Stalled { .. } | MembershipEvent::Refuted { .. }) {
                // This node may have missed suspect messages of other nodes meanwhile.
                self.suspects.request_resync();
            }
            self.telemetry.emit(event_of(event));
        }
    }

    /// Sets the number of nodes that share the retry budgets and the quotas. It includes unreachable nodes
    /// and nodes that only the store lists, since these use their shares too. The number is unknown until
    /// this node has joined.
    fn update_sharing_nodes(&self) {
        if self.has_joined {
            let others = self.membership.members().count() + self.membership.candidate_count();
            self.outbound.set_sharing_nodes(others + 1);
        }
    }

    /// Publishes membership changes to the request path: immediately if a node no longer accepts requests,
    /// otherwise with the next tick, so that changes which arrive together are published together.
    fn publish_changes(&mut self, is_tick: bool) {
        let is_due =
            if is_tick { self.membership.take_changed() } else { self.membership.take_urgent_change() };
        if !is_due {
            return;
        }
        let now = Instant::now().into_std();
        self.follow_plans(now);
        // Applied before the endpoints are published, so that no endpoint of an evacuated zone is chosen
        // meanwhile.
        self.follow_evacuations(now);
        self.publish_store_era();
        self.update_sharing_nodes();
        self.pools.on_changed();
        let endpoints = self.published.update(&self.membership, &self.outbound);
        self.telemetry.metrics().set_endpoints(endpoints);
        let members = self.membership.members().count() as u64 + 1;
        let reachable = self.membership.reachable_count() as u64 + 1;
        self.telemetry.emit(Event::MembershipChanged { members, reachable, endpoints: endpoints as u64 });
    }
}

fn event_of(event: MembershipEvent) -> Event {
    match event {
        MembershipEvent::NeighbourSilent { node, silent_for } => {
            Event::NeighbourSilent { node, silent_millis: millis(silent_for) }
        }
        MembershipEvent::NodeExcluded { node, accusers, known_for } => {
            Event::NodeLeftOut { node, accusers: accusers as u64, known_millis: millis(known_for) }
        }
        MembershipEvent::Refuted { sequence } => Event::LeavingOutRefuted { sequence },
        MembershipEvent::ZoneUnreachable { locality, silent } => {
            Event::ZoneCutOff { zone: locality.to_string(), silent: silent as u64 }
        }
        MembershipEvent::ZoneBack { locality } => Event::ZoneBack { zone: locality.to_string() },
        MembershipEvent::Stalled { stalled_for } => {
            Event::ProcessStalled { stalled_millis: millis(stalled_for) }
        }
        MembershipEvent::RepairRequested { bucket, differs_for } => {
            let bucket = u64::from(bucket);
            Event::MembershipRepairAsked { bucket, differs_millis: millis(differs_for) }
        }
    }
}
