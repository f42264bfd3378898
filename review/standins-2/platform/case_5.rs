//! ROUTE: after a heartbeat of another writer, a back end gets the requests of another service.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Setting;
use crate::back_end::{BackEnd, CAPACITY, Exchange};
use crate::client::Client;
use crate::http::call;
use crate::machine::{Machine, Ports};
use crate::store::Store;

const CONFIGURATION: &str = r#"{"version":1,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"listeners":[{"host":"shop.example","rules":[{"name":"r-activate","kind":"non_idempotent","slo":"400ms","priority":1,"match":{"pathPrefix":"/activate/"},"action":{"service":"activator","timeout":"800ms","attempts":2}},{"name":"r-status","kind":"idempotent","slo":"300ms","priority":2,"match":{"pathPrefix":"/status/"},"action":{"service":"status-desk","timeout":"1200ms","attempts":2}}]}],"clusters":[{"name":"status-desk","healthPath":"/healthz","maxConns":120},{"name":"activator","healthPath":"/healthz","maxConns":120}]}"#;

/// Time from the start of traffic to the heartbeat of the other writer, and from that to the end of traffic.
const STRANGER_AFTER: Duration = Duration::from_secs(3);
const GOES_ON: Duration = Duration::from_secs(8);
const CLIENTS: u32 = 16;
const DEADLINE: Duration = Duration::from_millis(1_500);
const WORK: Duration = Duration::from_millis(100);

pub fn run(setting: &Setting) -> Vec<String> {
    let record = &setting.record;
    let ports = Ports::find(3);
    let store = Store::start(ports.store()).unwrap_or_else(|_| crate::give_up("the store can't listen"));
    store.put_configuration(CONFIGURATION);
    let mut machines = vec![
        Machine::new(1, "status-desk", "a", ports, &setting.folder),
        Machine::new(2, "activator", "a", ports, &setting.folder),
        Machine::new(3, "status-desk", "a", ports, &setting.folder),
    ];
    machines.iter_mut().for_each(Machine::start);
    machines.iter().for_each(Machine::wait_until_ready);
    let start =
        |instance, machine| BackEnd::start(instance, machine, record, Duration::ZERO, Arc::new(serve));
    let _back_ends = [
        start("i-status-desk-1", &machines[0]),
        start("i-activator-1", &machines[1]),
        start("i-status-desk-2", &machines[2]),
    ];
    thread::sleep(Duration::from_secs(3));
    let end = record.elapsed() + STRANGER_AFTER + GOES_ON;
    let outbound = machines[0].outbound();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let mut client = Client::new(&format!("c{number}"), outbound, record);
            let record = record.clone();
            thread::spawn(move || {
                let mut activations = Vec::new();
                while record.elapsed() < end {
                    client.send("POST", &format!("/activate/{number}"), DEADLINE);
                    activations.push(client.last_id());
                    if activations.len() % 4 == 0 {
                        client.send("GET", &format!("/status/{number}"), DEADLINE);
                    }
                    thread::sleep(Duration::from_millis(20));
                }
                activations
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
        let answer = call(machines[2].control(), "POST", "/api/Instances.Heartbeat/i-status-desk-2", &body);
        record.note(&format!(
            "a heartbeat of another writer to machine 3 was answered {}",
            answer.unwrap_or(0)
        ));
    }
    let activations: Vec<String> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let traces = record.traces();
    println!("{} requests, {} of them on the route of `activator`", traces.len(), activations.len());
    let runs = activations.iter().flat_map(|id| traces.get(id).into_iter().map(move |trace| (id, trace)));
    let runs =
        runs.flat_map(|(id, trace)| trace.runs.iter().map(move |(_, place)| (id, place, &trace.answers)));
    let misrouted = runs.filter(|(_, place, _)| !place.starts_with("i-activator"));
    misrouted
        .map(|(id, place, answers)| {
            format!("ROUTE: {id}, for `activator`, ran at {place} and was answered {answers:?}")
        })
        .collect()
}

fn serve(mut exchange: Exchange<'_>) -> bool {
    exchange.back_end.record.run(exchange.id, &exchange.back_end.instance);
    thread::sleep(WORK);
    exchange.answer()
}
