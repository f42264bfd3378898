//! One machine: the project's program as a process of its own, with the settings of the deploy file's template.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call;

/// Ports that all machines of a case use.
#[derive(Clone, Copy)]
pub struct Ports {
    base: u16,
}

impl Ports {
    /// Finds ports that are free at all addresses of a case.
    pub fn find(machines: u8) -> Self {
        let seed = std::process::id() as u16;
        for attempt in 0..200_u16 {
            let base = 20_000 + (seed.wrapping_mul(37) + attempt * 61) % 10_000;
            let ports = Self { base };
            let is_free = |number: u8, port: u16| {
                let address = SocketAddr::new(ip(number), port);
                TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
            };
            if (0..=machines).all(|number| (base..base + 6).all(|port| is_free(number, port))) {
                return ports;
            }
        }
        crate::give_up("no free ports")
    }

    pub fn store(self) -> SocketAddr {
        SocketAddr::new(ip(0), self.base)
    }
}

/// Loopback address of a machine; number 0 is the platform's.
fn ip(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 70, 10 + number))
}

/// A machine whose node process can be started, killed and started again.
pub struct Machine {
    number: u8,
    pub service: &'static str,
    zone: &'static str,
    ports: Ports,
    folder: PathBuf,
    is_first_start: bool,
    process: Option<Child>,
}

impl Machine {
    pub fn new(number: u8, service: &'static str, zone: &'static str, ports: Ports, folder: &Path) -> Self {
        let folder = folder.to_owned();
        Self { number, service, zone, ports, folder, is_first_start: true, process: None }
    }

    fn address(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(ip(self.number), self.ports.base + offset)
    }

    pub fn outbound(&self) -> SocketAddr {
        self.address(1)
    }

    pub fn ready(&self) -> SocketAddr {
        self.address(2)
    }

    pub fn control(&self) -> SocketAddr {
        self.address(3)
    }

    pub fn application(&self) -> SocketAddr {
        self.address(4)
    }

    /// Starts the node process with the command of the deploy file.
    pub fn start(&mut self) {
        let file = self.folder.join(format!("machine-{}.toml", self.number));
        fs::write(&file, self.settings()).unwrap_or_else(|_| crate::give_up("settings can't be written"));
        let log = self.folder.join(format!("machine-{}.log", self.number));
        let log = File::options().create(true).append(true).open(log);
        let log = log.unwrap_or_else(|_| crate::give_up("log can't be written"));
        let mut command = Command::new("target/release/umberpond-sidecar");
        command.arg("--config").arg(&file).stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
        let process = command.spawn().unwrap_or_else(|_| crate::give_up("the program can't be started"));
        crate::PROCESSES.lock().unwrap().push(process.id());
        self.process = Some(process);
        self.is_first_start = false;
    }

    /// Kills the node process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            crate::PROCESSES.lock().unwrap().retain(|known| *known != process.id());
        }
    }

    /// Waits until the node is ready.
    pub fn wait_until_ready(&self) {
        let began = Instant::now();
        while call(self.ready(), "GET", "/api/readyz", "").ok() != Some(200) {
            if began.elapsed() > Duration::from_secs(15) {
                crate::give_up("a node isn't ready after 15 s");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Fills `deploy/node.toml.template`, as the platform does.
    fn settings(&self) -> String {
        let template = fs::read_to_string("deploy/node.toml.template");
        let template = template.unwrap_or_else(|_| crate::give_up("there is no template"));
        let template = replace_section(&template, "zones", "\"a\" = \"r\"\n\"b\" = \"r\"\n");
        let template =
            replace_section(&template, "limits.bandwidthMbps", "[link]\nmegabits-per-second = 1000.0\n");
        let template = replace_section(&template, "bounds.canaryShare", "");
        let template = replace_section(&template, "bounds.evacuate", "");
        let values = [
            ("node", format!("machine-{}", self.number)),
            ("service", self.service.to_owned()),
            ("region", "r".to_owned()),
            ("zone", self.zone.to_owned()),
            ("bootstrap|json", self.is_first_start.to_string()),
            ("listen.inbound", self.address(0).to_string()),
            ("listen.outbound", self.outbound().to_string()),
            ("listen.ready", self.ready().to_string()),
            ("listen.control", self.control().to_string()),
            ("ip", ip(self.number).to_string()),
            ("portRange.0", (self.ports.base + 5).to_string()),
            ("appAddr", self.application().to_string()),
            ("platform.address", self.ports.store().to_string()),
            ("bounds.retryRatio", "0.2".to_owned()),
            ("bounds.retryExtra", "60".to_owned()),
            ("bounds.retryWindow", "10s".to_owned()),
            ("bounds.grace", "6s".to_owned()),
        ];
        values.iter().fold(template, |text, (name, value)| text.replace(&format!("{{{{{name}}}}}"), value))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Replaces a section of the template with all its content.
fn replace_section(template: &str, name: &str, content: &str) -> String {
    let (begin, end) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    let parts = template.split_once(&begin).and_then(|(before, rest)| Some((before, rest.split_once(&end)?)));
    let Some((before, (_, after))) = parts else { return template.to_owned() };
    format!("{before}{content}{after}")
}
