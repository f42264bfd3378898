//! Errors of reading a message.

use std::io;

use thiserror::Error;

/// A head that could not be read.
#[derive(Debug, Error)]
pub enum HeadError {
    /// The bytes are not a valid HTTP/1 head.
    #[error("the bytes are not a valid HTTP/1 head")]
    Malformed,
    /// The head, or the empty lines before it, exceed the size limit, or it has too many fields.
    #[error("the head exceeds the limit")]
    TooLarge,
    /// The head was not complete within the time limit after its first byte.
    #[error("the head did not arrive in time")]
    TooSlow,
    /// The peer closed the connection inside a head.
    #[error("the connection ended inside a head")]
    Truncated,
    /// The transport failed.
    #[error("the connection failed")]
    Transport(#[from] io::Error),
}

/// A body that could not be read completely.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The chunked coding is malformed.
    #[error("the chunked body is malformed")]
    Malformed,
    /// The peer closed the connection inside the body.
    #[error("the connection ended inside a body")]
    Truncated,
    /// The transport failed.
    #[error("the connection failed")]
    Transport(#[from] io::Error),
}
