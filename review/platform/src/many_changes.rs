//! The configuration grows by many routes, and changes come in quick succession: each node keeps the last 64
//! versions, and its memory goes over the limit of its machine. The requests that it holds then get no answer.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use crate::client::{Attempt, send};
use crate::mesh::{Mesh, Places, Plan, Ports};
use crate::record::Record;
use crate::store::Store;
use crate::{Trouble, Verdict};

const PLACES: Places = Places {
    region: "tas-south",
    zones: &["hobart-a", "hobart-b", "kingston", "glenorchy"],
    has_evacuations: false,
};
const HOST: &str = "jepu9.example";
/// Memory of every machine of the deployment, in bytes.
const MEMORY_LIMIT: u64 = 78 * 1024 * 1024;
/// Time after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the platform looks at the memory of the processes.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Routes of the deployment that get no traffic, and those that one `big_config` adds.
const IDLE_ROUTES: usize = 800;
const ADDED_ROUTES: usize = 1_400;
/// One `config_storm`: its length and the time between two changes, and the pause before the next.
const STORM: Duration = Duration::from_secs(4);
const CHANGE_GAP: Duration = Duration::from_millis(330);
const STORM_PAUSE: Duration = Duration::from_secs(1);
const STORMS: usize = 18;
/// Clients of one machine, each with one request at a time, and the pause after each.
const CLIENTS: u32 = 4;
const CLIENT_PAUSE: Duration = Duration::from_millis(80);
/// Deadline of `sim-status`, and the tenths of it after which the rule doesn't count a request.
const DEADLINE: Duration = Duration::from_millis(1_500);
const COUNTED_TENTHS: u32 = 7;

/// A version of the configuration. Each version alters the time-out of one route.
fn configuration(version: usize, routes: usize) -> String {
    let rule = |number: usize| {
        let timeout = if number == version % routes { 1_000 + version } else { 1_000 };
        format!(
            r#"{{"name":"r-{number:06x}","kind":"idempotent","slo":"400ms","priority":2,"match":{{"pathPrefix":"/p{number:05}/"}},"action":{{"service":"status-desk","timeout":"{timeout}ms","attempts":2}}}}"#
        )
    };
    let rules: Vec<String> = (0..routes).map(rule).collect();
    format!(
        r#"{{"version":{version},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"listeners":[{{"host":"{HOST}","rules":[{}]}}],"clusters":[{{"name":"status-desk","healthPath":"/healthz","maxConns":460,"protocol":"h1","tls":false}}]}}"#,
        rules.join(",")
    )
}

pub fn run(record: &Record, folder: &Path, trouble: Trouble) -> std::io::Result<Verdict> {
    let store_address = Ports::new().next();
    let store = Store::start(store_address)?;
    store.put("config", "main", &configuration(7, IDLE_ROUTES));
    let plan = |zone| Plan { service: "status-desk", zone, capacity: 8, work_millis: 120 };
    let plans: Vec<Plan> = PLACES.zones.iter().map(|zone| plan(*zone)).collect();
    let mut mesh = Mesh::new(folder, store_address, PLACES, &plans);
    if !mesh.start_all()? {
        record.tell("the nodes did not become ready");
        return Ok(Verdict::NotRun);
    }
    sleep(Duration::from_secs(3));
    let is_over = AtomicBool::new(false);
    let unanswered = Mutex::new(Vec::new());
    let addresses: Vec<SocketAddr> = mesh.machines.iter().map(|machine| machine.outbound).collect();
    let watch = scope(|scope| {
        for address in &addresses {
            for _ in 0..CLIENTS {
                scope.spawn(|| drive(record, *address, &unanswered, &is_over));
            }
        }
        let watch = change(record, &store, &mut mesh, trouble);
        is_over.store(true, Ordering::Relaxed);
        watch
    })?;
    mesh.record_runs(record);

    let runs = std::fs::read_to_string(mesh.runs_file())?;
    let passed_on: BTreeSet<&str> = runs.lines().filter_map(|line| line.split(' ').nth(2)).collect();
    let unanswered = unanswered.into_inner().unwrap();
    let lost = unanswered.iter().filter(|id| passed_on.contains(id.as_str())).count();
    record.tell(&format!(
        "{lost} requests that an upstream had begun on got neither an answer nor a refusal, as their connection was closed; processes went over 78 MB and were killed {:?} times by machine; most memory in MB {:?}",
        watch.ends,
        watch.most_megabytes()
    ));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

/// The operator's changes, while the platform watches the memory of the processes.
fn change(record: &Record, store: &Store, mesh: &mut Mesh, trouble: Trouble) -> std::io::Result<MemoryWatch> {
    let mut watch = MemoryWatch::new(mesh.machines.len());
    let mut version = 7;
    let mut routes = IDLE_ROUTES;
    if trouble == Trouble::All {
        routes += ADDED_ROUTES;
    }
    for storm in 0..STORMS {
        let began_at = Instant::now();
        while began_at.elapsed() < STORM {
            if trouble == Trouble::All || began_at.elapsed() < CHANGE_GAP {
                version += 1;
                let spec = configuration(version, routes);
                let revision = store.put("config", "main", &spec);
                record.line(&format!(
                    "the operator writes version {version} with {routes} routes, {} bytes; acknowledged at revision {revision}",
                    spec.len()
                ));
            }
            watch.follow(record, mesh, CHANGE_GAP)?;
        }
        watch.follow(record, mesh, STORM_PAUSE)?;
        record.line(&format!(
            "after {} s of changes: most memory in MB {:?}",
            (storm + 1) * 5,
            watch.most_megabytes()
        ));
    }
    Ok(watch)
}

/// Sends requests at one machine, one after another, and notes those whose connection was closed without an
/// answer before seven tenths of their time had passed.
fn drive(record: &Record, to: SocketAddr, unanswered: &Mutex<Vec<String>>, is_over: &AtomicBool) {
    while !is_over.load(Ordering::Relaxed) {
        let began_at = Instant::now();
        let attempt =
            Attempt { method: "GET", host: HOST, target: "/p00001/status", deadline: DEADLINE, body: b"" };
        let outcome = send(to, &attempt);
        let took = began_at.elapsed();
        record.line(&format!("{} at {to}: {} after {} ms", outcome.id, outcome.status, took.as_millis()));
        if outcome.status == 0 && took < DEADLINE * COUNTED_TENTHS / 10 {
            unanswered.lock().unwrap().push(outcome.id);
        }
        sleep(CLIENT_PAUSE);
    }
}

/// The platform's limit on the memory of a process.
struct MemoryWatch {
    /// Ends of the process of each machine.
    ends: Vec<usize>,
    most: Vec<u64>,
    restart_at: Vec<Option<Instant>>,
}

impl MemoryWatch {
    fn new(machines: usize) -> Self {
        Self { ends: vec![0; machines], most: vec![0; machines], restart_at: vec![None; machines] }
    }

    fn most_megabytes(&self) -> Vec<u64> {
        self.most.iter().map(|bytes| bytes / (1024 * 1024)).collect()
    }

    /// Kills each process that goes over the limit, and starts it again, for `length`.
    fn follow(&mut self, record: &Record, mesh: &mut Mesh, length: Duration) -> std::io::Result<()> {
        let until = Instant::now() + length;
        while Instant::now() < until {
            for number in 0..mesh.machines.len() {
                if let Some(at) = self.restart_at[number] {
                    if Instant::now() >= at {
                        self.restart_at[number] = None;
                        mesh.start_node(number, false)?;
                    }
                    continue;
                }
                let resident = mesh.resident_memory(number);
                self.most[number] = self.most[number].max(resident);
                if resident > MEMORY_LIMIT {
                    self.ends[number] += 1;
                    record
                        .line(&format!("{} uses {resident} bytes and is killed", mesh.machines[number].name));
                    mesh.kill_node(number);
                    self.restart_at[number] = Some(Instant::now() + RESTART_DELAY);
                }
            }
            sleep(WATCH_INTERVAL);
        }
        Ok(())
    }
}
