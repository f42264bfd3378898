//! Runs the program under test as processes on loopback, with stand-ins for external systems in the test's
//! own process.
#![allow(dead_code, reason = "each test file uses a part of this")]

pub mod mesh;

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use serde_json::Value;
use tokio::time::{Instant, sleep};
use umberpond_net::{TcpNetwork, collect_body, send_request};

/// Timeout of each step of a test.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of listeners of a node.
const LISTENER_COUNT: usize = 4;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Creates an empty directory for one test.
pub fn directory(test: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("the test's directory can be made");
    path
}

/// Runs a subcommand until it exits.
pub async fn umberpond(arguments: &[&str]) -> Output {
    umberpond_with(arguments, &[]).await
}

/// Runs a subcommand with environment variables.
pub async fn umberpond_with(arguments: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_umberpond"));
    command.args(arguments).envs(variables.iter().copied());
    tokio::task::spawn_blocking(move || command.output())
        .await
        .expect("the task ends")
        .expect("the program can be run")
}

/// Parses the JSON that a subcommand printed.
pub fn json(output: &Output) -> Value {
    let text = String::from_utf8_lossy(&output.stdout);
    serde_json::from_str(&text)
        .unwrap_or_else(|error| panic!("{error}: {text}{}", String::from_utf8_lossy(&output.stderr)))
}

/// Settings of one node under test.
pub struct NodeSettings<'a> {
    pub name: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub back_end: Option<SocketAddr>,
    pub platform: SocketAddr,
    pub seal_key_file: Option<&'a Path>,
}

impl NodeSettings<'_> {
    fn text(&self) -> String {
        let back_end = self.back_end.map_or(String::new(), |address| {
            format!("[back-end]\naddress = \"{address}\"\ncheck-interval = \"200ms\"\n")
        });
        let secrets = self
            .seal_key_file
            .map_or(String::new(), |file| format!("[secrets]\nseal-key-file = \"{}\"\n", file.display()));
        format!(
            "[node]\nname = \"{}\"\nservice = \"{}\"\nregion = \"north\"\nzone = \"{}\"\n\
             [zones]\na = \"north\"\nb = \"north\"\n\
             [listen]\ninbound = \"127.0.0.1:0\"\noutbound = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
             control = \"127.0.0.1:0\"\n\
             {back_end}[store]\naddress = \"{}\"\n{secrets}\
             [log]\nformat = \"json\"\nlevel = \"debug\"\n[stop]\ngrace = \"10s\"\n",
            self.name, self.service, self.zone, self.platform,
        )
    }
}

/// A node process, killed when dropped.
pub struct NodeProcess {
    child: Child,
    log: Arc<Mutex<String>>,
    addresses: BTreeMap<String, SocketAddr>,
}

impl NodeProcess {
    /// Starts a node and waits until it listens.
    pub async fn start(directory: &Path, settings: &NodeSettings<'_>) -> Self {
        let file = directory.join(format!("{}.toml", settings.name));
        fs::write(&file, settings.text()).expect("the settings can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_umberpond"))
            .arg("node")
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program can be run");
        let log = Arc::new(Mutex::new(String::new()));
        collect_log(&mut child, Arc::clone(&log));
        let mut node = Self { child, log, addresses: BTreeMap::new() };
        let deadline = Instant::now() + STEP_TIMEOUT;
        while node.addresses.len() < LISTENER_COUNT {
            assert!(Instant::now() < deadline, "the node does not listen:\n{}", node.log());
            sleep(POLL_INTERVAL).await;
            node.addresses = listening(&node.log());
        }
        node
    }

    /// Address of a listener.
    pub fn address(&self, listener: &str) -> SocketAddr {
        self.addresses[listener]
    }

    /// Returns the log output so far.
    pub fn log(&self) -> String {
        self.log.lock().expect("the log's lock is sound").clone()
    }

    /// Whether an event of this name was logged.
    pub fn has_logged(&self, name: &str) -> bool {
        self.log()
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok())
            .any(|event| event["kvs"]["name"] == name)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        // The standard library can't send signals; the shell's built-in `kill` can.
        let status = Command::new("sh")
            .args(["-c", &format!("kill -TERM {}", self.child.id())])
            .status()
            .expect("a shell can be run");
        assert!(status.success());
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit.
    pub async fn exit_status(&mut self) -> ExitStatus {
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process can be waited for") {
                return status;
            }
            assert!(Instant::now() < deadline, "the node does not exit:\n{}", self.log());
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Response of the admin listener to a GET request.
    pub async fn admin(&self, path: &str) -> Response<Bytes> {
        get(self.address("admin"), "admin", path).await.expect("the admin listener responds")
    }

    /// Waits until the node is ready.
    pub async fn ready(&self) {
        until_or(
            "the node is ready",
            || async { self.admin("/readyz").await.status() == 200 },
            || self.log(),
        )
        .await;
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn collect_log(child: &mut Child, log: Arc<Mutex<String>>) {
    let output = child.stdout.take().expect("standard output is piped");
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let mut log = log.lock().expect("the log's lock is sound");
            log.push_str(&line);
            log.push('\n');
        }
    });
}

fn listening(log: &str) -> BTreeMap<String, SocketAddr> {
    log.lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok())
        .filter(|event| event["kvs"]["name"] == "listening")
        .filter_map(|event| {
            let listener = event["kvs"]["listener"].as_str()?.to_owned();
            Some((listener, event["kvs"]["address"].as_str()?.parse().ok()?))
        })
        .collect()
}

/// Sends a GET request; `None` if there is no complete response.
pub async fn get(address: SocketAddr, host: &str, path: &str) -> Option<Response<Bytes>> {
    let request =
        Request::builder().uri(path).header("host", host).body(Full::new(Bytes::new())).expect("it is valid");
    let exchange = async {
        let exchange = send_request(&TcpNetwork, address, request).await.ok()?;
        collect_body(exchange, MAX_RESPONSE_BYTES).await.ok()
    };
    tokio::time::timeout(STEP_TIMEOUT, exchange).await.ok()?
}

/// Waits until `condition` holds.
pub async fn until<F: Future<Output = bool>>(what: &str, condition: impl FnMut() -> F) {
    until_or(what, condition, String::new).await;
}

/// Waits until `condition` holds; panics with `details` on timeout.
pub async fn until_or<F: Future<Output = bool>>(
    what: &str,
    mut condition: impl FnMut() -> F,
    details: impl Fn() -> String,
) {
    let deadline = Instant::now() + STEP_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "not in time: {what}\n{}", details());
        sleep(POLL_INTERVAL).await;
    }
}
