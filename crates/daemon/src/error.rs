//! Why a daemon could not start.

use std::io;
use std::net::SocketAddr;

use ractor::SpawnErr;
use thiserror::Error;

/// A daemon that could not start. Nothing of it is left running.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener could not be opened.
    #[error("can't listen at {address} for {listener}")]
    Listen {
        /// Name of the listener.
        listener: &'static str,
        /// Its address.
        address: SocketAddr,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// An actor could not be started.
    #[error("an actor could not be started")]
    Actor(#[from] SpawnErr),
}
