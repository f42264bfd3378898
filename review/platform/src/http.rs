//! HTTP/1.1 over TCP, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request or a response.
#[derive(Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(held, _)| held.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message with its body; `None` if the connection has ended before it.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Reads the head of a message; `None` if the connection has ended before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let held = line.trim_end();
        if held.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = held.split_once(':') {
            message.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> io::Result<()> {
    if message.field("transfer-encoding").is_some() {
        let mut line = String::new();
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let from = message.body.len();
            message.body.resize(from + length, 0);
            reader.read_exact(&mut message.body[from..])?;
            line.clear();
            reader.read_line(&mut line)?;
            if length == 0 {
                return Ok(());
            }
        }
    }
    let length = message.field("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)
}

/// Writes a response with a length.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    fields: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

const fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
