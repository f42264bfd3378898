//! Stand-in for a client on a machine.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{read_body, read_head};
use crate::record::Record;

/// Host of all routes.
pub const HOST: &str = "shop.example";

/// A client that keeps its connection for many requests, and sends each one after the answer to the last.
pub struct Client {
    address: SocketAddr,
    record: Record,
    connection: Option<(BufReader<TcpStream>, TcpStream)>,
    name: String,
    count: u32,
}

impl Client {
    pub fn new(name: &str, address: SocketAddr, record: &Record) -> Self {
        Self { address, record: record.clone(), connection: None, name: name.to_owned(), count: 0 }
    }

    /// Id of the request that was sent last.
    pub fn last_id(&self) -> String {
        format!("{}-{:05}", self.name, self.count)
    }

    /// Sends a request with an id of its own; returns the status of the answer, or 0 if there is none.
    pub fn send(&mut self, method: &str, path: &str, deadline: Duration) -> u16 {
        self.count += 1;
        let id = self.last_id();
        if self.connection.is_none() {
            self.connection = connect(self.address);
        }
        let Some((mut reader, mut writer)) = self.connection.take() else { return 0 };
        let _ = reader.get_ref().set_read_timeout(Some(deadline + Duration::from_secs(1)));
        self.record.sent(&id, &format!("{method} {path} to {}", self.address));
        let (millis, body) = (deadline.as_millis(), if method == "POST" { "order" } else { "" });
        let length = body.len();
        let sent = write!(
            writer,
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nUmberpond-Request-Id: {id}\r\n\
             Umberpond-Deadline-Ms: {millis}\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        let head = sent.and_then(|()| read_head(&mut reader)).ok().flatten();
        let Some(head) = head else {
            self.record.answered(&id, 0);
            return 0;
        };
        let is_whole = read_body(&mut reader, &head).is_ok();
        let status = if is_whole { head.status() } else { 0 };
        self.record.answered(&id, status);
        if is_whole && !head.closes() {
            self.connection = Some((reader, writer));
        }
        status
    }
}

fn connect(address: SocketAddr) -> Option<(BufReader<TcpStream>, TcpStream)> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    let writer = stream.try_clone().ok()?;
    Some((BufReader::new(stream), writer))
}
