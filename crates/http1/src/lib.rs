//! HTTP/1.1 messages on a byte stream.
//!
//! `httparse` parses the heads; this crate adds what a proxy needs and a general library hides: how many
//! bytes of a message were read, whether a body is complete, and whether a connection can be reused.
//! `docs/design/0101-request-path.md` explains why the request path does not use `hyper`.
//!
//! All reading functions are cancel-safe: bytes that have arrived stay in the [`MessageReader`].

mod body;
mod encode;
mod error;
mod fields;
mod framing;
mod head;
mod reader;

pub use body::BodyDecoder;
pub use encode::{write_chunk, write_last_chunk, write_request_head, write_response_head};
pub use error::{BodyError, HeadError};
pub use fields::{Field, Fields};
pub use framing::{Framing, FramingError, request_framing, response_framing};
pub use head::{HttpVersion, RequestHead, ResponseHead, reason_phrase};
pub use reader::{MessageReader, ReadLimits};
