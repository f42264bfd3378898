//! RECOVER: after a final fault, heartbeats of another writer name a service that the configuration doesn't have.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Setting;
use crate::back_end::{BackEnd, Exchange, HEARTBEAT};
use crate::client::Client;
use crate::http::call;
use crate::machine::{Machine, Ports};
use crate::store::Store;

const CONFIGURATION: &str = r#"{"version":1,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"listeners":[{"host":"shop.example","rules":[{"name":"r-status","kind":"idempotent","slo":"300ms","priority":2,"match":{"pathPrefix":"/status/"},"action":{"service":"status-desk","timeout":"1200ms","attempts":2}}]}],"clusters":[{"name":"activator","healthPath":"/healthz","maxConns":120},{"name":"status-desk","healthPath":"/healthz","maxConns":120}]}"#;

/// Bound of the site.
const RECOVER: Duration = Duration::from_secs(15);
/// Time from the start of traffic to the final fault, and from that to the next start of all processes.
const FAULT_AFTER: Duration = Duration::from_secs(6);
const DOWN: Duration = Duration::from_secs(1);
/// Time after the bound for which requests are judged.
const JUDGED: Duration = Duration::from_secs(8);
const CLIENTS: u32 = 4;
const DEADLINE: Duration = Duration::from_millis(1_200);
const WORK: Duration = Duration::from_millis(30);

pub fn run(setting: &Setting) -> Vec<String> {
    let record = &setting.record;
    let ports = Ports::find(4);
    let store = Store::start(ports.store()).unwrap_or_else(|_| crate::give_up("the store can't listen"));
    store.put_configuration(CONFIGURATION);
    let mut machines = vec![
        Machine::new(1, "activator", "a", ports, &setting.folder),
        Machine::new(2, "status-desk", "a", ports, &setting.folder),
        Machine::new(3, "status-desk", "a", ports, &setting.folder),
    ];
    // Nothing runs on this machine.
    let elsewhere = Machine::new(4, "stranger", "a", ports, &setting.folder).application();
    machines.iter_mut().for_each(Machine::start);
    machines.iter().for_each(Machine::wait_until_ready);
    let start =
        |instance, machine| BackEnd::start(instance, machine, record, Duration::ZERO, Arc::new(serve));
    let _back_ends = [
        start("i-activator", &machines[0]),
        start("i-status-desk-1", &machines[1]),
        start("i-status-desk-2", &machines[2]),
    ];
    thread::sleep(Duration::from_secs(3));
    let began_at = record.elapsed();
    let is_over = Arc::new(AtomicBool::new(false));
    let outbound = machines[0].outbound();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let mut client = Client::new(&format!("c{number}"), outbound, record);
            let is_over = Arc::clone(&is_over);
            let record = record.clone();
            thread::spawn(move || {
                let mut sent = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    let at = record.elapsed();
                    sent.push((at, client.send("GET", &format!("/status/{number}"), DEADLINE)));
                    thread::sleep(Duration::from_millis(50));
                }
                sent
            })
        })
        .collect();
    thread::sleep(FAULT_AFTER);
    let fault_at = record.elapsed();
    record.note("the final fault: all processes of the system are killed");
    machines.iter_mut().for_each(Machine::kill);
    thread::sleep(DOWN);
    machines.iter_mut().for_each(Machine::start);
    record.note("all processes of the system were started again");
    let back_at = record.elapsed();
    if setting.has_trouble {
        let controls = [machines[1].control(), machines[2].control()];
        let (is_over, record) = (Arc::clone(&is_over), record.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(HEARTBEAT);
                for (number, control) in controls.iter().enumerate() {
                    let path = format!("/api/Instances.Heartbeat/i-stranger-{number}");
                    let sequence = record.elapsed().as_millis();
                    let body = format!(
                        r#"{{"address":"{elsewhere}","info":{{"service":"stranger","version":"v1","zone":"a","capacity":4}},"status":{{"state":"ready","seq":{sequence},"warmupLeft":"0ms"}}}}"#
                    );
                    let status = call(*control, "POST", &path, &body).unwrap_or(0);
                    record.note(&format!(
                        "a heartbeat for the service `stranger` to {control} was answered {status}"
                    ));
                }
            }
        });
    }
    thread::sleep(RECOVER + JUDGED);
    is_over.store(true, Ordering::SeqCst);
    let sent: Vec<_> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let share = |from: Duration, until: Duration| {
        let within: Vec<u16> =
            sent.iter().filter(|(at, _)| (from..until).contains(at)).map(|(_, status)| *status).collect();
        let served = within.iter().filter(|status| **status == 200).count();
        (served, within.len())
    };
    let (served_before, before) = share(began_at, fault_at);
    let (served, after) = share(back_at + RECOVER, record.elapsed());
    println!("before the fault {served_before} of {before} served, after the bound {served} of {after}");
    if served_before * 4 < before {
        crate::give_up("too few requests are served before the fault");
    }
    let is_broken = served * 4 < after;
    let line =
        format!("RECOVER: {served} of {after} requests sent more than 15 s after the start are served");
    is_broken.then_some(line).into_iter().collect()
}

fn serve(mut exchange: Exchange<'_>) -> bool {
    exchange.back_end.record.run(exchange.id, &exchange.back_end.instance);
    thread::sleep(WORK);
    exchange.answer()
}
