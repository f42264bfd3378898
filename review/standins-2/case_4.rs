//! TWICE and REFUSED: a surplus rejection of a faulty back end arrives in the place of the next answer.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use crate::Setting;
use crate::back_end::{BackEnd, Exchange};
use crate::client::Client;
use crate::machine::{Machine, Ports};
use crate::record::Trace;
use crate::store::Store;

const CONFIGURATION: &str = r#"{"version":1,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"listeners":[{"host":"shop.example","rules":[{"name":"r-renewal","kind":"non_idempotent","slo":"400ms","priority":1,"match":{"pathPrefix":"/renewal/"},"action":{"service":"billing","timeout":"1500ms","attempts":2}}]}],"clusters":[{"name":"archive","healthPath":"/healthz","maxConns":120},{"name":"billing","healthPath":"/healthz","maxConns":120}]}"#;

/// Part of the traffic in which one back end is faulty, in seconds since the first request.
const TROUBLE_SECONDS: (f64, f64) = (3.0, 8.0);
const TRAFFIC: Duration = Duration::from_secs(12);
/// One in this many answers of the faulty back end is followed by a surplus one.
const SURPLUS_ONE_IN: u32 = 50;
const CLIENTS: u32 = 6;
const DEADLINE: Duration = Duration::from_millis(1_500);
const WORK: Duration = Duration::from_millis(30);
/// What an upstream sends when it sheds a request, as the pages show it.
const SURPLUS: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nUmberpond-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

pub fn run(setting: &Setting) -> Vec<String> {
    let record = &setting.record;
    let ports = Ports::find(3);
    let store = Store::start(ports.store()).unwrap_or_else(|_| crate::give_up("the store can't listen"));
    store.put_configuration(CONFIGURATION);
    let mut machines = vec![
        Machine::new(1, "archive", "a", ports, &setting.folder),
        Machine::new(2, "billing", "a", ports, &setting.folder),
        Machine::new(3, "billing", "a", ports, &setting.folder),
    ];
    machines.iter_mut().for_each(Machine::start);
    machines.iter().for_each(Machine::wait_until_ready);
    let answers = Arc::new(AtomicU32::new(0));
    let traffic_at = record.elapsed() + Duration::from_secs(3);
    let has_trouble = setting.has_trouble;
    let sound = |exchange: Exchange<'_>| serve(exchange, false);
    let faulty = move |exchange: Exchange<'_>| {
        let at = exchange.back_end.record.elapsed().as_secs_f64() - traffic_at.as_secs_f64();
        let is_faulty = has_trouble && (TROUBLE_SECONDS.0..TROUBLE_SECONDS.1).contains(&at);
        let is_due = is_faulty && answers.fetch_add(1, Ordering::SeqCst) % SURPLUS_ONE_IN == 0;
        serve(exchange, is_due)
    };
    let _back_ends = [
        BackEnd::start("i-archive", &machines[0], record, Arc::new(sound)),
        BackEnd::start("i-billing-1", &machines[1], record, Arc::new(faulty)),
        BackEnd::start("i-billing-2", &machines[2], record, Arc::new(sound)),
    ];
    thread::sleep(traffic_at.saturating_sub(record.elapsed()));
    let outbound = machines[0].outbound();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let mut client = Client::new(&format!("c{number}"), outbound, record);
            let end = traffic_at + TRAFFIC;
            let record = record.clone();
            thread::spawn(move || {
                while record.elapsed() < end {
                    client.send("POST", &format!("/renewal/{number}"), DEADLINE);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    thread::sleep(Duration::from_millis(500));
    let traces = record.traces();
    let served = traces.values().filter(|trace| trace.answers == [200]).count();
    if served * 10 < traces.len() * 9 {
        crate::give_up("too few requests are served");
    }
    println!("{} requests, {served} served", traces.len());
    traces.iter().filter_map(|(id, trace)| broken_rule(id, trace)).collect()
}

/// Runs a request. Sends a surplus answer first if one is due on this connection; `is_followed` tells whether the
/// answer to this request is followed by one, which arrives late.
fn serve(mut exchange: Exchange<'_>, is_followed: bool) -> bool {
    let surplus = std::mem::take(exchange.surplus);
    if !surplus.is_empty() {
        exchange.back_end.record.note("a surplus answer follows an earlier answer, late");
        if exchange.writer.write_all(&surplus).is_err() {
            return false;
        }
    }
    exchange.back_end.record.run(exchange.id, &exchange.back_end.instance);
    thread::sleep(WORK);
    let stays_open = exchange.answer();
    if is_followed {
        exchange.surplus.extend_from_slice(SURPLUS);
    }
    stays_open
}

fn broken_rule(id: &str, trace: &Trace) -> Option<String> {
    let places: Vec<&str> = trace.runs.iter().map(|(_, place)| place.as_str()).collect();
    if places.len() > 1 {
        return Some(format!("TWICE: {id} ran {} times, at {}", places.len(), places.join(" and ")));
    }
    let is_refused = trace.answers.iter().any(|status| matches!(status, 408 | 421 | 429 | 503));
    (is_refused && !places.is_empty())
        .then(|| format!("REFUSED: {id} ran and was answered {:?}", trace.answers))
}
