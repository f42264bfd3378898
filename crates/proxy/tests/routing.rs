//! Compilation and look-up of routes.

use std::collections::{BTreeMap, BTreeSet};

use http::Method;
use umberpond_config::{Entry, HeaderCredential, RequestClass, Route, RoutePolicy, Service, Snapshot};
use umberpond_model::{LocalityRule, Millis, ServiceName, Version};
use umberpond_proxy::{CompileError, CredentialValue, NoRoute, RoutingTable};

fn service(name: &str) -> Service {
    let allowed = vec![LocalityRule { region: "north".parse().unwrap(), zone: None }];
    Service {
        name: name.parse().unwrap(),
        allowed,
        slots: 1,
        connections: 1,
        seal_key: None,
        health_path: None,
    }
}

fn route(name: &str, service: &str, prefix: &str, methods: &[&str]) -> Route {
    Route {
        name: name.parse().unwrap(),
        service: service.parse().unwrap(),
        callers: BTreeSet::from(["edge".parse().unwrap()]),
        path_prefix: prefix.into(),
        methods: methods.iter().map(|method| (*method).to_owned()).collect(),
        idempotent: false,
        class: RequestClass::Status,
        host: None,
        split: Vec::new(),
        policy: RoutePolicy::default(),
        timeout: Millis(1),
        credentials: Vec::new(),
    }
}

fn snapshot(routes: Vec<Route>) -> Snapshot {
    let mut snapshot = Snapshot::default();
    snapshot.services.insert("archive".parse().unwrap(), Entry::new(service("archive")));
    for route in routes {
        snapshot.routes.insert(route.name.clone(), Entry::new(route));
    }
    snapshot
}

fn edge() -> BTreeSet<ServiceName> {
    BTreeSet::from(["edge".parse().unwrap()])
}

fn compile(routes: Vec<Route>) -> Result<RoutingTable, CompileError> {
    RoutingTable::compile(Version(1), &snapshot(routes), &BTreeMap::new(), &edge())
}

#[test]
fn of_the_routes_that_match_the_longest_prefix_wins_at_segment_ends() {
    let mut read_again = route("read-again", "archive", "/a/read", &[]);
    read_again.idempotent = true;
    let table = compile(vec![
        route("all", "archive", "/", &[]),
        route("a", "archive", "/a/", &["GET"]),
        read_again,
        route("read", "archive", "/a/read", &[]),
        route("read-post", "archive", "/a/read", &["POST"]),
    ])
    .unwrap();
    let name = |method: &Method, path: &str| {
        table.find("archive", method, path).map(|found| found.route.name.as_str().to_owned())
    };
    let named = |name: &str| Ok(name.to_owned());
    assert_eq!(name(&Method::GET, "/a/read/today"), named("read"), "the stricter of two equals");
    assert_eq!(name(&Method::POST, "/a/read"), named("read-post"), "listed methods before all methods");
    assert_eq!(name(&Method::GET, "/a/reading"), named("a"));
    assert_eq!(name(&Method::PUT, "/a/reading"), named("all"), "a route of another method does not hide it");
    assert_eq!(name(&Method::GET, "/ab"), named("all"));
    assert_eq!(name(&Method::GET, "/a"), named("a"));
    assert!(matches!(table.find("billing", &Method::GET, "/"), Err(NoRoute::UnknownHost)));
}

#[test]
fn what_is_not_closed_does_not_compile() {
    let missing_service = compile(vec![route("a", "billing", "/", &[])]).unwrap_err();
    assert!(matches!(missing_service, CompileError::MissingService { .. }));

    let with_credential = |header: &str| {
        let mut route = route("a", "archive", "/", &[]);
        route.credentials =
            vec![HeaderCredential { header: header.into(), secret: "token".parse().unwrap() }];
        route
    };
    let missing_secret = compile(vec![with_credential("authorization")]).unwrap_err();
    assert!(matches!(missing_secret, CompileError::MissingSecret { .. }));
    for header in ["umberpond-idempotent", "host", "content-length", "connection", "bad name"] {
        let forbidden = compile(vec![with_credential(header)]).unwrap_err();
        assert!(matches!(forbidden, CompileError::ForbiddenHeader { .. }), "{header}");
    }
    let bad_method = compile(vec![route("a", "archive", "/", &["GE T"])]).unwrap_err();
    assert!(matches!(bad_method, CompileError::InvalidMethod { .. }));
}

#[test]
fn routes_of_other_callers_are_left_out() {
    let mut foreign = route("foreign", "billing", "/", &[]);
    foreign.callers = BTreeSet::from(["other".parse().unwrap()]);
    let table = compile(vec![foreign]).unwrap();
    assert!(matches!(table.find("billing", &Method::GET, "/"), Err(NoRoute::UnknownHost)));
}

#[test]
fn credentials_are_never_shown() {
    let secret = "s3cr3t-value";
    let value = CredentialValue::new(secret.as_bytes()).unwrap();
    let mut with_credential = route("a", "archive", "/", &[]);
    with_credential.credentials =
        vec![HeaderCredential { header: "authorization".into(), secret: "token".parse().unwrap() }];
    let opened = BTreeMap::from([("token".parse().unwrap(), value.clone())]);
    let table =
        RoutingTable::compile(Version(1), &snapshot(vec![with_credential]), &opened, &edge()).unwrap();
    assert!(!format!("{value:?} {table:?} {opened:?}").contains(secret));
    let invalid = CredentialValue::new(b"s3cr3t\nvalue").unwrap_err();
    assert!(!format!("{invalid} {invalid:?}").contains("s3cr3t"));
}
