//! The format of a recording: one byte for the schema, then bitcode.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use bitcode::{Decode, Encode};
use thiserror::Error;
use umberpond_config::{Delta, Snapshot};
use umberpond_model::{
    EndpointRecord, Member, NodeName, Nonce, ServiceName, Timestamp, Version, VersionRecord,
};
use umberpond_overlay::interface::{
    AcceptedVersion, ConnectionId, Input, Machine, PlatformEvent, WholeVersion,
};
use umberpond_overlay::{OverlayConfig, PeerMessage};

use crate::overlay::message_kind;

/// Number of this format.
const SCHEMA: u8 = 1;

/// Bytes that are no recording of this format.
#[derive(Debug, Error)]
pub enum RecordingError {
    /// The file is empty.
    #[error("the file is empty")]
    Empty,
    /// The file was written in another format.
    #[error("the recording has format {found}; this program reads format {SCHEMA}")]
    UnknownSchema {
        /// Number found.
        found: u8,
    },
    /// The bytes are damaged.
    #[error("the recording is damaged")]
    Damaged(#[from] bitcode::Error),
}

/// What a core needs to start as the recorded one did.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RecordingHeader {
    seeds: Vec<SocketAddr>,
    callers: BTreeSet<ServiceName>,
    own: EndpointRecord,
    seed: u64,
}

impl RecordingHeader {
    pub(super) fn new(config: &OverlayConfig, own: EndpointRecord, seed: u64) -> Self {
        Self { seeds: config.seeds.clone(), callers: config.callers.clone(), own, seed }
    }

    /// The recorded node.
    #[must_use]
    pub const fn node(&self) -> &NodeName {
        &self.own.node
    }

    pub(super) fn config(&self) -> OverlayConfig {
        OverlayConfig::new(self.seeds.clone(), self.callers.clone())
    }

    pub(super) fn own(&self) -> EndpointRecord {
        self.own.clone()
    }

    pub(super) const fn seed(&self) -> u64 {
        self.seed
    }
}

/// One input and the decisions it led to in the daemon.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct RecordingEntry {
    /// When, on the process clock.
    pub at: Timestamp,
    /// The input.
    pub input: RecordedInput,
    /// The daemon's decisions, as text.
    pub decisions: Vec<String>,
}

/// An input of the overlay core in a form that can be written.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[allow(missing_docs, reason = "each variant mirrors the one of `Input` or `PlatformEvent` of the same name")]
pub enum RecordedInput {
    Started,
    Wake,
    Connected { connection: u64, to: SocketAddr },
    ConnectFailed { to: SocketAddr },
    Accepted { connection: u64 },
    Disconnected { connection: u64 },
    Received { connection: u64, message: PeerMessage },
    OwnRecord(EndpointRecord),
    LeaseGranted,
    LeaseLost,
    VersionAccepted { record: VersionRecord, delta: Delta },
    Whole { record: VersionRecord, previous_witnesses: Vec<NodeName>, content: Delta },
    HeadVersion { nonce: Nonce, version: Version },
    Machines(Vec<RecordedMachine>),
    Unavailable,
}

/// One entry of the machine list.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct RecordedMachine {
    member: Member,
    leaving: bool,
}

impl RecordedInput {
    pub(super) fn of(input: &Input<PeerMessage>) -> Self {
        match input {
            Input::Started => Self::Started,
            Input::Wake => Self::Wake,
            Input::Connected { connection, to } => Self::Connected { connection: connection.0, to: *to },
            Input::ConnectFailed { to } => Self::ConnectFailed { to: *to },
            Input::Accepted { connection } => Self::Accepted { connection: connection.0 },
            Input::Disconnected { connection } => Self::Disconnected { connection: connection.0 },
            Input::Received { connection, message } => {
                Self::Received { connection: connection.0, message: message.clone() }
            }
            Input::Platform(event) => Self::of_platform(event),
            Input::OwnRecord(record) => Self::OwnRecord(record.clone()),
        }
    }

    fn of_platform(event: &PlatformEvent) -> Self {
        match event {
            PlatformEvent::LeaseGranted => Self::LeaseGranted,
            PlatformEvent::LeaseLost => Self::LeaseLost,
            PlatformEvent::Accepted(accepted) => {
                Self::VersionAccepted { record: accepted.record.clone(), delta: accepted.delta.clone() }
            }
            PlatformEvent::Whole(whole) => Self::Whole {
                record: whole.record.clone(),
                previous_witnesses: whole.previous_witnesses.clone(),
                content: Delta::between(&Snapshot::default(), &whole.snapshot),
            },
            PlatformEvent::HeadVersion { nonce, version } => {
                Self::HeadVersion { nonce: *nonce, version: *version }
            }
            PlatformEvent::Machines(machines) => Self::Machines(
                machines
                    .iter()
                    .map(|machine| RecordedMachine {
                        member: machine.member.clone(),
                        leaving: machine.leaving,
                    })
                    .collect(),
            ),
            PlatformEvent::Unavailable => Self::Unavailable,
        }
    }

    /// One line about the input, without the content of configurations.
    #[must_use]
    pub fn summary(&self) -> String {
        match self {
            Self::Received { connection, message } => {
                format!("received over connection {connection}: {}", message_kind(message))
            }
            Self::VersionAccepted { record, .. } => format!("the platform tells version {}", record.version),
            Self::Whole { record, .. } => format!("the platform tells version {} whole", record.version),
            Self::OwnRecord(record) => format!("the back end is {:?}", record.status),
            other => format!("{other:?}"),
        }
    }

    /// The input as the core takes it.
    pub(super) fn into_input(self) -> Input<PeerMessage> {
        match self {
            Self::Started => Input::Started,
            Self::Wake => Input::Wake,
            Self::Connected { connection, to } => {
                Input::Connected { connection: ConnectionId(connection), to }
            }
            Self::ConnectFailed { to } => Input::ConnectFailed { to },
            Self::Accepted { connection } => Input::Accepted { connection: ConnectionId(connection) },
            Self::Disconnected { connection } => Input::Disconnected { connection: ConnectionId(connection) },
            Self::Received { connection, message } => {
                Input::Received { connection: ConnectionId(connection), message }
            }
            Self::OwnRecord(record) => Input::OwnRecord(record),
            platform => Input::Platform(platform.into_platform_event()),
        }
    }

    fn into_platform_event(self) -> PlatformEvent {
        match self {
            Self::LeaseGranted => PlatformEvent::LeaseGranted,
            Self::LeaseLost => PlatformEvent::LeaseLost,
            Self::VersionAccepted { record, delta } => {
                PlatformEvent::Accepted(Arc::new(AcceptedVersion { record, delta }))
            }
            Self::Whole { record, previous_witnesses, content } => {
                let snapshot = content.apply(&Snapshot::default());
                PlatformEvent::Whole(Arc::new(WholeVersion { record, previous_witnesses, snapshot }))
            }
            Self::HeadVersion { nonce, version } => PlatformEvent::HeadVersion { nonce, version },
            Self::Machines(machines) => PlatformEvent::Machines(Arc::new(
                machines
                    .into_iter()
                    .map(|machine| Machine { member: machine.member, leaving: machine.leaving })
                    .collect(),
            )),
            _ => PlatformEvent::Unavailable,
        }
    }
}

/// A whole recording.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordingFile {
    /// How the core started.
    pub header: RecordingHeader,
    /// What it was told, oldest first.
    pub entries: Vec<RecordingEntry>,
    /// Whether the recording was full, so that later inputs are missing.
    pub is_truncated: bool,
}

#[derive(Encode, Decode)]
struct StoredFile {
    header: RecordingHeader,
    entries: Vec<Vec<u8>>,
    is_truncated: bool,
}

impl RecordingFile {
    pub(super) fn encode(header: &RecordingHeader, entries: &[Arc<[u8]>], is_truncated: bool) -> Vec<u8> {
        let entries = entries.iter().map(|entry| entry.to_vec()).collect();
        let stored = StoredFile { header: header.clone(), entries, is_truncated };
        let mut bytes = vec![SCHEMA];
        bytes.extend(bitcode::encode(&stored));
        bytes
    }

    /// Reads a recording.
    ///
    /// # Errors
    /// Returns [`RecordingError`] for anything but a whole recording of this format.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordingError> {
        let (schema, content) = bytes.split_first().ok_or(RecordingError::Empty)?;
        if *schema != SCHEMA {
            return Err(RecordingError::UnknownSchema { found: *schema });
        }
        let stored: StoredFile = bitcode::decode(content)?;
        let entries = stored.entries.iter().map(|entry| bitcode::decode(entry)).collect::<Result<_, _>>()?;
        Ok(Self { header: stored.header, entries, is_truncated: stored.is_truncated })
    }
}
