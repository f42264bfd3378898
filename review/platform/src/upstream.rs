//! An upstream, run as a process of its own beside a node: heartbeats, health checks and work.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Message, read_message, write_response};
use crate::record::unix_millis;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests that wait for a slot before the upstream turns others away.
const QUEUE: u64 = 36;

pub struct Upstream {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    control: SocketAddr,
    capacity: u64,
    work: Duration,
    /// Requests that run or wait.
    held: AtomicU64,
    running: AtomicU64,
    /// File to which each run is written.
    runs: Mutex<std::fs::File>,
}

/// Runs an upstream until the process is ended. Arguments: id, service, zone, address, control address,
/// capacity, work in milliseconds, file of runs.
pub fn run(arguments: &[String]) -> std::io::Result<()> {
    let parsed = |at: usize| arguments[at].parse().expect("an address");
    let upstream = Arc::new(Upstream {
        id: arguments[0].clone(),
        service: arguments[1].clone(),
        zone: arguments[2].clone(),
        address: parsed(3),
        control: parsed(4),
        capacity: arguments[5].parse().expect("a number"),
        work: Duration::from_millis(arguments[6].parse().expect("a number")),
        held: AtomicU64::new(0),
        running: AtomicU64::new(0),
        runs: Mutex::new(std::fs::OpenOptions::new().append(true).create(true).open(&arguments[7])?),
    });
    let listener = TcpListener::bind(upstream.address)?;
    let beating = Arc::clone(&upstream);
    thread::spawn(move || beating.send_heartbeats());
    for stream in listener.incoming().flatten() {
        let upstream = Arc::clone(&upstream);
        thread::spawn(move || upstream.serve(stream));
    }
    Ok(())
}

impl Upstream {
    fn send_heartbeats(&self) {
        let mut sequence = 0;
        loop {
            sequence += 1;
            let body = format!(
                r#"{{"address":"{}","info":{{"service":"{}","version":"v1","zone":"{}","capacity":{}}},"status":{{"state":"ready","seq":{sequence},"warmupLeft":"0ms"}}}}"#,
                self.address, self.service, self.zone, self.capacity
            );
            let head = format!(
                "POST /api/Instances.Heartbeat/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                self.id,
                self.control,
                body.len()
            );
            let _ = exchange(self.control, &format!("{head}{body}"));
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut writer = stream;
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let load = |held: u64| {
            let running = self.running.load(Ordering::Relaxed);
            format!("{running},{},{}", held.saturating_sub(running), self.capacity)
        };
        if request.target() == "/healthz" {
            let held = self.held.load(Ordering::Relaxed);
            let fields = [("Umberpond-Instance", self.id.clone()), ("Umberpond-Load", load(held))];
            return write_response(writer, 200, &fields, b"");
        }
        let id = request.field("Umberpond-Request-Id").unwrap_or_default().to_owned();
        let echo = ("Umberpond-Request-Id", id.clone());
        if request.field("Umberpond-Expect-Instance").is_some_and(|expected| expected != self.id) {
            let fields = [echo, ("Umberpond-Instance", self.id.clone())];
            return write_response(writer, 421, &fields, b"");
        }
        let held = self.held.fetch_add(1, Ordering::SeqCst);
        if held >= self.capacity + QUEUE {
            self.held.fetch_sub(1, Ordering::SeqCst);
            return write_response(writer, 503, &[echo, ("Umberpond-Not-Executed", "1".to_owned())], b"");
        }
        while self.running.fetch_add(1, Ordering::SeqCst) >= self.capacity {
            self.running.fetch_sub(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(1));
        }
        self.record(&format!("{} runs {} {}", unix_millis(), id, request.target()));
        thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.held.fetch_sub(1, Ordering::SeqCst);
        let signature = format!("{}.{}", self.id, id);
        let fields = [echo, ("Umberpond-Signature", signature), ("Umberpond-Load", load(held))];
        write_response(writer, 200, &fields, format!("{} ran {}", self.service, request.target()).as_bytes())
    }

    fn record(&self, line: &str) {
        // One write a line, since all upstreams append to the same file.
        let line = format!("{line} {} {}\n", self.service, self.id);
        let _ = self.runs.lock().unwrap().write_all(line.as_bytes());
    }
}

fn exchange(to: SocketAddr, request: &str) -> std::io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&to, HEARTBEAT_TIMEOUT)?;
    stream.set_read_timeout(Some(HEARTBEAT_TIMEOUT))?;
    stream.write_all(request.as_bytes())?;
    read_message(&mut BufReader::new(stream))
}
