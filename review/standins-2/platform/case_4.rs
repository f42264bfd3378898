//! TWICE and REFUSED: a faulty back end sends a rejection twice, and the second copy arrives in the place of the
//! next answer.

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

/// Part of the traffic in which one back end is faulty, since the first request.
const TROUBLE: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(8));
const TRAFFIC: Duration = Duration::from_secs(12);
/// One in this many requests finds the back end full, and is shed.
const SHED_ONE_IN: u32 = 25;
/// One in this many shed requests of the faulty back end is answered twice, so one answer in 50 is followed by a
/// surplus one.
const TWICE_ONE_IN: u32 = 2;
const CLIENTS: u32 = 6;
const DEADLINE: Duration = Duration::from_millis(1_500);
const WORK: Duration = Duration::from_millis(30);
/// What an upstream sends when it sheds a request, as the pages show it.
const SHED: &[u8] =
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
    let traffic_at = record.elapsed() + Duration::from_secs(3);
    let has_trouble = setting.has_trouble;
    let sound = sheds(|_number| false);
    let faulty_from = traffic_at + TROUBLE.0;
    let faulty_until = traffic_at + TROUBLE.1;
    let clock = record.clone();
    let faulty = sheds(move |number| {
        let is_faulty = has_trouble && (faulty_from..faulty_until).contains(&clock.elapsed());
        is_faulty && number % TWICE_ONE_IN == 0
    });
    let _back_ends = [
        BackEnd::start("i-archive", &machines[0], record, Duration::ZERO, Arc::new(serve)),
        BackEnd::start("i-billing-1", &machines[1], record, Duration::ZERO, Arc::new(faulty)),
        BackEnd::start("i-billing-2", &machines[2], record, Duration::ZERO, Arc::new(sound)),
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

/// A back end that sheds some requests. `is_twice` tells by the number of a shed request whether its answer is sent
/// a second time, which arrives late.
fn sheds(is_twice: impl Fn(u32) -> bool + Send + Sync) -> impl Fn(Exchange<'_>) -> bool + Send + Sync {
    let requests = AtomicU32::new(0);
    move |exchange| {
        let number = requests.fetch_add(1, Ordering::SeqCst) + 1;
        if number % SHED_ONE_IN != 0 || !exchange.surplus.is_empty() {
            return serve(exchange);
        }
        let is_twice = is_twice(number / SHED_ONE_IN);
        let id = exchange.id;
        exchange.back_end.record.note(&format!("{id} is shed at {}", exchange.back_end.instance));
        if is_twice {
            exchange.surplus.extend_from_slice(SHED);
        }
        exchange.writer.write_all(SHED).is_ok()
    }
}

/// Runs a request. If a surplus answer is still due on this connection, it is sent first.
fn serve(mut exchange: Exchange<'_>) -> bool {
    let surplus = std::mem::take(exchange.surplus);
    if !surplus.is_empty() {
        exchange.back_end.record.note("the second copy of the last answer on this connection arrives, late");
        if exchange.writer.write_all(&surplus).is_err() {
            return false;
        }
    }
    exchange.back_end.record.run(exchange.id, &exchange.back_end.instance);
    thread::sleep(WORK);
    exchange.answer()
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
