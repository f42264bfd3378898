//! The overlay: roles, parents and children, transfers, and the spread of endpoint records.
//!
//! [`interface`] is the whole boundary between the core and whatever drives it: the daemon over TCP, the
//! full-stack simulation, and the scale simulation with thousands of hollow nodes in one process.

mod backoff;
mod chain;
mod config;
mod directory;

pub mod interface;
mod message;
mod node;
mod plan;

mod report;
mod role;
mod scoped_view;
mod status;

pub use config::{Limits, OverlayConfig, Timing};
pub use message::{
    Attach, CompactAnswer, CompactWitnessMessage, Held, Hello, Interest, PROTOCOL, PeerMessage, Placement,
    Present, Purpose, ReaderState, ReaderSummary, RecordPosition, Refusal, RoutedWitnessMessage, Transfer,
    Update, Welcome, WitnessSets, ZonePositions,
};
pub use node::OverlayNode;
pub use report::{LagReason, Laggard, Report, VersionCount};
pub use role::Role;
pub use status::{ChildStatus, OverlayStatus};
