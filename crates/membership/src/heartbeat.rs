//! The one kind of datagram.

use bitcode::{Decode, Encode};
use umberpond_model::Version;
use umberpond_scheduling::LoadReport;

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
    /// Time since the node last heard from the store itself, in milliseconds; absent if it never did or does not ask.
    pub store_age_millis: Option<u32>,
}

/// The sender's word of itself.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum SenderWord {
    /// The whole record.
    Whole(Box<MemberRecord>),
    /// The record of this order, which the receiver has said that it holds.
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
    /// Records of some other nodes.
    pub others: Vec<MemberRecord>,
    /// Whether the receiver should answer at once.
    pub wants_answer: bool,
}
