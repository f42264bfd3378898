//! The platform actor: lease, watch, head reads and machine list, on behalf of the overlay.
//!
//! The actor itself never waits for the platform. Each conversation is a task that tells the overlay actor what it
//! learns; the actor starts and ends these tasks.

mod actor;
mod backoff;
mod head_reads;
mod lease;
mod machines;
mod maintenance;
mod reader_address;
mod watch;

use umberpond_acceptance::chain::HeadSeen;
use umberpond_overlay::interface::PlatformRequest;

pub(crate) use actor::{PlatformActor, PlatformArguments};
pub(crate) use machines::KnownMachines;
pub(crate) use reader_address::find_reader;

/// What the platform actor is told.
#[derive(Debug)]
pub(crate) enum PlatformMessage {
    /// The overlay asks for something.
    Request(PlatformRequest),
    /// A read of the head has ended.
    HeadRead(Result<Option<HeadSeen>, umberpond_acceptance::ChainError>),
    /// It is time for the next read of the head after a failure.
    ReadHeadAgain,
}
