//! What can go wrong while a message is read.

use std::io;

use thiserror::Error;

/// A head that could not be read.
#[derive(Debug, Error)]
pub enum HeadError {
    /// The bytes are no HTTP/1 head.
    #[error("the bytes are no HTTP/1 head")]
    Malformed,
    /// The head is longer than the limit, or has too many fields.
    #[error("the head is over the limit")]
    TooLarge,
    /// The head did not arrive in time after its first byte.
    #[error("the head did not arrive in time")]
    TooSlow,
    /// The peer ended the connection inside a head.
    #[error("the connection ended inside a head")]
    Truncated,
    /// The transport failed.
    #[error("the connection failed")]
    Transport(#[from] io::Error),
}

/// A body that did not come to its proper end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The chunks are malformed.
    #[error("the chunked body is malformed")]
    Malformed,
    /// The peer ended the connection inside the body.
    #[error("the connection ended inside a body")]
    Truncated,
    /// The transport failed.
    #[error("the connection failed")]
    Transport(#[from] io::Error),
}
