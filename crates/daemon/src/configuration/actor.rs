//! The actor that owns the configuration of this node.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;
use umberpond_distribution::{
    ConfigurationHistory, NewerPeers, Transfer, TransferError, VersionedConfiguration,
};
use umberpond_net::Network;
use umberpond_telemetry::{Direction, Event, Telemetry};

use super::activation::Activation;
use super::message::{ConfigurationMessage, Fetched};
use super::peers::{TRANSFER, fetch};
use crate::membership::MembershipMessage;

/// Delay in milliseconds before the next fetch, after a peer that was busy.
const BUSY_RETRY_DELAY_MILLIS: Range<u64> = 15..60;

/// Arguments of the actor.
pub(crate) struct ConfigurationArguments {
    pub(crate) activation: Arc<Activation>,
    pub(crate) membership: ActorRef<MembershipMessage>,
    pub(crate) network: Arc<dyn Network>,
    pub(crate) telemetry: Telemetry,
    pub(crate) seed: u64,
}

pub(crate) struct ConfigurationState {
    history: ConfigurationHistory,
    activation: Arc<Activation>,
    membership: ActorRef<MembershipMessage>,
    network: Arc<dyn Network>,
    telemetry: Telemetry,
    newer_peers: NewerPeers,
    random: SmallRng,
    /// Whether a fetch is running or scheduled.
    is_fetching: bool,
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
            history: ConfigurationHistory::default(),
            activation: arguments.activation,
            membership: arguments.membership,
            network: arguments.network,
            telemetry: arguments.telemetry,
            newer_peers: NewerPeers::default(),
            random: SmallRng::seed_from_u64(arguments.seed),
            is_fetching: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ConfigurationMessage::PeerVersion { version, peer, is_same_zone } => {
                state.newer_peers.on_peer_version(peer, version, state.history.version(), is_same_zone);
                state.fetch_if_behind(&myself);
            }
            ConfigurationMessage::Fetched { fetched, from } => state.on_fetched(&myself, fetched, from),
            ConfigurationMessage::RetryFetch => {
                state.is_fetching = false;
                state.fetch_if_behind(&myself);
            }
            ConfigurationMessage::Sourced(sourced) => {
                // Creating a `VersionedConfiguration` computes its hash, so that older versions are skipped
                // first.
                if state.history.version() < Some(sourced.version) {
                    let _ = state.offer(VersionedConfiguration::new(sourced.version, sourced.snapshot));
                }
            }
            ConfigurationMessage::Pull { held, reply } => {
                let _ = reply.send(state.history.encoded_transfer_for(held));
            }
        }
        Ok(())
    }
}

impl ConfigurationState {
    /// Starts a fetch from a peer that holds a newer configuration, unless a fetch is running.
    fn fetch_if_behind(&mut self, myself: &ActorRef<ConfigurationMessage>) {
        if self.is_fetching {
            return;
        }
        let Some(from) = self.newer_peers.choose(&mut self.random) else { return };
        self.is_fetching = true;
        let held = self.history.newest().map(VersionedConfiguration::held);
        let network = Arc::clone(&self.network);
        let myself = myself.clone();
        tokio::spawn(async move {
            let fetched = fetch(&*network, from, held).await;
            let _ = myself.send_message(ConfigurationMessage::Fetched { fetched, from });
        });
    }

    fn on_fetched(&mut self, myself: &ActorRef<ConfigurationMessage>, fetched: Fetched, from: SocketAddr) {
        match fetched {
            Fetched::Busy => return self.retry_fetch_later(myself),
            Fetched::NoResponse => self.on_fetch_failed(from, "no response".to_owned()),
            Fetched::Transfer(bytes) => match self.receive(&bytes) {
                Ok(Some(received)) => {
                    if !self.offer(received) {
                        self.newer_peers.on_no_response(from);
                    }
                }
                Ok(None) => self.newer_peers.on_no_response(from),
                Err(error) => self.on_fetch_failed(from, error.to_string()),
            },
        }
        self.is_fetching = false;
        self.fetch_if_behind(myself);
    }

    fn receive(&self, bytes: &[u8]) -> Result<Option<VersionedConfiguration>, TransferError> {
        self.telemetry.metrics().control(Direction::In, TRANSFER, bytes.len());
        self.history.receive(Transfer::from_bytes(bytes)?)
    }

    fn on_fetch_failed(&mut self, from: SocketAddr, reason: String) {
        self.newer_peers.on_no_response(from);
        self.telemetry.emit(Event::ConfigurationFetchFailed { peer: from, reason });
    }

    fn retry_fetch_later(&mut self, myself: &ActorRef<ConfigurationMessage>) {
        let delay = Duration::from_millis(self.random.random_range(BUSY_RETRY_DELAY_MILLIS));
        let myself = myself.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            let _ = myself.send_message(ConfigurationMessage::RetryFetch);
        });
    }

    /// Activates a newer configuration and publishes its version; `false` if it isn't newer or can't be
    /// activated.
    fn offer(&mut self, offered: VersionedConfiguration) -> bool {
        if self.history.version() >= Some(offered.version) || !self.activation.activate(&offered) {
            return false;
        }
        let version = offered.version;
        self.history.offer(offered);
        let kept = self.history.size();
        self.telemetry.metrics().set_history(kept.versions, kept.names);
        self.newer_peers.on_own_version(version);
        let _ = self.membership.send_message(MembershipMessage::Version(version));
        true
    }
}
