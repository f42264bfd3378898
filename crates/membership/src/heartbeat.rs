//! Datagrams exchanged between nodes.

use bitcode::{Decode, Encode};
use umberpond_model::Version;
use umberpond_quarantine::SuspectRecord;
use umberpond_quotas::{QuotaGrant, QuotaReport};
use umberpond_rollouts::ReleaseEvidence;
use umberpond_scheduling::LoadReport;

use crate::digest::BucketDigest;
use crate::record::{BackEndRecord, MemberRecord, RecordOrder};

/// Identifies the last heartbeat that the sender received from the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Echo {
    /// Process that sent the heartbeat.
    pub process_id: u64,
    /// Number of the heartbeat.
    pub number: u64,
}

/// The configuration that a node holds, and how recently the store was in contact.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationStatus {
    /// Active version; absent before the first activation.
    pub version: Option<Version>,
    /// Time in milliseconds since the last response from the store to any node, as far as the sender knows;
    /// absent if it knows of none.
    pub store_age_millis: Option<u32>,
}

/// The sender's own record, in full or by version.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum SenderRecord {
    /// The complete record.
    Full(Box<MemberRecord>),
    /// Version of the record. Sent if the receiver has acknowledged this version, or is expected to have
    /// received it from other nodes.
    Known(RecordOrder),
}

impl SenderRecord {
    /// Version of the sender's record.
    #[must_use]
    pub const fn order(&self) -> RecordOrder {
        match self {
            Self::Full(record) => record.order(),
            Self::Known(order) => *order,
        }
    }
}

/// Sent between neighbours at regular intervals, and immediately after a change.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// Number of the heartbeat, counted per sending process and receiver.
    pub number: u64,
    /// The sender's own record.
    pub sender: SenderRecord,
    /// The last heartbeat received from the receiver; absent if the sender's process has received none.
    pub echo: Option<Echo>,
    /// Version of the receiver's record that the sender holds.
    pub held: Option<RecordOrder>,
    /// Load of the sender's back end.
    pub load: LoadReport,
    /// The configuration that the sender holds.
    pub configuration: ConfigurationStatus,
    /// Digests of some buckets of the sender's records, for comparison.
    pub digests: Vec<BucketDigest>,
    /// Interval in milliseconds at which the sender expects heartbeats from the receiver; 0 if it does not
    /// monitor the receiver.
    pub watch_millis: u16,
    /// Processes that accused the receiver, if the sender has excluded it.
    pub accusers: Vec<u64>,
    /// Back end that an earlier process of the receiver's node published, if the receiver publishes none yet or
    /// contradicts its departure.
    pub earlier_back_end: Option<BackEndRecord>,
    /// Whether the receiver should respond immediately.
    pub wants_response: bool,
    /// Whether the receiver should send all records that it holds.
    pub wants_records: bool,
}

/// A neighbour's report that a node is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Accusation {
    /// The version of the silent node's record. A later version refutes the accusation.
    pub against: RecordOrder,
    /// Process that made the accusation.
    pub by: u64,
}

/// Changes of the membership, forwarded from node to node.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct MembershipUpdate {
    /// Newer records.
    pub records: Vec<MemberRecord>,
    /// Accusations made by neighbours.
    pub accusations: Vec<Accusation>,
    /// Whether this repairs missed updates of the receiver, which does not forward it.
    pub is_repair: bool,
}

impl MembershipUpdate {
    /// Whether it contains no changes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.records.is_empty() && self.accusations.is_empty()
    }
}

/// The record versions of one bucket, sent to a node whose digest of the bucket differs. The receiver sends
/// back the records that are missing.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct BucketContents {
    /// Index of the bucket.
    pub bucket: u8,
    /// Versions of the records that the sender holds in the bucket.
    pub orders: Vec<RecordOrder>,
}

/// Messages about requests that are suspected of crashing back ends.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum SuspectMessage {
    /// Findings, forwarded from node to node.
    Records(Vec<SuspectRecord>),
    /// Digest of the findings that all nodes should hold, for comparison.
    Digest(u64),
    /// Findings that the receiver may lack; it does not forward them.
    Repair {
        /// Findings.
        records: Vec<SuspectRecord>,
        /// Whether the sender may lack findings itself and requests a response.
        wants_response: bool,
    },
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Datagram {
    /// Shows that the sender is running.
    Heartbeat(Box<Heartbeat>),
    /// Membership changes.
    MembershipUpdate(MembershipUpdate),
    /// Requests the records of a bucket that the sender lacks.
    BucketContents(BucketContents),
    /// Reports a back end's responses to a coordinator of a rollout.
    Evidence(Box<ReleaseEvidence>),
    /// Reports requests that may crash back ends.
    Suspects(SuspectMessage),
    /// Transfers earned time to a token pool and requests tokens from it.
    QuotaReport(Box<QuotaReport>),
    /// Response to a quota report.
    QuotaGrant(QuotaGrant),
}

impl Datagram {
    /// Label of the datagram's kind in the metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::MembershipUpdate(_) => "news",
            Self::BucketContents(_) => "repair",
            Self::Evidence(_) => "evidence",
            Self::Suspects(_) => "suspects",
            Self::QuotaReport(_) => "quota-report",
            Self::QuotaGrant(_) => "quota-grant",
        }
    }
}
