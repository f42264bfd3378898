//! All upstreams of a service crash at once while each runs the same popular request; later all processes of the
//! system are killed.

use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use crate::client::{Attempt, send};
use crate::mesh::{GRIDWELL, Mesh, Plan, Ports};
use crate::record::Record;
use crate::store::Store;
use crate::{Trouble, Verdict};

const HOST: &str = "jepu9.example";
/// What nearly all clients ask for: the grid of the day.
const POPULAR: &str = "/grids/today";
/// One request in this many asks for something else, each for another thing.
const OTHERS: u64 = 10;
/// Time between two requests of the clients of one machine.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_millis(4_000);

/// Calm time before the crash of the upstreams.
const CALM: Duration = Duration::from_secs(15);
/// Time for which the upstreams are down.
const CRASHED: Duration = Duration::from_secs(3);
/// Time from the start of the upstreams to the final fault.
const BETWEEN: Duration = Duration::from_secs(7);
/// Time for which the killed processes are down.
const DOWN: Duration = Duration::from_secs(1);
/// The bound `recover`.
const RECOVER: Duration = Duration::from_secs(15);
/// Time for which requests are judged.
const JUDGED_FOR: Duration = Duration::from_secs(20);

fn configuration() -> String {
    format!(
        r#"{{"version":7,"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"listeners":[{{"host":"{HOST}","rules":[{{"name":"r-grids","kind":"idempotent","slo":"600ms","priority":2,"match":{{"pathPrefix":"/grids/"}},"action":{{"service":"archive","timeout":"2000ms","attempts":2}}}}]}}],"clusters":[{{"name":"archive","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false}}]}}"#
    )
}

#[derive(Debug)]
struct Sent {
    at: Instant,
    is_served: bool,
    is_popular: bool,
}

pub fn run(record: &Record, folder: &Path, trouble: Trouble) -> std::io::Result<Verdict> {
    let store_address = Ports::new().next();
    let store = Store::start(store_address)?;
    store.put("config", "main", &configuration());
    let plan = |zone| Plan { service: "archive", zone, capacity: 18, work_millis: 220 };
    let plans = [plan("hall-a"), plan("hall-b"), plan("hall-c"), plan("hall-d")];
    let mut mesh = Mesh::new(folder, store_address, GRIDWELL, &plans);
    if !mesh.start_all()? {
        record.tell("the nodes did not become ready");
        return Ok(Verdict::NotRun);
    }
    sleep(Duration::from_secs(4));

    let sent = Mutex::new(Vec::new());
    let is_over = AtomicBool::new(false);
    let addresses: Vec<_> = mesh.machines.iter().map(|machine| machine.outbound).collect();
    let times = scope(|scope| {
        for address in &addresses {
            scope.spawn(|| drive(record, *address, &sent, &is_over));
        }
        let times = disrupt(record, &mut mesh, &store, trouble);
        is_over.store(true, Ordering::Relaxed);
        times
    });
    let Times { final_fault_at, back_at } = times?;
    mesh.record_runs(record);

    let sent = sent.into_inner().unwrap();
    let share = |is_counted: &dyn Fn(&Sent) -> bool| {
        let counted: Vec<&Sent> = sent.iter().filter(|sent| is_counted(sent)).collect();
        let served = counted.iter().filter(|sent| sent.is_served).count();
        (served, counted.len())
    };
    let before = share(&|sent| sent.at < final_fault_at);
    let after = share(&|sent| sent.at > back_at + RECOVER);
    let after_popular = share(&|sent| sent.at > back_at + RECOVER && sent.is_popular);
    record.tell(&format!(
        "served before the final fault: {} of {}; sent more than 15 s after the machines were back: {} of {} served ({} of {} of the popular request)",
        before.0, before.1, after.0, after.1, after_popular.0, after_popular.1
    ));
    if before.0 * 4 < before.1 || after.1 == 0 {
        return Ok(Verdict::NotRun);
    }
    Ok(if after.0 * 4 < after.1 { Verdict::Broken } else { Verdict::Held })
}

#[derive(Debug)]
struct Times {
    final_fault_at: Instant,
    back_at: Instant,
}

fn disrupt(record: &Record, mesh: &mut Mesh, store: &Store, trouble: Trouble) -> std::io::Result<Times> {
    sleep(CALM);
    if trouble == Trouble::All {
        for number in 0..mesh.machines.len() {
            mesh.kill_upstream(number);
        }
        record.line("all upstreams have crashed (SIGKILL)");
    }
    sleep(CRASHED);
    if trouble == Trouble::All {
        for number in 0..mesh.machines.len() {
            mesh.start_upstream(number)?;
        }
        record.line("all upstreams have started again, with new ids");
    }
    sleep(BETWEEN);
    record.line(&format!("quarantined requests in the store: {:?}", store.names("mesh-quarantine")));
    let final_fault_at = Instant::now();
    if trouble != Trouble::None {
        for number in 0..mesh.machines.len() {
            mesh.kill_node(number);
        }
        record.line("final fault: all processes of the system are killed (SIGKILL)");
        sleep(DOWN);
        for number in 0..mesh.machines.len() {
            mesh.start_node(number, false)?;
        }
    }
    let is_ready = mesh.wait_until_ready(Duration::from_secs(10));
    record.line(&format!("the machines are back; all nodes ready: {is_ready}"));
    let back_at = Instant::now();
    sleep(RECOVER + JUDGED_FOR);
    Ok(Times { final_fault_at, back_at })
}

/// Sends the requests of the clients of one machine, a few at a time.
fn drive(record: &Record, to: std::net::SocketAddr, sent: &Mutex<Vec<Sent>>, is_over: &AtomicBool) {
    let number = AtomicU64::new(0);
    scope(|scope| {
        // As many clients as keep the rate while each waits for its answer.
        for client in 0..8 {
            let number = &number;
            scope.spawn(move || {
                sleep(REQUEST_INTERVAL * client);
                while !is_over.load(Ordering::Relaxed) {
                    let at = Instant::now();
                    let count = number.fetch_add(1, Ordering::Relaxed);
                    let is_popular = count % OTHERS != 0;
                    let target = if is_popular { POPULAR.to_owned() } else { format!("/grids/{to}/{count}") };
                    let attempt =
                        Attempt { method: "GET", host: HOST, target: &target, deadline: DEADLINE, body: b"" };
                    let outcome = send(to, &attempt);
                    let is_served = outcome.status == 200 && outcome.is_signed;
                    record.line(&format!(
                        "{} {target} at {to}: {} {}",
                        outcome.id, outcome.status, outcome.body
                    ));
                    sent.lock().unwrap().push(Sent { at, is_served, is_popular });
                    sleep((REQUEST_INTERVAL * 8).saturating_sub(at.elapsed()));
                }
            });
        }
    });
}
