//! The configuration grows by many routes, and changes come in quick succession: each node keeps the last 64
//! versions, and its memory goes over the limit of its machine.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

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
/// Ends of one process from which on the rule counts its machine.
const ENDS: usize = 3;

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
            watch.follow(record, &mut mesh, CHANGE_GAP)?;
        }
        watch.follow(record, &mut mesh, STORM_PAUSE)?;
        record.line(&format!(
            "after {} s of changes: most memory in MB {:?}",
            (storm + 1) * 5,
            watch.most_megabytes()
        ));
    }
    let machines = watch.ends.iter().filter(|ends| **ends >= ENDS).count();
    record.tell(&format!(
        "{} versions of {routes} routes: processes went over 78 MB and were killed {:?} times by machine; most memory in MB {:?}",
        version - 7,
        watch.ends,
        watch.most_megabytes()
    ));
    Ok(if machines >= 2 { Verdict::Broken } else { Verdict::Held })
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
