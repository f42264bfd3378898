//! DRAIN: the node beside a leaving back end is killed after its acknowledgement, and takes the back end in again.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Setting;
use crate::back_end::{BackEnd, Exchange};
use crate::client::Client;
use crate::machine::{Machine, Ports};
use crate::store::Store;

const CONFIGURATION: &str = r#"{"version":1,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"listeners":[{"host":"shop.example","rules":[{"name":"r-renewal","kind":"non_idempotent","slo":"1000ms","priority":1,"match":{"pathPrefix":"/renewal/"},"action":{"service":"billing","timeout":"1500ms","attempts":2}}]}],"clusters":[{"name":"archive","healthPath":"/healthz","maxConns":120},{"name":"billing","healthPath":"/healthz","maxConns":120}]}"#;

/// Bounds of the site.
const DRAIN: Duration = Duration::from_millis(2_500);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time from the start of traffic to the withdrawal.
const LEAVES_AFTER: Duration = Duration::from_secs(3);
/// Time for which the leaving back end goes on serving after the acknowledgement.
const LINGERS: Duration = Duration::from_secs(10);
/// Time for which its health check tells that it is well although it leaves, and it fails all requests.
const LIES: Duration = Duration::from_millis(6_500);
/// Times from the acknowledgement to the kill, and from the kill to the next start.
const KILLED_AFTER: Duration = Duration::from_millis(300);
const DOWN: Duration = Duration::from_millis(500);
/// Upstreams of the service; one of them is struck.
const UPSTREAMS: u8 = 10;
const CLIENTS: u32 = 12;
const DEADLINE: Duration = Duration::from_millis(1_500);
const WORK: Duration = Duration::from_millis(30);

pub fn run(setting: &Setting) -> Vec<String> {
    let record = &setting.record;
    let ports = Ports::find(1 + UPSTREAMS);
    let store = Store::start(ports.store()).unwrap_or_else(|_| crate::give_up("the store can't listen"));
    store.put_configuration(CONFIGURATION);
    let mut machines = vec![Machine::new(1, "archive", "a", ports, &setting.folder)];
    let upstreams =
        (2..=1 + UPSTREAMS).map(|number| Machine::new(number, "billing", "a", ports, &setting.folder));
    machines.extend(upstreams);
    let last = machines.len() - 1;
    machines.iter_mut().for_each(Machine::start);
    machines.iter().for_each(Machine::wait_until_ready);
    let _archive = BackEnd::start("i-archive", &machines[0], record, Duration::ZERO, Arc::new(serve));
    let others = machines[1..last].iter().enumerate();
    let _others: Vec<_> = others
        .map(|(number, machine)| {
            let instance = format!("i-billing-{}", number + 3);
            BackEnd::start(&instance, machine, record, Duration::ZERO, Arc::new(serve))
        })
        .collect();
    let leaving = BackEnd::start("i-billing-2", &machines[last], record, Duration::ZERO, Arc::new(serve));
    thread::sleep(Duration::from_secs(3));
    let end = record.elapsed() + LEAVES_AFTER + LINGERS;
    let outbound = machines[0].outbound();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let mut client = Client::new(&format!("c{number}"), outbound, record);
            let record = record.clone();
            thread::spawn(move || {
                while record.elapsed() < end {
                    client.send("POST", &format!("/renewal/{number}"), DEADLINE);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    thread::sleep(LEAVES_AFTER);
    leaving.sends_heartbeats.store(false, Ordering::SeqCst);
    if !leaving.deregister() {
        crate::give_up("the withdrawal is not acknowledged");
    }
    let acknowledged_at = record.elapsed();
    record.note("i-billing-2 has withdrawn itself, and its machine has acknowledged it");
    let mut in_touch_at = acknowledged_at;
    if setting.has_trouble {
        leaving.fails.store(true, Ordering::SeqCst);
        thread::sleep(KILLED_AFTER);
        machines[last].kill();
        record.note("the process of its machine was killed");
        thread::sleep(DOWN);
        in_touch_at = record.elapsed() + CONTACT;
        machines[last].start();
        record.note("the process of its machine was started again");
        thread::sleep((acknowledged_at + LIES).saturating_sub(record.elapsed()));
        leaving.fails.store(false, Ordering::SeqCst);
    }
    leaving.is_well.store(false, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    leaving.end();
    let bound = in_touch_at.max(acknowledged_at + DRAIN);
    let traces = record.traces();
    println!("{} requests", traces.len());
    let late = traces.iter().flat_map(|(id, trace)| trace.runs.iter().map(move |run| (id, run)));
    let late = late.filter(|(_, (at, place))| place == "i-billing-2" && *at > bound);
    late.map(|(id, (at, _))| {
        let after = (*at - acknowledged_at).as_secs_f64();
        format!("DRAIN: {id} arrives at i-billing-2 {after:.3} s after the acknowledgement")
    })
    .collect()
}

fn serve(mut exchange: Exchange<'_>) -> bool {
    exchange.back_end.record.run(exchange.id, &exchange.back_end.instance);
    if exchange.back_end.fails.load(Ordering::SeqCst) {
        return exchange.answer_failure();
    }
    thread::sleep(WORK);
    exchange.answer()
}
