//! Encodes heads and chunks into a buffer.

use bytes::{BufMut, BytesMut};

use crate::fields::Fields;
use crate::framing::Framing;
use crate::head::reason_phrase;

/// Writes the head of a request whose body has `framing`. `fields` must not contain framing fields.
pub fn write_request_head(
    buffer: &mut BytesMut,
    method: &[u8],
    target: &[u8],
    fields: &Fields,
    framing: Framing,
) {
    buffer.put_slice(method);
    buffer.put_u8(b' ');
    buffer.put_slice(target);
    buffer.put_slice(b" HTTP/1.1\r\n");
    write_fields(buffer, fields);
    let is_bodyless_method = matches!(method, b"GET" | b"HEAD" | b"DELETE" | b"OPTIONS");
    if !(framing.is_empty() && is_bodyless_method) {
        write_framing(buffer, framing);
    }
    buffer.put_slice(b"\r\n");
}

/// Writes the head of a response whose body has `framing`. `fields` must not contain framing fields.
pub fn write_response_head(buffer: &mut BytesMut, status: u16, fields: &Fields, framing: Framing) {
    buffer.put_slice(b"HTTP/1.1 ");
    buffer.put_slice(itoa::Buffer::new().format(status).as_bytes());
    buffer.put_u8(b' ');
    buffer.put_slice(reason_phrase(status).as_bytes());
    buffer.put_slice(b"\r\n");
    write_fields(buffer, fields);
    if !matches!(status, 100..=199 | 204 | 304) {
        write_framing(buffer, framing);
    }
    buffer.put_slice(b"\r\n");
}

fn write_fields(buffer: &mut BytesMut, fields: &Fields) {
    for field in fields {
        buffer.put_slice(&field.name);
        buffer.put_slice(b": ");
        buffer.put_slice(&field.value);
        buffer.put_slice(b"\r\n");
    }
}

fn write_framing(buffer: &mut BytesMut, framing: Framing) {
    match framing {
        Framing::Length(length) => {
            buffer.put_slice(b"Content-Length: ");
            buffer.put_slice(itoa::Buffer::new().format(length).as_bytes());
            buffer.put_slice(b"\r\n");
        }
        Framing::Chunked => buffer.put_slice(b"Transfer-Encoding: chunked\r\n"),
        Framing::UntilClose => buffer.put_slice(b"Connection: close\r\n"),
    }
}

/// Writes one chunk. Writes nothing for an empty part, since an empty chunk would end the body.
pub fn write_chunk(buffer: &mut BytesMut, part: &[u8]) {
    if part.is_empty() {
        return;
    }
    buffer.put_slice(format!("{:x}\r\n", part.len()).as_bytes());
    buffer.put_slice(part);
    buffer.put_slice(b"\r\n");
}

/// Writes the last chunk of a chunked body and an empty trailer section.
pub fn write_last_chunk(buffer: &mut BytesMut) {
    buffer.put_slice(b"0\r\n\r\n");
}
