//! The overlay actor: drives [`umberpond_overlay::OverlayNode`] over control connections.
//!
//! The actor holds the core and the connections' ends. Everything that waits (connecting, reading, writing, the
//! platform) runs in tasks that send the actor messages, so that the core never waits for I/O.

mod actor;
mod connection;
mod message_kind;
mod outputs;
mod wake;

use std::net::SocketAddr;
use std::sync::Arc;

use ractor::{ActorRef, RpcReplyPort};
use tokio::sync::OwnedSemaphorePermit;
use umberpond_model::EndpointStatus;
use umberpond_net::BoxStream;
use umberpond_overlay::interface::{ConnectionId, PlatformEvent};
use umberpond_overlay::{OverlayStatus, PeerMessage};

pub(crate) use actor::{OverlayActor, OverlayArguments};
pub use message_kind::message_kind;

use crate::platform::PlatformMessage;

/// What the overlay actor is told.
pub(crate) enum OverlayMessage {
    /// A connection that the core asked for stands.
    Connected {
        /// The address that was asked for.
        to: SocketAddr,
        /// The connection.
        stream: BoxStream,
    },
    /// A connection that the core asked for could not be made.
    ConnectFailed {
        /// The address that was asked for.
        to: SocketAddr,
    },
    /// Another node has connected.
    Accepted {
        /// The connection.
        stream: BoxStream,
    },
    /// A message has arrived.
    Received {
        /// Over which connection.
        connection: ConnectionId,
        /// The message.
        message: PeerMessage,
        /// Given back when the message is dealt with, so that the reader goes on reading.
        place: OwnedSemaphorePermit,
    },
    /// A connection has ended.
    Ended {
        /// Which one.
        connection: ConnectionId,
    },
    /// The time that the core asked for has come.
    Wake,
    /// The platform has answered or told something.
    Platform(PlatformEvent),
    /// The platform actor is up.
    PlatformActor(ActorRef<PlatformMessage>),
    /// The back end beside the node has changed, or the node drains.
    OwnStatus(EndpointStatus),
    /// Asks for the core's state.
    Status(RpcReplyPort<Arc<OverlayStatus>>),
}

impl std::fmt::Debug for OverlayMessage {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = match self {
            Self::Connected { .. } => "Connected",
            Self::ConnectFailed { .. } => "ConnectFailed",
            Self::Accepted { .. } => "Accepted",
            Self::Received { .. } => "Received",
            Self::Ended { .. } => "Ended",
            Self::Wake => "Wake",
            Self::Platform(_) => "Platform",
            Self::PlatformActor(_) => "PlatformActor",
            Self::OwnStatus(_) => "OwnStatus",
            Self::Status(_) => "Status",
        };
        formatter.write_str(name)
    }
}
