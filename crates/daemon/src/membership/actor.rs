//! The actor that owns the membership.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::time::{Instant, MissedTickBehavior, interval};
use umberpond_forwarding::{Inbound, Outbound};
use umberpond_membership::{
    BackEndRecord, Heartbeat, Introduction, MemberPhase, MemberView, Membership, Outgoing, Reachability,
};
use umberpond_model::{NodeName, Version};
use umberpond_net::BoxDatagrams;
use umberpond_telemetry::{Event, Telemetry};

use super::datagrams::send;
use super::endpoints::ToldEndpoints;
use crate::configuration::ConfigurationMessage;

/// Time between two looks for heartbeats that are due.
const TICK: Duration = Duration::from_millis(100);

/// What the membership is told and asked.
pub(crate) enum MembershipMessage {
    /// Time has passed.
    Tick,
    /// Another node's heartbeat.
    Heartbeat { from: SocketAddr, heartbeat: Box<Heartbeat> },
    /// Nodes that the store names.
    Introductions(Vec<Introduction>),
    /// This node's word of its back end.
    BackEnd(Option<BackEndRecord>),
    /// This process goes on to another phase.
    Phase(MemberPhase),
    /// The version in force on this node.
    Version(Version),
    /// The store itself has answered this node.
    StoreHeard,
    /// Where configurations are to be fetched.
    ConfigurationActor(ActorRef<ConfigurationMessage>),
    /// Asks for all other nodes.
    Members(RpcReplyPort<Vec<MemberView>>),
    /// Asks who could read the store.
    StoreView(RpcReplyPort<StoreView>),
}

/// A node and the time since it heard from the store, as far as known here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StoreContact {
    pub(crate) node: NodeName,
    pub(crate) age: Option<Duration>,
}

/// Who could read the store: this node and the others that can be reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StoreView {
    pub(crate) own: StoreContact,
    pub(crate) others: Vec<StoreContact>,
}

/// What the actor needs.
pub(crate) struct MembershipArguments {
    pub(crate) membership: Membership,
    pub(crate) socket: Arc<BoxDatagrams>,
    pub(crate) inbound: Arc<Inbound>,
    pub(crate) outbound: Arc<Outbound>,
    pub(crate) telemetry: Telemetry,
}

pub(crate) struct MembershipState {
    membership: Membership,
    socket: Arc<BoxDatagrams>,
    inbound: Arc<Inbound>,
    outbound: Arc<Outbound>,
    telemetry: Telemetry,
    told: ToldEndpoints,
    configuration: Option<ActorRef<ConfigurationMessage>>,
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
            membership: arguments.membership,
            socket: arguments.socket,
            inbound: arguments.inbound,
            outbound: arguments.outbound,
            telemetry: arguments.telemetry,
            told: ToldEndpoints::default(),
            configuration: None,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let outgoing = state.on_message(message);
        send(&state.socket, &outgoing, state.telemetry.metrics());
        state.tell_changes();
        Ok(())
    }
}

async fn tick(membership: ActorRef<MembershipMessage>) {
    let mut ticks = interval(TICK);
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
                self.membership.set_load(self.inbound.load());
                self.membership.on_tick(now)
            }
            MembershipMessage::Heartbeat { from, heartbeat } => self.on_heartbeat(now, from, &heartbeat),
            MembershipMessage::Introductions(introductions) => {
                self.membership.on_introductions(now, introductions);
                self.membership.on_tick(now)
            }
            MembershipMessage::BackEnd(back_end) => self.membership.set_back_end(now, back_end),
            MembershipMessage::Phase(phase) => self.membership.set_phase(now, phase),
            MembershipMessage::Version(version) => self.membership.set_version(now, version),
            MembershipMessage::StoreHeard => {
                self.membership.on_store_heard(now);
                Vec::new()
            }
            MembershipMessage::StoreView(reply) => {
                let _ = reply.send(self.store_view(now));
                Vec::new()
            }
            MembershipMessage::ConfigurationActor(actor) => {
                self.configuration = Some(actor);
                Vec::new()
            }
            MembershipMessage::Members(reply) => {
                let _ = reply.send(self.membership.members().collect());
                Vec::new()
            }
        }
    }

    fn on_heartbeat(
        &mut self,
        now: std::time::Instant,
        from: SocketAddr,
        heartbeat: &Heartbeat,
    ) -> Vec<Outgoing> {
        let outgoing = self.membership.on_heartbeat(now, from, heartbeat);
        if let Some((node, service)) = self.membership.back_end_of(heartbeat.word.order()) {
            self.outbound.on_report(service, node, heartbeat.load);
        }
        // The sender's own word counts, not where its datagram came from: it may stand behind another address.
        let control = self.membership.control_of(heartbeat.word.order());
        if let (Some(actor), Some(version), Some(by)) =
            (&self.configuration, heartbeat.configuration.version, control)
        {
            let _ = actor.send_message(ConfigurationMessage::Told { version, by });
        }
        outgoing
    }

    fn store_view(&self, now: std::time::Instant) -> StoreView {
        let own = StoreContact {
            node: self.membership.own().node.clone(),
            age: self.membership.store_heard_at().map(|at| now.saturating_duration_since(at)),
        };
        let reachable =
            self.membership.members().filter(|member| member.reachability == Reachability::Reachable);
        let running = reachable.filter(|member| member.record.phase == MemberPhase::Running);
        let others = running
            .map(|member| StoreContact { age: member.store_age(now), node: member.record.node })
            .collect();
        StoreView { own, others }
    }

    fn tell_changes(&mut self) {
        if !self.membership.take_changed() {
            return;
        }
        self.outbound.set_live_nodes(self.membership.reachable_count() + 1);
        let endpoints = self.told.update(&self.membership, &self.outbound);
        self.telemetry.metrics().set_endpoints(endpoints);
        let members = self.membership.members().count() as u64 + 1;
        let reachable = self.membership.reachable_count() as u64 + 1;
        self.telemetry.emit(Event::MembershipChanged { members, reachable, endpoints: endpoints as u64 });
    }
}
