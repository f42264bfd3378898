//! A caller that reads its answer byte by byte, so that a cut can't hide behind a library.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

use super::MemoryNetwork;

/// Longest wait for an answer, in paused time.
const PATIENCE: Duration = Duration::from_secs(120);

/// One answer as it came over the wire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the framing says that the body is whole.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn outcome(&self) -> &str {
        self.header("umberpond-outcome").unwrap_or("none")
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }

    /// The first answer in `raw`; absent if its head is incomplete.
    pub fn parse(raw: &[u8]) -> Option<Self> {
        let end = raw.windows(4).position(|window| window == b"\r\n\r\n")?;
        let head = std::str::from_utf8(&raw[..end]).ok()?;
        let mut lines = head.split("\r\n");
        let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
        let headers: Vec<_> = lines
            .filter_map(|line| line.split_once(": "))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let mut answer = Self { status, headers, body: Vec::new(), whole: false };
        let rest = &raw[end + 4..];
        if let Some(length) = answer.header("content-length") {
            let length: usize = length.parse().ok()?;
            answer.whole = rest.len() >= length;
            answer.body = rest[..length.min(rest.len())].to_vec();
        } else if answer.header("transfer-encoding").is_some() {
            (answer.body, answer.whole) = read_chunks(rest);
        }
        Some(answer)
    }
}

fn read_chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = rest.windows(2).position(|window| window == b"\r\n") else { return (body, false) };
        let Ok(size) = usize::from_str_radix(std::str::from_utf8(&rest[..end]).unwrap_or("?"), 16) else {
            return (body, false);
        };
        rest = &rest[end + 2..];
        if size == 0 {
            return (body, rest.starts_with(b"\r\n"));
        }
        let present = size.min(rest.len());
        body.extend_from_slice(&rest[..present]);
        if rest.len() < size + 2 {
            return (body, false);
        }
        rest = &rest[size + 2..];
    }
}

/// Sends raw bytes on a connection of their own and reads until the peer closes.
pub async fn raw(network: &MemoryNetwork, to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = network.dial(to).unwrap();
    // An answer may come, and the connection close, before the whole request is written.
    let _ = stream.write_all(bytes).await;
    read_all(&mut stream).await
}

pub async fn read_all(stream: &mut DuplexStream) -> Vec<u8> {
    let mut received = Vec::new();
    let _ = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut received)).await;
    received
}

pub async fn ask(network: &MemoryNetwork, to: SocketAddr, head: &str, body: &[u8]) -> Answer {
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    let received = raw(network, to, &bytes).await;
    Answer::parse(&received)
        .unwrap_or_else(|| panic!("no answer in {:?}", String::from_utf8_lossy(&received)))
}

/// A request of a usual caller; `extra` are whole header lines.
pub async fn get(network: &MemoryNetwork, to: SocketAddr, path: &str, extra: &str) -> Answer {
    let head = format!("GET {path} HTTP/1.1\r\nhost: archive\r\nconnection: close\r\n{extra}\r\n");
    ask(network, to, &head, b"").await
}

pub async fn post(network: &MemoryNetwork, to: SocketAddr, path: &str, extra: &str, body: &[u8]) -> Answer {
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: archive\r\nconnection: close\r\ncontent-length: {length}\r\n{extra}\r\n"
    );
    ask(network, to, &head, body).await
}
