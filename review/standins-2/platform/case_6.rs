//! DRAIN: a back end that has just started again under its id withdraws itself before its first heartbeat arrives.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Setting;
use crate::back_end::{BackEnd, Exchange};
use crate::client::Client;
use crate::machine::{Machine, Ports};
use crate::store::Store;

const CONFIGURATION: &str = r#"{"version":1,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"listeners":[{"host":"shop.example","rules":[{"name":"r-activate","kind":"non_idempotent","slo":"400ms","priority":1,"match":{"pathPrefix":"/activate/"},"action":{"service":"activator","timeout":"800ms","attempts":2}}]}],"clusters":[{"name":"status-desk","healthPath":"/healthz","maxConns":120},{"name":"activator","healthPath":"/healthz","maxConns":120}]}"#;

/// Bound of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time from the start of traffic to the crash, from the crash to the next start, and from that to the withdrawal.
const CRASHES_AFTER: Duration = Duration::from_secs(3);
const DOWN: Duration = Duration::from_millis(1_500);
const LEAVES_AFTER: Duration = Duration::from_millis(1_200);
/// How late the first heartbeat after the restart arrives.
const LATE: Duration = Duration::from_millis(2_000);
/// Time for which the leaving back end goes on serving after the acknowledgement.
const LINGERS: Duration = Duration::from_secs(8);
/// Upstreams of the service; one of them is struck.
const UPSTREAMS: u8 = 8;
const CLIENTS: u32 = 84;
const DEADLINE: Duration = Duration::from_millis(1_500);
const WORK: Duration = Duration::from_millis(100);

pub fn run(setting: &Setting) -> Vec<String> {
    let record = &setting.record;
    let ports = Ports::find(1 + UPSTREAMS);
    let store = Store::start(ports.store()).unwrap_or_else(|_| crate::give_up("the store can't listen"));
    store.put_configuration(CONFIGURATION);
    let mut machines = vec![Machine::new(1, "status-desk", "a", ports, &setting.folder)];
    let upstreams =
        (2..=1 + UPSTREAMS).map(|number| Machine::new(number, "activator", "a", ports, &setting.folder));
    machines.extend(upstreams);
    let last = machines.len() - 1;
    machines.iter_mut().for_each(Machine::start);
    machines.iter().for_each(Machine::wait_until_ready);
    let start =
        |instance: &str, machine, late| BackEnd::start(instance, machine, record, late, Arc::new(serve));
    let _status_desk = start("i-status-desk", &machines[0], Duration::ZERO);
    let others = machines[1..last].iter().enumerate();
    let _others: Vec<_> = others
        .map(|(number, machine)| start(&format!("i-activator-{}", number + 3), machine, Duration::ZERO))
        .collect();
    let mut leaving = start("i-activator-2", &machines[last], Duration::ZERO);
    thread::sleep(Duration::from_secs(3));
    let end = record.elapsed() + CRASHES_AFTER + DOWN + LEAVES_AFTER + LINGERS;
    let outbound = machines[0].outbound();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let mut client = Client::new(&format!("c{number}"), outbound, record);
            let record = record.clone();
            thread::spawn(move || {
                while record.elapsed() < end {
                    client.send("POST", &format!("/activate/{number}"), DEADLINE);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    thread::sleep(CRASHES_AFTER);
    if setting.has_trouble {
        leaving.end();
        record.note("i-activator-2 has crashed");
        thread::sleep(DOWN);
        leaving = start("i-activator-2", &machines[last], LATE);
        record.note("i-activator-2 has started again under its id");
    } else {
        thread::sleep(DOWN);
    }
    thread::sleep(LEAVES_AFTER);
    leaving.is_well.store(false, Ordering::SeqCst);
    leaving.sends_heartbeats.store(false, Ordering::SeqCst);
    if !leaving.deregister() {
        crate::give_up("the withdrawal is not acknowledged");
    }
    let acknowledged_at = record.elapsed();
    record.note("i-activator-2 has withdrawn itself, and its machine has acknowledged it");
    clients.into_iter().for_each(|client| client.join().unwrap());
    leaving.end();
    let traces = record.traces();
    println!("{} requests", traces.len());
    let late = traces.iter().flat_map(|(id, trace)| trace.runs.iter().map(move |run| (id, run)));
    let late = late.filter(|(_, (at, place))| place == "i-activator-2" && *at > acknowledged_at + DRAIN);
    late.map(|(id, (at, _))| {
        let after = (*at - acknowledged_at).as_secs_f64();
        format!("DRAIN: {id} arrives at i-activator-2 {after:.3} s after the acknowledgement")
    })
    .collect()
}

fn serve(mut exchange: Exchange<'_>) -> bool {
    exchange.back_end.record.run(exchange.id, &exchange.back_end.instance);
    thread::sleep(WORK);
    exchange.answer()
}
