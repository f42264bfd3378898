//! The actor that starts and ends the conversations with the platform.

use std::sync::Arc;

use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch as channel;
use tokio::task::AbortHandle;
use umberpond_acceptance::Acceptor;
use umberpond_acceptance::chain::ChainReader;
use umberpond_model::{Locality, NodeName, Version, VersionRecord};
use umberpond_overlay::interface::{PlatformEvent, PlatformRequest};
use umberpond_platform::PlatformClient;
use umberpond_telemetry::Telemetry;

use super::head_reads::HeadReads;
use super::lease::{self, ReaderLease};
use super::machines::{self, KnownMachines};
use super::{PlatformMessage, watch};
use crate::admin::api::ReaderAddress;
use crate::environment::{Environment, SeedUse};
use crate::overlay::OverlayMessage;

/// The platform actor.
pub(crate) struct PlatformActor;

/// What the actor starts with.
pub(crate) struct PlatformArguments {
    pub(crate) client: PlatformClient,
    pub(crate) acceptor: Acceptor,
    pub(crate) overlay: ActorRef<OverlayMessage>,
    pub(crate) environment: Environment,
    pub(crate) node: NodeName,
    pub(crate) locality: Locality,
    pub(crate) reader_address: ReaderAddress,
    pub(crate) machines: Arc<KnownMachines>,
}

/// What the conversations share.
#[derive(Clone)]
pub(super) struct PlatformContext {
    pub(super) client: PlatformClient,
    pub(super) acceptor: Acceptor,
    pub(super) overlay: ActorRef<OverlayMessage>,
    pub(super) telemetry: Telemetry,
    pub(super) machines: Arc<KnownMachines>,
    pub(super) environment: Environment,
    /// Record of the newest version that this node has seen on the platform.
    pub(super) newest_record: Arc<channel::Sender<Option<VersionRecord>>>,
}

impl PlatformContext {
    /// Reader of the version chain.
    pub(super) fn chain(&self) -> ChainReader {
        self.acceptor.chain().clone()
    }

    /// Keeps the record of a version, unless a newer one is known.
    pub(super) fn note_record(&self, record: &VersionRecord) {
        self.newest_record.send_if_modified(|newest| {
            let is_newer = newest.as_ref().is_none_or(|newest| newest.version < record.version);
            if is_newer {
                *newest = Some(record.clone());
            }
            is_newer
        });
    }

    /// Tells the overlay actor what the platform said. An actor that is gone needs no telling.
    pub(super) fn tell(&self, event: PlatformEvent) {
        let _ = self.overlay.send_message(OverlayMessage::Platform(event));
    }
}

/// A task that ends with its handle.
#[derive(Debug, Default)]
struct Conversation(Option<AbortHandle>);

impl Conversation {
    fn start(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.end();
        self.0 = Some(tokio::spawn(task).abort_handle());
    }

    fn end(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }

    fn is_running(&self) -> bool {
        self.0.as_ref().is_some_and(|task| !task.is_finished())
    }
}

impl Drop for Conversation {
    fn drop(&mut self) {
        self.end();
    }
}

/// State of the actor.
pub(crate) struct PlatformState {
    context: PlatformContext,
    lease: ReaderLease,
    rng: ChaCha8Rng,
    holding: Conversation,
    head_watch: Conversation,
    machine_watch: Conversation,
    releasing: Conversation,
    head_reads: HeadReads,
}

impl Actor for PlatformActor {
    type Msg = PlatformMessage;
    type State = PlatformState;
    type Arguments = PlatformArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<PlatformMessage>,
        arguments: PlatformArguments,
    ) -> Result<PlatformState, ActorProcessingErr> {
        let rng = ChaCha8Rng::seed_from_u64(arguments.environment.seed_for(SeedUse::Platform));
        let context = PlatformContext {
            client: arguments.client,
            acceptor: arguments.acceptor,
            overlay: arguments.overlay,
            telemetry: arguments.environment.telemetry.clone(),
            machines: arguments.machines,
            environment: arguments.environment,
            newest_record: Arc::new(channel::Sender::new(None)),
        };
        let lease = ReaderLease::new(arguments.node, &arguments.locality, arguments.reader_address);
        Ok(PlatformState {
            head_reads: HeadReads::new(context.clone(), myself),
            context,
            lease,
            rng,
            holding: Conversation::default(),
            head_watch: Conversation::default(),
            machine_watch: Conversation::default(),
            releasing: Conversation::default(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<PlatformMessage>,
        message: PlatformMessage,
        state: &mut PlatformState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            PlatformMessage::Request(request) => state.request(request),
            PlatformMessage::HeadRead(result) => state.head_reads.ended(result, &mut state.rng),
            PlatformMessage::ReadHeadAgain => state.head_reads.again(),
        }
        Ok(())
    }
}

impl PlatformState {
    fn request(&mut self, request: PlatformRequest) {
        match request {
            PlatformRequest::AcquireReaderLease => self.acquire(),
            PlatformRequest::ReleaseReaderLease => self.release(),
            PlatformRequest::Watch { after } => self.watch(after),
            PlatformRequest::ReadHeadVersion { nonce } => self.head_reads.ask(nonce),
        }
    }

    fn acquire(&mut self) {
        if self.holding.is_running() {
            return;
        }
        self.releasing.end();
        let rng = self.fork_rng();
        self.holding.start(lease::hold(self.context.clone(), self.lease.clone(), rng));
    }

    fn release(&mut self) {
        self.holding.end();
        self.head_watch.end();
        self.machine_watch.end();
        self.releasing.start(lease::release(self.context.clone(), self.lease.clone()));
    }

    fn watch(&mut self, after: Version) {
        let rng = self.fork_rng();
        self.head_watch.start(watch::follow_head(self.context.clone(), after, rng));
        let rng = self.fork_rng();
        self.machine_watch.start(machines::follow(self.context.clone(), rng));
    }

    fn fork_rng(&mut self) -> ChaCha8Rng {
        ChaCha8Rng::from_rng(&mut self.rng)
    }
}
