//! The word of a back end.

use std::net::SocketAddr;
use std::time::Duration;

use umberpond_model::{BackEndProcess, ReleaseName, ServiceName};

/// State of a back end by its own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncedState {
    /// It takes new work.
    Ready,
    /// It is going to leave.
    Draining,
}

/// What a back end says of itself at regular times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Its present life.
    pub life: BackEndProcess,
    /// Service that it serves.
    pub service: ServiceName,
    /// Version of its software.
    pub release: Option<ReleaseName>,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it is going to leave.
    pub state: AnnouncedState,
    /// How much longer it is slow from its start.
    pub cold_for: Duration,
    /// Count of the announcements of this life; a late one has a lower count.
    pub sequence: u64,
}
