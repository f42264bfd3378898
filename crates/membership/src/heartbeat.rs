//! What nodes tell one another in datagrams.

use bitcode::{Decode, Encode};
use umberpond_model::Version;
use umberpond_quarantine::SuspectRecord;
use umberpond_quotas::{QuotaGrant, QuotaReport};
use umberpond_rollouts::ReleaseEvidence;
use umberpond_scheduling::LoadReport;

use crate::digest::BucketDigest;
use crate::record::{MemberRecord, RecordOrder};

/// The last heartbeat that the sender received from the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Echo {
    /// Process that sent it.
    pub life: u64,
    /// Its number.
    pub number: u64,
}

/// What a node says of the configuration that it holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationWord {
    /// Version in force; absent before the first.
    pub version: Option<Version>,
    /// Time since any node last heard from the store itself, as far as the sender knows, in milliseconds; absent if it
    /// knows of none.
    pub store_age_millis: Option<u32>,
}

/// The sender's word of itself.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum SenderWord {
    /// The whole record.
    Whole(Box<MemberRecord>),
    /// The record of this order, which the receiver has said that it holds, or has been told by others.
    Held(RecordOrder),
}

impl SenderWord {
    /// Order of the sender's record.
    #[must_use]
    pub const fn order(&self) -> RecordOrder {
        match self {
            Self::Whole(record) => record.order(),
            Self::Held(order) => *order,
        }
    }
}

/// What one node tells another at regular times, and at once when something changes.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// Count of the heartbeats from this process to this receiver.
    pub number: u64,
    /// The sender's word of itself.
    pub word: SenderWord,
    /// The last heartbeat that came the other way; absent if none did lately.
    pub echo: Option<Echo>,
    /// The latest record of the receiver that the sender holds.
    pub held: Option<RecordOrder>,
    /// Load of the sender's back end.
    pub load: LoadReport,
    /// The configuration that the sender holds.
    pub configuration: ConfigurationWord,
    /// Part of what the sender knows of all nodes, for comparison.
    pub digests: Vec<BucketDigest>,
    /// Time in milliseconds between two heartbeats that the sender expects of the receiver; 0 if it does not watch it.
    pub watch_millis: u16,
    /// By whom the receiver was found silent, if it is left out for that.
    pub accusers: Vec<u64>,
    /// Whether the receiver should answer at once.
    pub wants_response: bool,
    /// Whether the receiver should send all records that it holds.
    pub wants_records: bool,
}

/// A neighbour's finding that a node is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Accusation {
    /// The record of the silent node; a later record of it refutes the finding.
    pub against: RecordOrder,
    /// Process that found it.
    pub by: u64,
}

/// What has changed in the membership, passed on from node to node.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct News {
    /// Newer records.
    pub records: Vec<MemberRecord>,
    /// Findings of neighbours.
    pub accusations: Vec<Accusation>,
    /// Whether only the receiver lacks them, so that they are not passed on.
    pub is_repair: bool,
}

impl News {
    /// Whether there is nothing in it.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.records.is_empty() && self.accusations.is_empty()
    }
}

/// What a node knows of one bucket, sent to a node whose digest of it differs.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct BucketOrders {
    /// The bucket.
    pub bucket: u8,
    /// Orders of the records that the sender holds in it.
    pub orders: Vec<RecordOrder>,
}

/// What nodes tell one another of the requests under suspicion of ending back ends.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum SuspectMessage {
    /// Findings, passed on.
    Told(Vec<SuspectRecord>),
    /// Sum of what every node has to know, for comparison.
    Digest(u64),
    /// What the receiver may lack, so that it is not passed on.
    Repair {
        /// Findings.
        records: Vec<SuspectRecord>,
        /// Whether the sender may lack some itself.
        wants_response: bool,
    },
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Datagram {
    /// Shows that the sender runs.
    Heartbeat(Box<Heartbeat>),
    /// Changes, passed on.
    News(News),
    /// Asks for the records of a bucket that the sender lacks.
    Orders(BucketOrders),
    /// Tells a coordinator of a rollout what a back end has answered.
    Evidence(Box<ReleaseEvidence>),
    /// Tells of requests that may end back ends.
    Suspects(SuspectMessage),
    /// Hands earned time on to a pool of tokens, and asks it for some.
    QuotaReport(Box<QuotaReport>),
    /// Answers such a report.
    QuotaGrant(QuotaGrant),
}

impl Datagram {
    /// Its kind in the metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::News(_) => "news",
            Self::Orders(_) => "repair",
            Self::Evidence(_) => "evidence",
            Self::Suspects(_) => "suspects",
            Self::QuotaReport(_) => "quota-report",
            Self::QuotaGrant(_) => "quota-grant",
        }
    }
}
