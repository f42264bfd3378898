//! The actor around the overlay core.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use ractor::{Actor, ActorProcessingErr, ActorRef};
use umberpond_model::{EndpointRecord, EndpointStatus};
use umberpond_net::BoxStream;
use umberpond_overlay::interface::{ConnectionId, Input};
use umberpond_overlay::{OverlayConfig, OverlayNode, PeerMessage};

use super::OverlayMessage;
use super::connection::{self, ConnectionContext, ConnectionState};
use super::wake::WakeTimer;
use crate::activation::Activation;
use crate::commit_index::KnownCommitIndex;
use crate::environment::{Environment, SeedUse};
use crate::platform::PlatformMessage;
use crate::recording::Recording;
use crate::tasks::TaskGroup;

/// Control connections from other nodes; more are closed at once.
const MAX_CONNECTIONS: usize = 1_024;

/// The overlay actor.
pub(crate) struct OverlayActor;

/// What the actor starts with.
pub(crate) struct OverlayArguments {
    pub(crate) config: OverlayConfig,
    pub(crate) own: EndpointRecord,
    pub(crate) environment: Environment,
    pub(crate) tasks: TaskGroup,
    pub(crate) activation: Arc<Activation>,
    pub(crate) recording: Arc<Recording>,
    pub(crate) commit_index: Arc<KnownCommitIndex>,
}

/// State of the actor.
pub(crate) struct OverlayState {
    core: OverlayNode,
    own: EndpointRecord,
    pub(super) environment: Environment,
    pub(super) context: ConnectionContext,
    pub(super) connections: BTreeMap<ConnectionId, ConnectionState>,
    next_connection: u64,
    pub(super) wake: WakeTimer,
    pub(super) activation: Arc<Activation>,
    pub(super) recording: Arc<Recording>,
    pub(super) commit_index: Arc<KnownCommitIndex>,
    pub(super) platform: Option<ActorRef<PlatformMessage>>,
}

impl Actor for OverlayActor {
    type Msg = OverlayMessage;
    type State = OverlayState;
    type Arguments = OverlayArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<OverlayMessage>,
        arguments: OverlayArguments,
    ) -> Result<OverlayState, ActorProcessingErr> {
        let seed = arguments.environment.seed_for(SeedUse::Overlay);
        let context = ConnectionContext {
            actor: myself,
            network: Arc::clone(&arguments.environment.network),
            tasks: arguments.tasks,
            telemetry: arguments.environment.telemetry.clone(),
        };
        Ok(OverlayState {
            core: OverlayNode::new(arguments.config, arguments.own.clone(), seed),
            own: arguments.own,
            environment: arguments.environment,
            context,
            connections: BTreeMap::new(),
            next_connection: 0,
            wake: WakeTimer::default(),
            activation: arguments.activation,
            recording: arguments.recording,
            commit_index: arguments.commit_index,
            platform: None,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<OverlayMessage>,
        message: OverlayMessage,
        state: &mut OverlayState,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(message);
        Ok(())
    }
}

impl OverlayState {
    fn handle(&mut self, message: OverlayMessage) {
        match message {
            OverlayMessage::Connected { to, stream } => {
                let connection = self.open(stream);
                self.feed(Input::Connected { connection, to });
            }
            OverlayMessage::ConnectFailed { to } => self.feed(Input::ConnectFailed { to }),
            OverlayMessage::Accepted { stream } => self.accept(stream),
            OverlayMessage::Received { connection, message, place } => {
                self.receive(connection, message);
                drop(place);
            }
            OverlayMessage::Ended { connection } => self.end(connection),
            OverlayMessage::Wake => self.feed(Input::Wake),
            OverlayMessage::Platform(event) => self.feed(Input::Platform(event)),
            OverlayMessage::PlatformActor(platform) => {
                self.platform = Some(platform);
                self.feed(Input::Started);
            }
            OverlayMessage::OwnStatus(status) => self.set_own_status(status),
            OverlayMessage::Status(reply) => {
                let status = self.core.status();
                self.commit_index.raise(status.committed);
                // Whoever asked may have given up.
                let _ = reply.send(Arc::new(status));
            }
        }
    }

    /// Gives the core an input and does what it asks for. What fails at once is the core's next input.
    fn feed(&mut self, input: Input<PeerMessage>) {
        let now = self.environment.now();
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            self.recording.input(now, &input);
            for output in self.core.on(now, input) {
                self.perform(output, &mut inputs);
            }
        }
    }

    fn open(&mut self, stream: BoxStream) -> ConnectionId {
        let connection = ConnectionId(self.next_connection);
        self.next_connection += 1;
        let handle = connection::open(&self.context, connection, stream);
        self.connections.insert(connection, ConnectionState::Open(handle));
        self.count_connections();
        connection
    }

    fn accept(&mut self, stream: BoxStream) {
        if self.connections.len() >= MAX_CONNECTIONS {
            return;
        }
        let connection = self.open(stream);
        self.feed(Input::Accepted { connection });
    }

    fn receive(&mut self, connection: ConnectionId, message: PeerMessage) {
        if matches!(self.connections.get(&connection), Some(ConnectionState::Open(_))) {
            self.feed(Input::Received { connection, message });
        }
    }

    /// Forgets a connection that has ended; the core is told once, whoever ended it.
    fn end(&mut self, connection: ConnectionId) {
        if self.connections.remove(&connection).is_some() {
            self.count_connections();
            self.feed(Input::Disconnected { connection });
        }
    }

    pub(super) fn count_connections(&self) {
        self.environment.telemetry.metrics().set_control_connections(self.connections.len());
    }

    fn set_own_status(&mut self, status: EndpointStatus) {
        self.own.status = status;
        self.own.sequence += 1;
        self.feed(Input::OwnRecord(self.own.clone()));
    }
}
