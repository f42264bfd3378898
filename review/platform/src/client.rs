//! Clients of the machines.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::read_message;

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// One client attempt.
#[derive(Debug, Clone)]
pub struct Attempt<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub target: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
}

/// How a client attempt ended.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub id: String,
    /// Status of the answer; 0 if the connection ended without one, or the client left.
    pub status: u16,
    pub is_signed: bool,
    pub body: String,
}

/// An id that no other attempt has.
pub fn new_id() -> String {
    let number = LAST_ID.fetch_add(1, Ordering::Relaxed) + 1;
    format!("{:04x}{number:012x}", std::process::id() & 0xffff)
}

/// Sends an attempt on a new connection to the `outbound` address of a machine.
pub fn send(to: SocketAddr, attempt: &Attempt<'_>) -> Outcome {
    let id = new_id();
    let answer = exchange(to, attempt, &id).ok().flatten();
    match answer {
        Some(answer) => Outcome {
            id,
            status: answer.status(),
            is_signed: answer.field("Umberpond-Signature").is_some(),
            body: answer.text(),
        },
        None => Outcome { id, status: 0, is_signed: false, body: String::new() },
    }
}

fn exchange(
    to: SocketAddr,
    attempt: &Attempt<'_>,
    id: &str,
) -> std::io::Result<Option<crate::http::Message>> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(attempt.deadline + Duration::from_millis(200)))?;
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nUmberpond-Request-Id: {id}\r\nUmberpond-Deadline-Ms: {}\r\n",
        attempt.method,
        attempt.target,
        attempt.host,
        attempt.deadline.as_millis()
    );
    if !attempt.body.is_empty() {
        head.push_str(&format!("Content-Length: {}\r\n", attempt.body.len()));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(attempt.body)?;
    read_message(&mut BufReader::new(stream))
}
