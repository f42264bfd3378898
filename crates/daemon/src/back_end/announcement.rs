//! The announcement that a back end sends to its node.

use std::net::SocketAddr;
use std::time::Duration;

use umberpond_model::{BackEndProcess, ReleaseName, ServiceName};

/// State that a back end announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncedState {
    /// It accepts new requests.
    Ready,
    /// It is about to shut down and accepts no new requests.
    Draining,
}

/// A periodic report of a back end on itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The process that sent the announcement.
    pub process: BackEndProcess,
    /// Service that it serves.
    pub service: ServiceName,
    /// Version of its software.
    pub release: Option<ReleaseName>,
    /// Address at which it listens for requests.
    pub address: SocketAddr,
    /// Maximum number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is ready or draining.
    pub state: AnnouncedState,
    /// Remaining warm-up time; zero if it is warm.
    pub cold_for: Duration,
    /// Sequence number of the announcement within this process; a delayed one has a lower number.
    pub sequence: u64,
}
