//! Stand-in for the application upstream of a machine.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Head, call, read_body, read_head};
use crate::machine::Machine;
use crate::record::Record;

/// Number of requests that a back end works on at once.
pub const CAPACITY: u32 = 9;
/// Interval between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// One request and the connection on which it arrived.
pub struct Exchange<'a> {
    pub back_end: &'a BackEnd,
    pub id: &'a str,
    pub writer: &'a mut TcpStream,
    /// Surplus bytes that the back end still has to send on this connection.
    pub surplus: &'a mut Vec<u8>,
}

impl Exchange<'_> {
    /// Answers with a success.
    pub fn answer(&mut self) -> bool {
        let (id, body) = (self.id, "done");
        let length = body.len();
        let sent = write!(
            self.writer,
            "HTTP/1.1 200 OK\r\nUmberpond-Request-Id: {id}\r\nUmberpond-Signature: s.{id}\r\n\
             Umberpond-Load: 1,0,{CAPACITY}\r\nKeep-Alive: timeout=10\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        sent.is_ok()
    }

    /// Answers with a failure of the back end.
    pub fn answer_failure(&mut self) -> bool {
        let id = self.id;
        let sent = write!(
            self.writer,
            "HTTP/1.1 500 X\r\nUmberpond-Request-Id: {id}\r\nUmberpond-Load: 1,0,{CAPACITY}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        sent.is_ok()
    }
}

/// How a back end serves a request; returns whether the connection stays open.
pub type Serve = dyn Fn(Exchange<'_>) -> bool + Send + Sync;

/// A back end beside a node.
pub struct BackEnd {
    pub instance: String,
    service: &'static str,
    address: SocketAddr,
    control: SocketAddr,
    pub record: Record,
    /// Unix milliseconds of its start.
    born: u128,
    sequence: AtomicU64,
    /// Whether its health check tells that it is well.
    pub is_well: AtomicBool,
    /// Whether it fails all requests.
    pub fails: AtomicBool,
    pub sends_heartbeats: AtomicBool,
    /// Whether it has ended and accepts nothing.
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl BackEnd {
    /// Starts the back end of `machine`. Its first heartbeat arrives after `first_heartbeat`.
    pub fn start(
        instance: &str,
        machine: &Machine,
        record: &Record,
        first_heartbeat: Duration,
        serve: Arc<Serve>,
    ) -> Arc<Self> {
        let back_end = Arc::new(Self {
            instance: instance.to_owned(),
            service: machine.service,
            address: machine.application(),
            control: machine.control(),
            record: record.clone(),
            born: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis()),
            sequence: AtomicU64::new(0),
            is_well: AtomicBool::new(true),
            fails: AtomicBool::new(false),
            sends_heartbeats: AtomicBool::new(true),
            has_ended: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let listener = TcpListener::bind(back_end.address);
        let listener = listener.unwrap_or_else(|_| crate::give_up("a back end can't listen"));
        let _ = listener.set_nonblocking(true);
        let server = Arc::clone(&back_end);
        std::thread::spawn(move || {
            while !server.has_ended.load(Ordering::SeqCst) {
                let Ok((stream, _peer)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                server.connections.lock().unwrap().extend(stream.try_clone());
                let (back_end, serve) = (Arc::clone(&server), Arc::clone(&serve));
                std::thread::spawn(move || back_end.serve(stream, &*serve));
            }
        });
        let sender = Arc::clone(&back_end);
        std::thread::spawn(move || {
            std::thread::sleep(first_heartbeat);
            while !sender.has_ended.load(Ordering::SeqCst) {
                sender.send_heartbeat("ready");
                if !sender.sends_heartbeats.load(Ordering::SeqCst) {
                    return;
                }
                std::thread::sleep(HEARTBEAT);
                if !sender.sends_heartbeats.load(Ordering::SeqCst) {
                    return;
                }
            }
        });
        back_end
    }

    /// Ends: refuses new connections and closes the open ones.
    pub fn end(&self) {
        self.sends_heartbeats.store(false, Ordering::SeqCst);
        self.has_ended.store(true, Ordering::SeqCst);
        // The listener closes first, as it does at the latest with the connections when a process ends.
        std::thread::sleep(Duration::from_millis(10));
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    pub fn send_heartbeat(&self, state: &str) -> bool {
        let Self { instance, service, address, born, .. } = self;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            r#"{{"born":{born},"address":"{address}","info":{{"service":"{service}","version":"v1","zone":"a","capacity":{CAPACITY}}},"status":{{"state":"{state}","seq":{sequence},"warmupLeft":"0ms"}}}}"#
        );
        let path = format!("/api/Instances.Heartbeat/{instance}");
        matches!(call(self.control, "POST", &path, &body), Ok(200..=299))
    }

    /// Withdraws the back end; returns whether that was acknowledged.
    pub fn deregister(&self) -> bool {
        let path = format!("/api/Instances.Deregister/{}", self.instance);
        let body = format!(r#"{{"born":{}}}"#, self.born);
        matches!(call(self.control, "POST", &path, &body), Ok(200..=299))
    }

    fn serve(&self, stream: TcpStream, serve: &Serve) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut surplus = Vec::new();
        while let Ok(Some(head)) = read_head(&mut reader) {
            if read_body(&mut reader, &head).is_err() || self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let stays_open = if head.start[1] == "/healthz" {
                self.answer_health(&mut writer) && !head.closes()
            } else if head.get("Umberpond-Expect-Instance").is_some_and(|expected| expected != self.instance)
            {
                self.answer_misdirected(&mut writer, &head)
            } else {
                let id = head.get("Umberpond-Request-Id").unwrap_or("none").to_owned();
                serve(Exchange { back_end: self, id: &id, writer: &mut writer, surplus: &mut surplus })
            };
            if !stays_open {
                return;
            }
        }
    }

    fn answer_health(&self, writer: &mut TcpStream) -> bool {
        let status = if self.is_well.load(Ordering::SeqCst) { 200 } else { 503 };
        let instance = &self.instance;
        let sent = write!(
            writer,
            "HTTP/1.1 {status} X\r\nUmberpond-Instance: {instance}\r\nUmberpond-Load: 1,0,{CAPACITY}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        sent.is_ok()
    }

    fn answer_misdirected(&self, writer: &mut TcpStream, head: &Head) -> bool {
        let (instance, id) = (&self.instance, head.get("Umberpond-Request-Id").unwrap_or("none"));
        let sent = write!(
            writer,
            "HTTP/1.1 421 Misdirected Request\r\nUmberpond-Request-Id: {id}\r\nUmberpond-Instance: {instance}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        sent.is_ok()
    }
}
