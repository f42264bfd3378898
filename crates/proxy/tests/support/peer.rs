//! A scripted peer: a back end, or what stands in an inbound proxy's place.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

use super::MemoryNetwork;

/// What the peer does with one connection's next request.
#[derive(Debug, Clone)]
pub enum Step {
    /// Closes the connection without reading.
    CloseAtOnce,
    /// Reads this many bytes, then closes.
    ReadThenClose(usize),
    /// Reads the whole request (it "runs"), then closes.
    RunThenClose,
    /// Runs it, waits, then writes these bytes and goes on.
    Run { wait: Duration, answer: Vec<u8> },
    /// Runs it, writes these bytes, then closes.
    RunThenCut(Vec<u8>),
    /// Runs it, writes the parts with this pause before each, and then closes or goes on.
    Stream { pause: Duration, parts: Vec<Vec<u8>>, closes: bool },
    /// Reads only the head, answers, and goes on without reading the body.
    AnswerEarly(Vec<u8>),
}

impl Step {
    /// Runs the request and answers 200 with `body`.
    pub fn ok(body: &str) -> Self {
        Self::Run { wait: Duration::ZERO, answer: response(200, "", body) }
    }

    pub fn ok_after(wait: Duration, body: &str) -> Self {
        Self::Run { wait, answer: response(200, "", body) }
    }
}

/// Stands for the request's id in scripted answers.
pub const OWN_ID: &str = "@@@@@@@@@@@@@@@@@@@@@@@@@@@@@@@@";

impl Step {
    fn with_id(self, id: &str) -> Self {
        let replace = |bytes: Vec<u8>| match String::from_utf8(bytes) {
            Ok(text) => text.replace(OWN_ID, id).into_bytes(),
            Err(error) => error.into_bytes(),
        };
        match self {
            Self::Run { wait, answer } => Self::Run { wait, answer: replace(answer) },
            Self::RunThenCut(answer) => Self::RunThenCut(replace(answer)),
            other => other,
        }
    }
}

/// The bytes of a whole answer; `extra` are whole header lines.
pub fn response(status: u16, extra: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n{extra}\r\n{body}").into_bytes()
}

/// One request as the peer received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    pub head: String,
    pub body: Vec<u8>,
    /// Number of the connection it came over, from 1.
    pub connection: usize,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.head.lines().find_map(|line| line.strip_prefix(prefix.as_str()))
    }
}

#[derive(Debug, Default)]
struct Log {
    ran: Vec<Received>,
    connections: usize,
    cancelled: usize,
}

/// The peer's ledger. The script is worked off in order; after its end every request gets the last step.
#[derive(Clone)]
pub struct Peer {
    log: Arc<Mutex<Log>>,
    script: Arc<Mutex<Vec<Step>>>,
    last: Step,
}

impl Peer {
    pub fn start(network: &Arc<MemoryNetwork>, at: SocketAddr, mut script: Vec<Step>) -> Self {
        let last = script.last().cloned().unwrap_or_else(|| Step::ok("ok"));
        script.reverse();
        let peer = Self { log: Arc::default(), script: Arc::new(Mutex::new(script)), last };
        let mut listener = network.bind(at);
        let serving = peer.clone();
        tokio::spawn(async move {
            while let Some(stream) = listener.next().await {
                let connection = {
                    let mut log = serving.log.lock();
                    log.connections += 1;
                    log.connections
                };
                tokio::spawn(serving.clone().serve(stream, connection));
            }
        });
        peer
    }

    /// Requests that reached the peer whole, in order.
    pub fn ran(&self) -> Vec<Received> {
        self.log.lock().ran.clone()
    }

    pub fn connections(&self) -> usize {
        self.log.lock().connections
    }

    /// Requests whose connection closed while they ran.
    pub fn cancelled(&self) -> usize {
        self.log.lock().cancelled
    }

    fn next_step(&self) -> Step {
        self.script.lock().pop().unwrap_or_else(|| self.last.clone())
    }

    async fn serve(self, mut stream: DuplexStream, connection: usize) {
        let mut buffer = Vec::new();
        loop {
            let step = self.next_step();
            if matches!(step, Step::CloseAtOnce) {
                return;
            }
            if let Step::ReadThenClose(count) = step {
                let mut bytes = vec![0; count];
                let _ = stream.read_exact(&mut bytes).await;
                return;
            }
            let only_head = matches!(step, Step::AnswerEarly(_));
            let Some(received) = read_request(&mut stream, &mut buffer, only_head).await else {
                self.script.lock().push(step);
                return;
            };
            let id = received.header("umberpond-request-id").unwrap_or_default().to_owned();
            self.log.lock().ran.push(Received { connection, ..received });
            if !self.act(&mut stream, step.with_id(&id)).await {
                return;
            }
        }
    }

    /// Returns whether the connection stays.
    async fn act(&self, stream: &mut DuplexStream, step: Step) -> bool {
        match step {
            Step::CloseAtOnce | Step::ReadThenClose(_) | Step::RunThenClose => false,
            Step::Run { wait, answer } => {
                if !self.wait(stream, wait).await {
                    return false;
                }
                stream.write_all(&answer).await.is_ok()
            }
            Step::RunThenCut(bytes) => {
                let _ = stream.write_all(&bytes).await;
                false
            }
            Step::Stream { pause, parts, closes } => {
                for part in parts {
                    if !self.wait(stream, pause).await || stream.write_all(&part).await.is_err() {
                        return false;
                    }
                }
                !closes
            }
            Step::AnswerEarly(answer) => stream.write_all(&answer).await.is_ok(),
        }
    }

    /// Waits, and notes a cancellation if the other side closes meanwhile.
    async fn wait(&self, stream: &mut DuplexStream, pause: Duration) -> bool {
        if pause.is_zero() {
            return true;
        }
        let mut byte = [0; 1];
        match tokio::time::timeout(pause, stream.read(&mut byte)).await {
            Err(_elapsed) => true,
            Ok(_closed) => {
                self.log.lock().cancelled += 1;
                false
            }
        }
    }
}

/// Reads one whole request; absent if the connection ends before.
async fn read_request(stream: &mut DuplexStream, buffer: &mut Vec<u8>, only_head: bool) -> Option<Received> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        read_more(stream, buffer).await?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut received = Received { head, body: Vec::new(), connection: 0 };
    if only_head {
        buffer.clear();
        return Some(received);
    }
    if let Some(length) = received.header("content-length") {
        let length: usize = length.parse().unwrap();
        while buffer.len() < length {
            read_more(stream, buffer).await?;
        }
        received.body = buffer.drain(..length).collect();
    } else if received.header("transfer-encoding").is_some() {
        received.body = read_chunked(stream, buffer).await?;
    }
    Some(received)
}

async fn read_chunked(stream: &mut DuplexStream, buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = loop {
            if let Some(end) = buffer.windows(2).position(|window| window == b"\r\n") {
                break end;
            }
            read_more(stream, buffer).await?;
        };
        let size = usize::from_str_radix(std::str::from_utf8(&buffer[..end]).ok()?, 16).ok()?;
        while buffer.len() < end + 2 + size + 2 {
            read_more(stream, buffer).await?;
        }
        body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
        buffer.drain(..end + 2 + size + 2);
        if size == 0 {
            return Some(body);
        }
    }
}

async fn read_more(stream: &mut DuplexStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 4096];
    let count = stream.read(&mut part).await.ok()?;
    if count == 0 {
        return None;
    }
    buffer.extend_from_slice(&part[..count]);
    Some(())
}

/// An inbound proxy's answer from server node 0, as a scripted peer gives it; `extra` are whole header lines.
pub fn inbound_answer(status: u16, outcome: &str, extra: &str, body: &str) -> Vec<u8> {
    let own = format!(
        "umberpond-outcome: {outcome}\r\numberpond-incarnation: 1\r\numberpond-endpoint-status: ready\r\n\
         umberpond-request-id: {OWN_ID}\r\n{extra}"
    );
    response(status, &own, body)
}

/// Says that the answer was made by server node `index` in zone `zone`.
pub fn origin(index: usize, zone: &str) -> String {
    format!("umberpond-served-by: archive-{index}\r\numberpond-locality: north/{zone}\r\n")
}
