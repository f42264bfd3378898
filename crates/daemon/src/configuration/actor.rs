//! The actor that owns the configuration of this node.

use std::net::SocketAddr;
use std::sync::Arc;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use umberpond_distribution::{Held, HeldConfiguration, Transfer, Versioned};
use umberpond_model::Version;
use umberpond_net::Network;
use umberpond_telemetry::{Event, Telemetry};

use super::activation::Activation;
use super::peers::fetch;
use super::source::Sourced;
use crate::membership::MembershipMessage;

/// What the configuration actor is told and asked.
pub(crate) enum ConfigurationMessage {
    /// Another node holds this version.
    Told { version: Version, by: SocketAddr },
    /// What came of fetching from another node; absent if it could not be had.
    Fetched { transfer: Option<Transfer>, from: SocketAddr },
    /// What the store holds.
    Sourced(Box<Sourced>),
    /// Another node asks for what is newer than it holds.
    Pull { held: Option<Held>, reply: RpcReplyPort<Transfer> },
}

/// What the actor needs.
pub(crate) struct ConfigurationArguments {
    pub(crate) activation: Arc<Activation>,
    pub(crate) membership: ActorRef<MembershipMessage>,
    pub(crate) network: Arc<dyn Network>,
    pub(crate) telemetry: Telemetry,
}

/// A version that another node was heard to hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Told {
    version: Version,
    by: SocketAddr,
}

pub(crate) struct ConfigurationState {
    held: HeldConfiguration,
    activation: Arc<Activation>,
    membership: ActorRef<MembershipMessage>,
    network: Arc<dyn Network>,
    telemetry: Telemetry,
    is_fetching: bool,
    /// The highest version told since the fetch began.
    told: Option<Told>,
}

/// The actor that owns the configuration of this node.
pub(crate) struct ConfigurationActor;

impl Actor for ConfigurationActor {
    type Msg = ConfigurationMessage;
    type State = ConfigurationState;
    type Arguments = ConfigurationArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        arguments: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        Ok(ConfigurationState {
            held: HeldConfiguration::default(),
            activation: arguments.activation,
            membership: arguments.membership,
            network: arguments.network,
            telemetry: arguments.telemetry,
            is_fetching: false,
            told: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ConfigurationMessage::Told { version, by } => state.on_told(&myself, Told { version, by }),
            ConfigurationMessage::Fetched { transfer, from } => state.on_fetched(&myself, transfer, from),
            ConfigurationMessage::Sourced(sourced) => {
                // The hash is worked out only for what is new.
                if state.held.version() < Some(sourced.version) {
                    state.offer(Versioned::new(sourced.version, sourced.snapshot));
                }
            }
            ConfigurationMessage::Pull { held, reply } => {
                let _ = reply.send(state.held.transfer_for(held));
            }
        }
        Ok(())
    }
}

impl ConfigurationState {
    fn on_told(&mut self, myself: &ActorRef<ConfigurationMessage>, told: Told) {
        if self.held.version() >= Some(told.version) {
            return;
        }
        if self.is_fetching {
            if self.told.is_none_or(|before| before.version <= told.version) {
                self.told = Some(told);
            }
            return;
        }
        self.is_fetching = true;
        let held = self.held.newest().map(Versioned::held);
        let network = Arc::clone(&self.network);
        let myself = myself.clone();
        tokio::spawn(async move {
            let transfer = fetch(&*network, told.by, held).await;
            let _ = myself.send_message(ConfigurationMessage::Fetched { transfer, from: told.by });
        });
    }

    fn on_fetched(
        &mut self,
        myself: &ActorRef<ConfigurationMessage>,
        transfer: Option<Transfer>,
        from: SocketAddr,
    ) {
        self.is_fetching = false;
        match transfer.map(|transfer| self.held.receive(transfer)) {
            Some(Ok(Some(received))) => self.offer(received),
            Some(Ok(None)) => {}
            Some(Err(error)) => {
                let reason = error.to_string();
                self.telemetry.emit(Event::ConfigurationFetchFailed { peer: from, reason });
            }
            None => {
                let reason = "no answer".to_owned();
                self.telemetry.emit(Event::ConfigurationFetchFailed { peer: from, reason });
            }
        }
        if let Some(told) = self.told.take() {
            self.on_told(myself, told);
        }
    }

    /// Puts a newer configuration in force and tells the others.
    fn offer(&mut self, offered: Versioned) {
        if self.held.version() >= Some(offered.version) || !self.activation.activate(&offered) {
            return;
        }
        let version = offered.version;
        self.held.offer(offered);
        let _ = self.membership.send_message(MembershipMessage::Version(version));
    }
}
