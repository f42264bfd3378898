//! The store comes back from a copy some seconds old, and the operator's next change gets a revision that was
//! given out before.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client::{Attempt, Outcome, send};
use crate::mesh::{GRIDWELL, Mesh, Plan, Ports};
use crate::record::Record;
use crate::store::Store;
use crate::{Trouble, Verdict};

/// Time from the copy to the first change that it lacks.
const COPY_DELAY: Duration = Duration::from_millis(2_500);
/// Time between two changes of the operator in quick succession.
const CHANGE_GAP: Duration = Duration::from_millis(250);
/// Time between the last of these changes and the drill.
const DRILL_DELAY: Duration = Duration::from_millis(50);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(140);
/// Time after the store's return after which the operator writes again what was lost.
const REWRITE_DELAY: Duration = Duration::from_millis(5);
/// Time after that write after which the operator writes the change that waited for the store.
const NEXT_CHANGE_DELAY: Duration = Duration::from_millis(15);
/// Time after the acknowledgement from which requests are judged: `contact` 3 s, `propagate` 2 s and `maxSkew`
/// 5 s together.
const JUDGED_AFTER: Duration = Duration::from_secs(10);
/// Time for which requests are judged.
const JUDGED_FOR: Duration = Duration::from_secs(20);
/// Pause between two rounds of requests.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
const HOST: &str = "jepu9.example";

/// The operator's configuration `version`. From version 20 on, `/moved/` goes to `billing`, `/dropped/` is gone
/// and `/added/` is there.
fn configuration(version: u64) -> String {
    let is_last = version >= 20;
    let rule = |name: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","kind":"idempotent","slo":"600ms","priority":2,"match":{{"pathPrefix":"/{name}/"}},"action":{{"service":"{service}","timeout":"2000ms","attempts":2}}}}"#
        )
    };
    let mut rules =
        vec![rule("stays", "archive"), rule("moved", if is_last { "billing" } else { "archive" })];
    rules.push(if is_last { rule("added", "archive") } else { rule("dropped", "archive") });
    let cluster = |name: &str| {
        format!(r#"{{"name":"{name}","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false}}"#)
    };
    format!(
        r#"{{"version":{version},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"listeners":[{{"host":"{HOST}","rules":[{}]}}],"clusters":[{},{}]}}"#,
        rules.join(","),
        cluster("archive"),
        cluster("billing")
    )
}

fn get(mesh: &Mesh, number: usize, target: &str) -> Outcome {
    let attempt =
        Attempt { method: "GET", host: HOST, target, deadline: Duration::from_millis(4_000), body: b"" };
    send(mesh.machines[number].outbound, &attempt)
}

pub fn run(record: &Record, folder: &Path, trouble: Trouble) -> std::io::Result<Verdict> {
    let store_address = Ports::new().next();
    let store = Store::start(store_address)?;
    let plan = |service, zone| Plan { service, zone, capacity: 18, work_millis: 50 };
    let plans = [
        plan("archive", "hall-a"),
        plan("billing", "hall-b"),
        plan("archive", "hall-c"),
        plan("billing", "hall-d"),
    ];
    let mut mesh = Mesh::new(folder, store_address, GRIDWELL, &plans);
    let operator_writes = |version: u64| {
        let revision = store.put("config", "main", &configuration(version));
        record.line(&format!("the operator writes version {version}; acknowledged at revision {revision}"));
        Instant::now()
    };
    operator_writes(10);
    if !mesh.start_all()? {
        record.tell("the nodes did not become ready");
        return Ok(Verdict::NotRun);
    }
    record.line(&format!("all nodes are ready; node entries in the store: {:?}", store.names("mesh-nodes")));
    // Traffic of calm seconds; also lets the nodes find each other.
    sleep(Duration::from_secs(4));
    for number in 0..mesh.machines.len() {
        for target in ["/stays/1", "/moved/1", "/dropped/1"] {
            let outcome = get(&mesh, number, target);
            record.line(&format!(
                "before: {target} at {}: {} {}",
                mesh.machines[number].name, outcome.status, outcome.body
            ));
            if outcome.status != 200 {
                record.tell("a request of the calm time was not served");
                return Ok(Verdict::NotRun);
            }
        }
    }

    let copy = store.copy();
    record.line(&format!("the store's copy is made at revision {}", store.revision()));
    sleep(COPY_DELAY);
    operator_writes(13);
    sleep(CHANGE_GAP);
    operator_writes(17);
    sleep(DRILL_DELAY);
    if trouble == Trouble::All {
        store.go_away();
        record.line("the store is away");
        sleep(AWAY);
        store.come_back(copy);
        record.line(&format!("the store is back from its copy, at revision {}", store.revision()));
        sleep(REWRITE_DELAY);
        operator_writes(17);
        sleep(NEXT_CHANGE_DELAY);
    }
    let acknowledged_at = operator_writes(20);

    sleep(JUDGED_AFTER);
    let verdict = judge(record, &mesh, acknowledged_at);
    mesh.record_runs(record);
    verdict
}

/// Sends requests on all routes at all nodes, and counts those handled as only an older version allows.
fn judge(record: &Record, mesh: &Mesh, acknowledged_at: Instant) -> std::io::Result<Verdict> {
    let (mut sent, mut stale, mut unserved) = (0, 0, 0);
    let began_at = Instant::now();
    while began_at.elapsed() < JUDGED_FOR {
        for number in 0..mesh.machines.len() {
            for name in ["stays", "moved", "dropped", "added"] {
                let after = acknowledged_at.elapsed();
                let target = format!("/{name}/{sent}");
                let outcome = get(mesh, number, &target);
                sent += 1;
                let is_stale = match name {
                    "added" => outcome.status == 404,
                    "dropped" => outcome.status == 200,
                    "moved" => outcome.body.starts_with("archive"),
                    _ => false,
                };
                stale += u32::from(is_stale);
                unserved += u32::from(name == "stays" && outcome.status != 200);
                record.line(&format!(
                    "request {} {target} at {}, {:.3} s after the acknowledgement of version 20: {} {}{}",
                    outcome.id,
                    mesh.machines[number].name,
                    after.as_secs_f64(),
                    outcome.status,
                    outcome.body,
                    if is_stale { " STALE" } else { "" }
                ));
            }
        }
        sleep(ROUND_PAUSE);
    }
    record.tell(&format!(
        "{stale} of {sent} requests were handled as only a version before 20 allows, {:.0} to {:.0} s after the acknowledgement of version 20; {unserved} on the unchanged route were not served",
        JUDGED_AFTER.as_secs_f64(),
        acknowledged_at.elapsed().as_secs_f64()
    ));
    Ok(if stale > 0 { Verdict::Broken } else { Verdict::Held })
}
