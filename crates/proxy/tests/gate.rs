//! The inbound half's gate over its whole life: before the first configuration, and over changes of the slots.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use support::mesh::{Mesh, backend_at, inbound_at, settle};
use support::{Answer, MemoryNetwork, MeshBuilder, Peer, Step};
use umberpond_model::LocalityRule;

/// What a node was told: status, outcome, reason.
type Told = (u16, String, Option<String>);

fn told(status: u16, outcome: &str, reason: Option<&str>) -> Told {
    (status, outcome.to_owned(), reason.map(str::to_owned))
}

/// Sends attempt `number` of the request `id` to the first inbound half.
async fn send_attempt(network: &MemoryNetwork, id: char, number: u32) -> Told {
    let id: String = std::iter::repeat_n(id, 32).collect();
    let request = format!(
        "POST /buy/a HTTP/1.1\r\nhost: archive\r\nconnection: close\r\ncontent-length: 0\r\n\
         umberpond-service: archive\r\numberpond-request-id: {id}\r\numberpond-attempt: {number}\r\n\
         umberpond-class: transaction\r\numberpond-idempotent: false\r\numberpond-deadline: 1000\r\n\
         umberpond-age: 0\r\numberpond-caller: edge-1\r\n\r\n"
    );
    let answer =
        Answer::parse(&support::caller::raw(network, inbound_at(0), request.as_bytes()).await).unwrap();
    (answer.status, answer.outcome().to_owned(), answer.header("umberpond-reason").map(str::to_owned))
}

fn activate(mesh: &Mesh, version: u64, builder: &MeshBuilder, allowed: &[LocalityRule]) {
    let table = builder.table(version, allowed, &BTreeSet::new());
    mesh.inbound[0].state.activate(Arc::new(table)).unwrap();
}

fn only_zone(zone: &str) -> Vec<LocalityRule> {
    vec![LocalityRule { region: "north".parse().unwrap(), zone: Some(zone.parse().unwrap()) }]
}

#[tokio::test(start_paused = true)]
async fn a_change_of_the_slots_is_taken_up_and_what_was_admitted_stays_remembered() {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok("x")]);
    let builder = MeshBuilder { slots: 10, ..MeshBuilder::default() };
    let allowed = builder.allowed.clone();
    let mesh = builder.build(&network).await;
    assert_eq!(send_attempt(&network, 'a', 1).await, told(200, "answered", None));
    for (version, slots) in [(2, 3), (3, 25)] {
        activate(&mesh, version, &MeshBuilder { slots, ..MeshBuilder::default() }, &allowed);
        assert_eq!(mesh.inbound[0].state.gate_view().unwrap().slots, slots);
    }
    assert_eq!(send_attempt(&network, 'a', 1).await, told(409, "unknown", Some("duplicate")));
    assert_eq!(backend.ran().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_copy_of_what_was_refused_before_the_first_configuration_never_runs() {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok("x")]);
    let builder = MeshBuilder { servers_have_configuration: false, ..MeshBuilder::default() };
    let allowed = builder.allowed.clone();
    let mesh = builder.build(&network).await;
    settle().await;
    assert_eq!(send_attempt(&network, 'a', 1).await, told(503, "rejected", Some("no-configuration")));
    tokio::time::sleep(Duration::from_secs(1)).await;
    activate(&mesh, 1, &MeshBuilder::default(), &allowed);
    assert_eq!(send_attempt(&network, 'a', 1).await, told(409, "unknown", Some("duplicate")));
    assert!(backend.ran().is_empty(), "the caller's node may have sent the next attempt elsewhere");
    assert_eq!(send_attempt(&network, 'a', 2).await, told(200, "answered", None), "a later attempt may run");
}

#[tokio::test(start_paused = true)]
async fn a_copy_of_what_was_refused_for_its_place_never_runs() {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok("x")]);
    let builder = MeshBuilder { allowed_at_servers: only_zone("b"), ..MeshBuilder::default() };
    let mesh = builder.build(&network).await;
    assert_eq!(send_attempt(&network, 'a', 1).await, told(503, "rejected", Some("wrong-locality")));
    activate(&mesh, 2, &MeshBuilder::default(), &only_zone("a"));
    assert_eq!(send_attempt(&network, 'a', 1).await, told(409, "unknown", Some("duplicate")));
    assert!(backend.ran().is_empty());
    assert_eq!(send_attempt(&network, 'b', 1).await, told(200, "answered", None));
    activate(&mesh, 3, &MeshBuilder::default(), &only_zone("b"));
    let copy = send_attempt(&network, 'b', 1).await;
    assert_eq!(copy, told(409, "unknown", Some("duplicate")), "it ran, so it is not called rejected");
}
