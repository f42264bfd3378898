//! The machines of a small deployment: a node process and an upstream process on each.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::client::{Attempt, send};
use crate::record::Record;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/umberpond-sidecar";
/// Time within which all nodes have to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// The region and the zones of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Places {
    pub region: &'static str,
    pub zones: &'static [&'static str],
    /// Whether the deployment has the bound `evacuate`.
    pub has_evacuations: bool,
}

/// The places of `gridwell-prod`.
pub const GRIDWELL: Places =
    Places { region: "eu-north", zones: &["hall-a", "hall-b", "hall-c", "hall-d"], has_evacuations: false };

/// What a machine runs.
#[derive(Debug, Clone)]
pub struct Plan {
    pub service: &'static str,
    pub zone: &'static str,
    pub capacity: u32,
    pub work_millis: u64,
}

#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub plan: Plan,
    pub inbound: SocketAddr,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub registration: SocketAddr,
    pub control: SocketAddr,
    pub app: SocketAddr,
    node: Option<Child>,
    upstream: Option<Child>,
    /// Number of upstream processes so far.
    upstreams: u32,
}

/// All machines. Every process ends when this is dropped.
#[derive(Debug)]
pub struct Mesh {
    pub machines: Vec<Machine>,
    folder: PathBuf,
    store: SocketAddr,
    places: Places,
}

impl Mesh {
    pub fn new(folder: &Path, store: SocketAddr, places: Places, plans: &[Plan]) -> Self {
        let mut ports = Ports::new();
        let machines = plans.iter().enumerate().map(|(number, plan)| Machine {
            name: format!("sidecar-{}-{}", plan.zone, number + 1),
            plan: plan.clone(),
            inbound: ports.next(),
            outbound: ports.next(),
            ready: ports.next(),
            registration: ports.next(),
            control: ports.next(),
            app: ports.next(),
            node: None,
            upstream: None,
            upstreams: 0,
        });
        Self { machines: machines.collect(), folder: folder.to_owned(), store, places }
    }

    /// Starts the node process of a machine with the settings of the deploy file's template.
    pub fn start_node(&mut self, number: usize, is_first_start: bool) -> std::io::Result<()> {
        let settings = self.settings(&self.machines[number], is_first_start);
        let name = self.machines[number].name.clone();
        let file = self.folder.join(format!("{name}.conf"));
        std::fs::write(&file, settings)?;
        let log = File::options().append(true).create(true).open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.machines[number].node = Some(child);
        Ok(())
    }

    /// Starts an upstream process on a machine, with a new id.
    pub fn start_upstream(&mut self, number: usize) -> std::io::Result<()> {
        let runs = self.runs_file();
        let machine = &mut self.machines[number];
        machine.upstreams += 1;
        let id = format!("i-{:04x}{:04x}", number + 1, machine.upstreams);
        let child = Command::new(std::env::current_exe()?)
            .arg("upstream")
            .args([&id, machine.plan.service, machine.plan.zone])
            .args([machine.app.to_string(), machine.registration.to_string()])
            .args([machine.plan.capacity.to_string(), machine.plan.work_millis.to_string()])
            .arg(&runs)
            .stdin(Stdio::null())
            .spawn()?;
        machine.upstream = Some(child);
        Ok(())
    }

    /// Starts everything, and waits until every node is ready.
    pub fn start_all(&mut self) -> std::io::Result<bool> {
        for number in 0..self.machines.len() {
            self.start_upstream(number)?;
            self.start_node(number, true)?;
        }
        Ok(self.wait_until_ready(START_TIMEOUT))
    }

    pub fn wait_until_ready(&self, longest: Duration) -> bool {
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if self.machines.iter().all(Machine::is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// SIGKILL of a node process.
    pub fn kill_node(&mut self, number: usize) {
        end(&mut self.machines[number].node);
    }

    /// SIGKILL of an upstream process.
    pub fn kill_upstream(&mut self, number: usize) {
        end(&mut self.machines[number].upstream);
    }

    /// Resident memory of a node process in bytes; 0 if it doesn't run.
    pub fn resident_memory(&self, number: usize) -> u64 {
        let Some(node) = &self.machines[number].node else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", node.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        let kilobytes = line.trim().trim_end_matches(" kB").trim().parse::<u64>().unwrap_or(0);
        kilobytes * 1024
    }

    /// File to which all upstreams write their runs.
    pub fn runs_file(&self) -> PathBuf {
        self.folder.join("runs.txt")
    }

    /// Writes what the upstreams have run to the record.
    pub fn record_runs(&self, record: &Record) {
        let runs = std::fs::read_to_string(self.runs_file()).unwrap_or_default();
        record.line("runs (Unix milliseconds, request, target, service, upstream):");
        for run in runs.lines() {
            record.line(run);
        }
    }

    fn settings(&self, machine: &Machine, is_first_start: bool) -> String {
        let zones: String = self
            .places
            .zones
            .iter()
            .map(|zone| format!("\"{zone}\" = \"{}\"\n", self.places.region))
            .collect();
        let evacuations = if self.places.has_evacuations { "\n[evacuations]\nfollow = true\n" } else { "" };
        format!(
            r#"[node]
name = "{name}"
service = "{service}"
region = "{region}"
zone = "{zone}"
first-start = {is_first_start}

[zones]
{zones}
[listen]
inbound = "{inbound}"
outbound = "{outbound}"
admin = "{ready}"
registration = "{registration}"
control = "{control}"

[back-end]
address = "{app}"

[store]
address = "{store}"

[link]
megabits-per-second = 1000.0

[retries]
ratio = 0.2
extra = 62
window = "10s"
{evacuations}
[stop]
grace = "6s"

[log]
format = "json"
level = "info"
"#,
            name = machine.name,
            service = machine.plan.service,
            zone = machine.plan.zone,
            inbound = machine.inbound,
            outbound = machine.outbound,
            ready = machine.ready,
            registration = machine.registration,
            control = machine.control,
            app = machine.app,
            store = self.store,
            region = self.places.region,
        )
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            end(&mut machine.node);
            end(&mut machine.upstream);
        }
    }
}

impl Machine {
    pub fn is_ready(&self) -> bool {
        let attempt = Attempt {
            method: "GET",
            host: "ready",
            target: "/api/readyz",
            deadline: Duration::from_millis(500),
            body: b"",
        };
        send(self.ready, &attempt).status == 200
    }
}

fn end(process: &mut Option<Child>) {
    if let Some(mut child) = process.take() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Finds free loopback ports below the range of the system's own choice.
#[derive(Debug)]
pub struct Ports {
    next: u16,
}

impl Ports {
    pub fn new() -> Self {
        let millis = crate::record::unix_millis() as u32;
        let spread = millis.wrapping_mul(2_654_435_761) ^ std::process::id().wrapping_mul(40_503);
        Self { next: 12_000 + (spread % 16_000) as u16 }
    }

    /// The next address on which TCP and UDP are free.
    pub fn next(&mut self) -> SocketAddr {
        loop {
            self.next = if self.next >= 31_000 { 12_000 } else { self.next + 1 };
            let address = SocketAddr::from(([127, 0, 0, 1], self.next));
            if is_free(address) {
                return address;
            }
        }
    }
}

impl Default for Ports {
    fn default() -> Self {
        Self::new()
    }
}

fn is_free(address: SocketAddr) -> bool {
    TcpListener::bind(address).is_ok()
        && UdpSocket::bind(address).is_ok()
        && TcpStream::connect(address).is_err()
}
