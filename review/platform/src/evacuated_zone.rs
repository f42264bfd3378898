//! The store comes back from a copy some seconds old, and the evacuation that the operator orders afterwards is
//! never followed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use crate::client::{Attempt, send};
use crate::mesh::{Mesh, Places, Plan, Ports};
use crate::record::{Record, unix_millis};
use crate::store::Store;
use crate::{Trouble, Verdict};

const PLACES: Places =
    Places { region: "lk-west", zones: &["lk-west-a", "lk-west-b", "lk-west-c"], has_evacuations: true };
const HOST: &str = "jepu9.example";
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Time between two requests of the clients of one machine.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Number of configurations that come in quick succession in the lost seconds, and the time between two.
const CHANGES: u64 = 8;
const CHANGE_GAP: Duration = Duration::from_millis(200);
/// Time after which nodes have surely read an order: they read once a second.
const READ: Duration = Duration::from_millis(2_000);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Time after the store's return after which the operator writes again what was lost.
const REWRITE_DELAY: Duration = Duration::from_millis(300);
/// Calm time after that.
const CALM: Duration = Duration::from_secs(10);
/// The bound `evacuate`.
const EVACUATE: Duration = Duration::from_secs(5);
/// Time for which the evacuated zone is watched after that.
const JUDGED_FOR: Duration = Duration::from_secs(25);

fn configuration(version: u64) -> String {
    // Each change alters a timeout.
    let timeout = 2_000 + version;
    format!(
        r#"{{"version":{version},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"listeners":[{{"host":"{HOST}","rules":[{{"name":"r-latest","kind":"idempotent","slo":"500ms","priority":2,"match":{{"pathPrefix":"/latest/"}},"action":{{"service":"nowcast-api","timeout":"{timeout}ms","attempts":2}}}}]}}],"clusters":[{{"name":"nowcast-api","healthPath":"/healthz","maxConns":490,"protocol":"h1","tls":false}}]}}"#
    )
}

pub fn run(record: &Record, folder: &Path, trouble: Trouble) -> std::io::Result<Verdict> {
    let store_address = Ports::new().next();
    let store = Store::start(store_address)?;
    store.put("config", "main", &configuration(7));
    let plan = |zone| Plan { service: "nowcast-api", zone, capacity: 12, work_millis: 160 };
    let plans: Vec<Plan> = PLACES.zones.iter().flat_map(|zone| [plan(*zone), plan(*zone)]).collect();
    let mut mesh = Mesh::new(folder, store_address, PLACES, &plans);
    if !mesh.start_all()? {
        record.tell("the nodes did not become ready");
        return Ok(Verdict::NotRun);
    }
    sleep(Duration::from_secs(4));

    let is_over = AtomicBool::new(false);
    let sent = Mutex::new(BTreeMap::new());
    let addresses: Vec<SocketAddr> = mesh.machines.iter().map(|machine| machine.outbound).collect();
    let ordered_at = scope(|scope| {
        for address in &addresses {
            scope.spawn(|| drive(record, *address, &sent, &is_over));
        }
        let ordered_at = operate(record, &store, trouble);
        is_over.store(true, Ordering::Relaxed);
        ordered_at
    });

    mesh.record_runs(record);
    let zones: BTreeMap<String, &str> = (0..mesh.machines.len())
        .map(|number| (format!("i-{:04x}0001", number + 1), mesh.machines[number].plan.zone))
        .collect();
    let sent = sent.into_inner().unwrap();
    let is_late = |id: &str| sent.get(id).is_some_and(|at| *at > ordered_at.millis + EVACUATE.as_millis());
    let (mut in_zone, mut elsewhere, mut before) = (0, 0, 0);
    for line in std::fs::read_to_string(mesh.runs_file())?.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let [at, "runs", id, _, _, upstream] = words[..] else { continue };
        let is_evacuated = zones.get(upstream) == Some(&"lk-west-c");
        let at: u128 = at.parse().unwrap_or(0);
        before += u32::from(is_evacuated && at < ordered_at.millis);
        if is_late(id) {
            in_zone += u32::from(is_evacuated);
            elsewhere += u32::from(!is_evacuated);
        }
    }
    record.tell(&format!(
        "{in_zone} of {} requests sent more than 5 s after the acknowledged order to evacuate lk-west-c, and up to {:.0} s after it, ran there; {before} ran there before the order",
        in_zone + elsewhere,
        ordered_at.instant.elapsed().as_secs_f64()
    ));
    if before == 0 || in_zone + elsewhere == 0 {
        return Ok(Verdict::NotRun);
    }
    Ok(if in_zone > 0 { Verdict::Broken } else { Verdict::Held })
}

/// When the operator's order was acknowledged.
struct OrderedAt {
    instant: Instant,
    millis: u128,
}

fn operate(record: &Record, store: &Store, trouble: Trouble) -> OrderedAt {
    let tell = |text: &str, revision: u64| {
        record.line(&format!("the operator {text}; acknowledged at revision {revision}"))
    };
    sleep(Duration::from_secs(3));
    tell("orders to evacuate lk-west-b", store.put("evacuations", "lk-west-b", r#"{"zone":"lk-west-b"}"#));
    sleep(Duration::from_secs(8));
    let copy = store.copy();
    record.line(&format!("the store's copy is made at revision {}", store.revision()));
    for version in 8..8 + CHANGES {
        tell(&format!("writes version {version}"), store.put("config", "main", &configuration(version)));
        sleep(CHANGE_GAP);
    }
    tell("takes the evacuation of lk-west-b back", store.delete("evacuations", "lk-west-b"));
    sleep(READ);
    if trouble == Trouble::All {
        store.go_away();
        record.line("the store is away");
        sleep(AWAY);
        store.come_back(copy);
        record.line(&format!("the store is back from its copy, at revision {}", store.revision()));
        sleep(REWRITE_DELAY);
        let last = 7 + CHANGES;
        tell(&format!("writes version {last} again"), store.put("config", "main", &configuration(last)));
        tell("takes the evacuation of lk-west-b back again", store.delete("evacuations", "lk-west-b"));
    }
    sleep(CALM);
    tell("orders to evacuate lk-west-c", store.put("evacuations", "lk-west-c", r#"{"zone":"lk-west-c"}"#));
    let ordered_at = OrderedAt { instant: Instant::now(), millis: unix_millis() };
    sleep(EVACUATE + JUDGED_FOR);
    record.line(&format!("the store's revision at the end: {}", store.revision()));
    ordered_at
}

/// Sends the requests of the clients of one machine, and notes when each was sent.
fn drive(record: &Record, to: SocketAddr, sent: &Mutex<BTreeMap<String, u128>>, is_over: &AtomicBool) {
    scope(|scope| {
        for client in 0..4 {
            scope.spawn(move || {
                sleep(REQUEST_INTERVAL * client);
                let mut number = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let began_at = Instant::now();
                    let at = unix_millis();
                    number += 1;
                    let target = format!("/latest/{client}/{number}");
                    let attempt =
                        Attempt { method: "GET", host: HOST, target: &target, deadline: DEADLINE, body: b"" };
                    let outcome = send(to, &attempt);
                    record
                        .line(&format!("{} {target} at {to}, sent at {at}: {}", outcome.id, outcome.status));
                    sent.lock().unwrap().insert(outcome.id, at);
                    sleep((REQUEST_INTERVAL * 4).saturating_sub(began_at.elapsed()));
                }
            });
        }
    });
}
