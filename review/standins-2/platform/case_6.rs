//! DRAIN: after a heartbeat of another writer, the node ignores that its back end is draining.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Setting;
use crate::back_end::{BackEnd, CAPACITY, Exchange, HEARTBEAT};
use crate::client::Client;
use crate::http::call;
use crate::machine::{Machine, Ports};
use crate::store::Store;

const CONFIGURATION: &str = r#"{"version":1,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"listeners":[{"host":"shop.example","rules":[{"name":"r-activate","kind":"non_idempotent","slo":"400ms","priority":1,"match":{"pathPrefix":"/activate/"},"action":{"service":"activator","timeout":"800ms","attempts":2}}]}],"clusters":[{"name":"status-desk","healthPath":"/healthz","maxConns":120},{"name":"activator","healthPath":"/healthz","maxConns":120}]}"#;

/// Bound of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time from the start of traffic to the heartbeat of the other writer, and from that to the end of the back end's
/// ready state.
const STRANGER_AFTER: Duration = Duration::from_secs(2);
const DRAINS_AFTER: Duration = Duration::from_secs(4);
/// Time for which the draining back end goes on serving after the acknowledgement.
const LINGERS: Duration = Duration::from_secs(8);
const CLIENTS: u32 = 4;
const DEADLINE: Duration = Duration::from_millis(1_500);
const WORK: Duration = Duration::from_millis(30);

pub fn run(setting: &Setting) -> Vec<String> {
    let record = &setting.record;
    let ports = Ports::find(3);
    let store = Store::start(ports.store()).unwrap_or_else(|_| crate::give_up("the store can't listen"));
    store.put_configuration(CONFIGURATION);
    let mut machines = vec![
        Machine::new(1, "status-desk", "a", ports, &setting.folder),
        Machine::new(2, "activator", "a", ports, &setting.folder),
        Machine::new(3, "activator", "a", ports, &setting.folder),
    ];
    machines.iter_mut().for_each(Machine::start);
    machines.iter().for_each(Machine::wait_until_ready);
    let start =
        |instance, machine| BackEnd::start(instance, machine, record, Duration::ZERO, Arc::new(serve));
    let _status_desk = start("i-status-desk", &machines[0]);
    let _activator = start("i-activator-1", &machines[1]);
    let draining = start("i-activator-2", &machines[2]);
    thread::sleep(Duration::from_secs(3));
    let end = record.elapsed() + STRANGER_AFTER + DRAINS_AFTER + LINGERS;
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
    thread::sleep(STRANGER_AFTER);
    if setting.has_trouble {
        // Its fields `born`, `info.version`, `info.zone` and `status.warmupLeft` are missing.
        let address = machines[2].application();
        let body = format!(
            r#"{{"address":"{address}","info":{{"service":"activator","capacity":{CAPACITY}}},"status":{{"state":"ready","seq":100000}}}}"#
        );
        let answer = call(machines[2].control(), "POST", "/api/Instances.Heartbeat/i-activator-2", &body);
        record.note(&format!(
            "a heartbeat of another writer to machine 3 was answered {}",
            answer.unwrap_or(0)
        ));
    }
    thread::sleep(DRAINS_AFTER);
    draining.is_well.store(false, Ordering::SeqCst);
    draining.sends_heartbeats.store(false, Ordering::SeqCst);
    if !draining.send_heartbeat("draining") {
        crate::give_up("the heartbeat that says `draining` is not acknowledged");
    }
    let acknowledged_at = record.elapsed();
    record.note("i-activator-2 says that it is draining, and machine 3 has acknowledged it");
    while record.elapsed() + HEARTBEAT < end {
        thread::sleep(HEARTBEAT);
        draining.send_heartbeat("draining");
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    draining.end();
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
