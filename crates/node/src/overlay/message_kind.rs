//! Names of the kinds of control messages, as labels of metrics.

use umberpond_overlay::PeerMessage;

/// Name of the kind of `message`.
#[must_use]
pub const fn message_kind(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Hello(_) => "hello",
        PeerMessage::Welcome(_) => "welcome",
        PeerMessage::Refuse(_) => "refuse",
        PeerMessage::Placement(_) => "placement",
        PeerMessage::Interest(_) => "interest",
        PeerMessage::Update(_) => "update",
        PeerMessage::Advance { .. } => "advance",
        PeerMessage::Acknowledge { .. } => "acknowledge",
        PeerMessage::RequestTransfer { .. } => "request-transfer",
        PeerMessage::Busy { .. } => "busy",
        PeerMessage::Report(_) => "report",
        PeerMessage::Summary(_) => "summary",
        PeerMessage::ReaderState(_) => "reader-state",
        PeerMessage::FloorQuestion { .. } => "floor-question",
        PeerMessage::FloorProof { .. } => "floor-proof",
        PeerMessage::Witness(_) => "witness",
        PeerMessage::Digests(_) => "digests",
        PeerMessage::Positions(_) => "positions",
        PeerMessage::Heartbeat { .. } => "heartbeat",
        PeerMessage::Synced => "synced",
        PeerMessage::Colleagues(_) => "colleagues",
        PeerMessage::RollCall { .. } => "roll-call",
        PeerMessage::Present(_) => "present",
        PeerMessage::Leaving => "leaving",
        PeerMessage::Unknown => "unknown",
    }
}
