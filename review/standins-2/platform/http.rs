//! Reading and writing of HTTP/1.1 messages on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Start line and header fields of a message.
pub struct Head {
    pub start: Vec<String>,
    fields: Vec<(String, String)>,
}

impl Head {
    /// Value of the first field with this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start.get(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads the head of the next message; `None` if the connection ends before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let start = line.split_whitespace().map(str::to_owned).collect();
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.split_once(':') else { break };
        fields.push((name.to_owned(), value.trim().to_owned()));
    }
    Ok(Some(Head { start, fields }))
}

/// Reads the body that belongs to `head`.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut part = vec![0; length + 2];
            reader.read_exact(&mut part)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&part[..length]);
        }
    }
    let length = head.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Sends a request on a new connection and returns the status of the response.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<u16> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    )?;
    let head = read_head(&mut BufReader::new(stream))?;
    Ok(head.map_or(0, |head| head.status()))
}
