//! Errors of starting a daemon.

use std::io;
use std::net::SocketAddr;

use ractor::SpawnErr;
use thiserror::Error;

/// A daemon could not start. No part of it is left running.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener could not be opened.
    #[error("can't listen at {address} for {listener}")]
    Listen {
        /// Name of the listener.
        listener: &'static str,
        /// Its address.
        address: SocketAddr,
        /// Cause of the failure.
        #[source]
        source: io::Error,
    },
    /// An actor could not be started.
    #[error("an actor could not be started")]
    Actor(#[from] SpawnErr),
}
