//! The decision core of one node: it takes an input and says what its driver must do.

mod children;
mod content;
mod delivery;
mod floor;
mod links;
mod parent;
mod peers;
mod platform;
mod presence;
mod progress;
mod records;
mod repair;
mod roles;
mod state;
mod timers;
mod witnesses;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberpond_endpoints::{OwnRecord, SuspicionTimer};
use umberpond_model::{EndpointRecord, EndpointStatus, Nonce, Timestamp, Version};

use crate::chain::Chain;
use crate::directory::Directory;
use crate::interface::{ConnectionId, Decision, Input, Output};
use crate::{OverlayConfig, OverlayStatus, PeerMessage, Role};

use floor::FloorDesk;
use links::{DialPurpose, Link};
use parent::ParentState;
use state::{Child, Peer, ReaderDuty, RoleState};
use witnesses::WitnessDuty;

/// The overlay on one node.
#[derive(Debug)]
pub struct OverlayNode {
    config: OverlayConfig,
    rng: ChaCha8Rng,
    now: Timestamp,
    own: OwnRecord,
    superseded: bool,
    role: RoleState,
    directory: Directory,
    chain: Chain,
    links: BTreeMap<ConnectionId, Link>,
    dials: BTreeMap<SocketAddr, DialPurpose>,
    parent: ParentState,
    children: BTreeMap<ConnectionId, Child>,
    peers: BTreeMap<ConnectionId, Peer>,
    reader: Option<Box<ReaderDuty>>,
    witness: Option<Box<WitnessDuty>>,
    floor: FloorDesk,
    suspicion: SuspicionTimer,
    progress: progress::Progress,
    records: records::RecordState,
    schedule: timers::Schedule,
    out: Vec<Output<PeerMessage>>,
}

impl OverlayNode {
    /// A node that has not started yet. `own` names the node, its locality, addresses, service and incarnation.
    /// The random numbers, nonces included, come from `seed` and the incarnation: a restarted process must have
    /// another seed or a later incarnation.
    #[must_use]
    pub fn new(config: OverlayConfig, own: EndpointRecord, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ own.incarnation.0.rotate_left(32));
        let status = own.status;
        let mut own = OwnRecord::new(own);
        if status != EndpointStatus::Starting {
            // A fresh record only starts, so any other status is a step forward and can't be refused.
            let _ = own.set_status(status);
        }
        Self {
            rng,
            now: Timestamp(0),
            superseded: false,
            role: RoleState::default(),
            directory: Directory::new(own.record().locality.clone()),
            chain: Chain::new(config.callers.clone()),
            links: BTreeMap::new(),
            dials: BTreeMap::new(),
            parent: ParentState::default(),
            children: BTreeMap::new(),
            peers: BTreeMap::new(),
            reader: None,
            witness: None,
            floor: FloorDesk::default(),
            suspicion: SuspicionTimer::new(),
            progress: progress::Progress::default(),
            records: records::RecordState::default(),
            schedule: timers::Schedule::default(),
            out: Vec::new(),
            own,
            config,
        }
    }

    /// Takes an input and returns what the driver must do, in order. `now` never goes back.
    pub fn on(&mut self, now: Timestamp, input: Input<PeerMessage>) -> Vec<Output<PeerMessage>> {
        self.now = self.now.max(now);
        self.take_input(input);
        self.run_due_work();
        self.request_wake();
        std::mem::take(&mut self.out)
    }

    fn take_input(&mut self, input: Input<PeerMessage>) {
        match input {
            Input::Started => self.on_started(),
            Input::Wake => {}
            Input::Connected { connection, to } => self.on_connected(connection, to),
            Input::ConnectFailed { to } => self.on_connect_failed(to),
            Input::Accepted { connection } => self.on_accepted(connection),
            Input::Disconnected { connection } => self.on_disconnected(connection),
            Input::Received { connection, message } => self.on_received(connection, message),
            Input::Platform(event) => self.on_platform(event),
            Input::OwnRecord(record) => self.on_own_record(&record),
        }
    }

    fn on_started(&mut self) {
        self.schedule.started = true;
        let own = self.own.record().clone();
        self.merge_own(&own);
        self.parent.orphan_since = Some(self.now);
        self.parent.retry_at =
            self.now + crate::backoff::jitter(&mut self.rng, self.config.timing.backoff_base);
        self.ask_own_floor();
    }

    /// What the node tells about itself.
    #[must_use]
    pub fn status(&self) -> OverlayStatus {
        let own = self.own.record();
        let store = self.chain.store();
        OverlayStatus {
            node: own.node.clone(),
            locality: own.locality.clone(),
            role: self.role.current,
            depth: self.depth(),
            parent: self.parent.attached.as_ref().map(|attached| attached.node.clone()),
            parent_candidates: self.parent.placement.parents.clone(),
            children: self.child_statuses(),
            peers: self.peers.values().map(|peer| peer.node.clone()).collect(),
            held: self.chain.held_version(),
            active: store.active(),
            committed: store.committed(),
            floor: store.floor(),
            ready: self.is_ready(),
            has_lease: self.reader.as_ref().is_some_and(|reader| reader.has_lease),
            platform_available: self.reader.as_ref().and_then(|reader| reader.platform_available),
            zone_members: self.directory.zone_size(),
            endpoint_records: self.directory.table().len(),
            witnesses: self.chain.sets().current.clone(),
            zones: self.zone_reports(),
            proposed_witnesses: self.proposed_witnesses(),
        }
    }

    /// Whether a configuration that reaches the proved floor is in force, or none exists yet by proof.
    fn is_ready(&self) -> bool {
        let store = self.chain.store();
        let nothing_exists = store.floor() == Some(Version::GENESIS) && self.chain.held().is_none();
        store.is_ready() || nothing_exists
    }

    /// Hops to a reader.
    fn depth(&self) -> Option<u8> {
        if self.role.current == Role::Reader {
            return Some(0);
        }
        let above = self.parent.attached.as_ref()?.depth?;
        Some(above.saturating_add(1))
    }

    fn nonce(&mut self) -> Nonce {
        Nonce(self.rng.next_u64())
    }

    fn decide(&mut self, decision: Decision) {
        self.out.push(Output::Decision(decision));
    }
}

/// An update that is shared by all its receivers.
fn share(update: crate::Update) -> PeerMessage {
    PeerMessage::Update(Arc::new(update))
}
