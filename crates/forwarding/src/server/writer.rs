//! Writes replies to a caller.

use std::io;

use bytes::BytesMut;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use umberpond_http1::{Framing, write_chunk, write_last_chunk, write_response_head};

use crate::message::ResponseBody;
use crate::outbound::Reply;

/// Answers up to this length are written together with their head.
const MAX_JOINED: usize = 64 * 1024;

/// How a reply came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Written {
    /// Whole.
    Whole,
    /// Broken off; the caller sees that by the end of the connection.
    Broken,
}

/// Writes one reply to a request with `method`. `closes`: the connection ends after it.
pub(super) async fn write_reply<W: AsyncWrite + Unpin>(
    writer: &mut W,
    mut reply: Reply,
    method: &[u8],
    closes: bool,
) -> io::Result<Written> {
    if closes {
        reply.fields.push(&b"Connection"[..], &b"close"[..]);
    }
    let framing = reply.body.length().map_or(Framing::Chunked, Framing::Length);
    let mut buffer = BytesMut::with_capacity(512);
    write_response_head(&mut buffer, reply.status, &reply.fields, framing);
    if method == b"HEAD" {
        writer.write_all(&buffer).await?;
        return Ok(Written::Whole);
    }
    if let ResponseBody::Whole(whole) = &reply.body
        && whole.len() <= MAX_JOINED
    {
        buffer.extend_from_slice(whole);
        writer.write_all(&buffer).await?;
        return Ok(Written::Whole);
    }
    writer.write_all(&buffer).await?;
    write_body(writer, reply.body, framing).await
}

async fn write_body<W: AsyncWrite + Unpin>(
    writer: &mut W,
    mut body: ResponseBody,
    framing: Framing,
) -> io::Result<Written> {
    let mut buffer = BytesMut::new();
    loop {
        let Ok(part) = body.next_part().await else { return Ok(Written::Broken) };
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
    Ok(Written::Whole)
}
