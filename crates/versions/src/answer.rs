//! What witnesses say to each other and to readers.

use bitcode::{Decode, Encode};
use umberpond_model::{Incarnation, NodeName, Nonce, Version};

/// What one witness states about itself.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WitnessAnswer {
    /// The witness.
    pub node: NodeName,
    /// Start count of its process.
    pub incarnation: Incarnation,
    /// Newest version that it holds; it holds the content too and can pass it on.
    pub version: Version,
    /// Witness set named by the record of that version.
    pub witnesses: Vec<NodeName>,
}

/// Messages between witnesses, and between witnesses and readers.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum WitnessMessage {
    /// The sender holds a version; sent to readers whenever the held version grows, and repeated on reconnect.
    Hold(WitnessAnswer),
    /// Asks for the newest version held. One question serves three ends: a floor round, the check before a commit
    /// and the recovery of a restarted witness; the asker knows them apart by the nonce.
    Query {
        /// Number of the question, never used before by any process of the asker.
        nonce: Nonce,
    },
    /// Answer to [`WitnessMessage::Query`]; never sent by a witness that is still recovering.
    Reply {
        /// Number of the question.
        nonce: Nonce,
        /// What the witness holds.
        answer: WitnessAnswer,
    },
}
