//! Writes replies to a caller.

use std::io;

use bytes::BytesMut;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::timeout_at;
use umberpond_http1::{Framing, write_chunk, write_last_chunk, write_response_head};

use crate::message::ResponseBody;
use crate::outbound::Reply;

/// Maximum size of a body that is written together with its head.
const MAX_JOINT_WRITE: usize = 64 * 1024;

/// How the writing of a reply ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// The complete reply was written.
    Whole,
    /// The body was truncated; the caller notices because the connection is closed.
    Truncated,
}

/// Writes one reply to a request with `method`. If `closes` is set, the connection is closed after it.
pub(super) async fn write_reply<W: AsyncWrite + Unpin>(
    writer: &mut W,
    mut reply: Reply,
    method: &[u8],
    closes: bool,
) -> io::Result<WriteOutcome> {
    if closes {
        reply.fields.push(&b"Connection"[..], &b"close"[..]);
    }
    let framing = reply.body.length().map_or(Framing::Chunked, Framing::Length);
    let mut buffer = BytesMut::with_capacity(512);
    write_response_head(&mut buffer, reply.status, &reply.fields, framing);
    if method == b"HEAD" {
        writer.write_all(&buffer).await?;
        return Ok(WriteOutcome::Whole);
    }
    if let ResponseBody::Whole(whole) = &reply.body
        && whole.len() <= MAX_JOINT_WRITE
    {
        buffer.extend_from_slice(whole);
        writer.write_all(&buffer).await?;
        return Ok(WriteOutcome::Whole);
    }
    writer.write_all(&buffer).await?;
    let deadline = reply.body.deadline();
    let writing = write_body(writer, reply.body, framing);
    match deadline {
        // The caller may have stopped reading, so that no write returns.
        Some(deadline) => timeout_at(deadline, writing).await.unwrap_or(Ok(WriteOutcome::Truncated)),
        None => writing.await,
    }
}

async fn write_body<W: AsyncWrite + Unpin>(
    writer: &mut W,
    mut body: ResponseBody,
    framing: Framing,
) -> io::Result<WriteOutcome> {
    let mut buffer = BytesMut::new();
    loop {
        let Ok(part) = body.next_part().await else { return Ok(WriteOutcome::Truncated) };
        let Some(part) = part else { break };
        if framing == Framing::Chunked {
            buffer.clear();
            write_chunk(&mut buffer, &part);
            writer.write_all(&buffer).await?;
        } else {
            writer.write_all(&part).await?;
        }
    }
    if framing == Framing::Chunked {
        buffer.clear();
        write_last_chunk(&mut buffer);
        writer.write_all(&buffer).await?;
    }
    Ok(WriteOutcome::Whole)
}
