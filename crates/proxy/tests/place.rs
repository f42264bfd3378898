//! The allowed place: what each half verifies beside the filter.

mod support;

use std::time::Duration;

use support::mesh::{address, backend_at, inbound_at};
use support::peer::{inbound_answer, origin};
use support::{Answer, MemoryNetwork, MeshBuilder, Peer, Step, post};
use umberpond_model::LocalityRule;

fn only_zone(zone: &str) -> Vec<LocalityRule> {
    vec![LocalityRule { region: "north".parse().unwrap(), zone: Some(zone.parse().unwrap()) }]
}

#[tokio::test(start_paused = true)]
async fn without_an_allowed_endpoint_nothing_is_sent() {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok("x")]);
    let mesh = MeshBuilder { allowed: only_zone("b"), ..MeshBuilder::default() }.build(&network).await;
    let answer = post(&network, mesh.entry(), "/buy/a", "", b"1").await;
    assert_eq!((answer.status, answer.outcome()), (503, "rejected"));
    assert_eq!(answer.header("umberpond-reason"), Some("no-endpoint"));
    assert_eq!(network.connections_to(inbound_at(0)), 0);
    assert!(backend.ran().is_empty());
}

#[tokio::test(start_paused = true)]
async fn the_inbound_half_refuses_by_its_own_configuration() {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok("x")]);
    let builder = MeshBuilder { allowed_at_servers: only_zone("b"), ..MeshBuilder::default() };
    let mesh = builder.build(&network).await;
    let answer = post(&network, mesh.entry(), "/buy/a", "", b"1").await;
    assert_eq!((answer.status, answer.outcome()), (503, "rejected"));
    assert!(backend.ran().is_empty());
    assert!(mesh.events.count("WrongLocality") > 0);
}

#[tokio::test(start_paused = true)]
async fn the_inbound_half_refuses_another_service_and_a_copy() {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok("x")]);
    let _mesh = MeshBuilder::default().build(&network).await;
    let attempt = |service: &str, id: char| {
        let id: String = std::iter::repeat_n(id, 32).collect();
        format!(
            "POST /buy/a HTTP/1.1\r\nhost: archive\r\nconnection: close\r\ncontent-length: 0\r\n\
             umberpond-service: {service}\r\numberpond-request-id: {id}\r\numberpond-attempt: 1\r\n\
             umberpond-class: transaction\r\numberpond-idempotent: false\r\numberpond-deadline: 1000\r\n\
             umberpond-age: 0\r\numberpond-caller: edge-1\r\n\r\n"
        )
    };
    let ask = async |request: String| {
        let raw = support::caller::raw(&network, inbound_at(0), request.as_bytes()).await;
        let answer = Answer::parse(&raw).unwrap();
        (answer.status, answer.outcome().to_owned(), answer.header("umberpond-reason").map(str::to_owned))
    };
    let rejected = |reason: &str| (503, "rejected".to_owned(), Some(reason.to_owned()));
    assert_eq!(ask(attempt("billing", 'a')).await, rejected("wrong-service"));
    assert_eq!(ask(attempt("archive", 'a')).await, (200, "answered".to_owned(), None));
    let copy = (409, "unknown".to_owned(), Some("duplicate".to_owned()));
    assert_eq!(ask(attempt("archive", 'a')).await, copy, "a doubled message runs once");
    let bare = "GET /read HTTP/1.1\r\nhost: archive\r\nconnection: close\r\n\r\n".to_owned();
    assert_eq!(ask(bare).await, (400, "rejected".to_owned(), Some("malformed".to_owned())));
    assert_eq!(backend.ran().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_answer_from_elsewhere_is_not_passed_on() {
    for (name, place) in
        [("another node", origin(5, "a")), ("another zone", origin(0, "b")), ("nobody", String::new())]
    {
        let network = MemoryNetwork::new();
        let answer = inbound_answer(200, "answered", &place, "stolen");
        let step = Step::Run { wait: Duration::ZERO, answer };
        Peer::start(&network, inbound_at(0), vec![step]);
        let builder = MeshBuilder { real_inbound: false, ..MeshBuilder::default() };
        let mesh = builder.build(&network).await;
        let told = post(&network, mesh.entry(), "/buy/a", "", b"1").await;
        assert_eq!((told.status, told.outcome()), (502, "unknown"), "{name}");
        assert!(mesh.events.count("WrongAnswer") > 0, "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_version_never_goes_back() {
    let network = MemoryNetwork::new();
    let mesh = MeshBuilder::default().build(&network).await;
    let builder = MeshBuilder::default();
    let callers = std::collections::BTreeSet::from(["storefront".parse().unwrap()]);
    let table = |version| std::sync::Arc::new(builder.table(version, &builder.allowed, &callers));
    mesh.outbound.state.activate(table(5)).unwrap();
    let stale = mesh.outbound.state.activate(table(4)).unwrap_err();
    assert_eq!((stale.offered.0, stale.active.0), (4, 5));
    assert_eq!(mesh.outbound.state.active_version().unwrap().0, 5);
    assert_eq!(mesh.entry(), address(support::mesh::OUTBOUND));
}
