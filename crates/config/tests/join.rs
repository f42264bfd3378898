//! Tests of the checks on joined bundles.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use support::{bundle, in_force, name, route, secret, with_credential, without_topology};
use umberpond_config::{Bundle, DecodeError, Fault, FaultKind, SealKey, Snapshot, join};
use umberpond_model::{BundleName, LocalityRule};

fn faults(bundles: Vec<(&str, Bundle)>) -> Vec<Fault> {
    join(&in_force(bundles)).expect_err("has faults").faults
}

/// Returns the text of the only fault.
fn only(bundles: Vec<(&str, Bundle)>) -> String {
    match &faults(bundles)[..] {
        [fault] => fault.to_string(),
        other => panic!("expected one fault, found {other:#?}"),
    }
}

fn base() -> Bundle {
    bundle(&["archive", "web"], vec![], vec![])
}

fn pages() -> Bundle {
    let route = with_credential(route("pages", "archive", &["web"], "/pages"), "token");
    without_topology(&[], vec![route], vec![secret("token", &["web"])])
}

#[test]
fn bundles_may_refer_to_each_other() {
    let snapshot = join(&in_force(vec![("base", base()), ("pages", pages())])).expect("closed");
    assert_eq!(snapshot.check_closed_for(&umberpond_config::Scope::Full), Ok(()));
    assert_eq!((snapshot.services.len(), snapshot.routes.len(), snapshot.secrets.len()), (2, 1, 1));
    assert_eq!(join(&BTreeMap::new()), Ok(Snapshot::default()));
}

#[test]
fn a_duplicate_definition_reports_both_bundles_with_file_and_line() {
    let text = only(vec![("base", base()), ("other", without_topology(&["web"], vec![], vec![]))]);
    assert_eq!(
        text,
        "bundle `other`, all.toml:100: service `web`: `name`: is defined in bundle `base` as well, at all.toml:101"
    );
}

#[test]
fn a_withdrawal_reports_every_dangling_reference() {
    let bundles = vec![
        ("base", bundle(&["web"], vec![], vec![])),
        ("pages", pages()),
        ("extra", {
            let routes = vec![route("hints", "archive", &["web"], "/hints")];
            without_topology(&[], routes, vec![])
        }),
    ];
    let found: Vec<String> = faults(bundles).iter().map(ToString::to_string).collect();
    let expected = [
        "bundle `extra`, all.toml:200: route `hints`: `service`: service `archive` does not exist",
        "bundle `pages`, all.toml:200: route `pages`: `service`: service `archive` does not exist",
    ];
    assert_eq!(found, expected);
}

#[test]
fn each_dangling_reference_is_reported() {
    let cases: Vec<(&str, Bundle)> = vec![
        (
            "service `ghost` does not exist",
            bundle(&["web"], vec![route("r", "ghost", &["web"], "/")], vec![]),
        ),
        (
            "service `ghost` does not exist",
            bundle(&["web"], vec![route("r", "web", &["ghost"], "/")], vec![]),
        ),
        ("service `ghost` does not exist", bundle(&["web"], vec![], vec![secret("token", &["ghost"])])),
        (
            "secret `token` does not exist",
            bundle(&["web"], vec![with_credential(route("r", "web", &["web"], "/"), "token")], vec![]),
        ),
        (
            "caller `desk` is not among the readers of secret `token`",
            bundle(
                &["web", "desk"],
                vec![with_credential(route("r", "web", &["web", "desk"], "/"), "token")],
                vec![secret("token", &["web"])],
            ),
        ),
    ];
    for (expected, bundle) in cases {
        let text = only(vec![("all", bundle)]);
        assert!(text.ends_with(expected), "{text}");
    }
}

fn with_web(change: impl Fn(&mut umberpond_config::Service)) -> Bundle {
    let mut bundle = bundle(&["web"], vec![], vec![secret("token", &["web"])]);
    change(&mut bundle.services.get_mut("web").expect("is there").value);
    bundle
}

#[test]
fn localities_and_keys_of_services_are_checked() {
    let rule = |region: &str, zone: &str| LocalityRule { region: name(region), zone: Some(name(zone)) };
    let unknown_zone = with_web(|web| web.allowed = vec![rule("north", "z")]);
    assert!(only(vec![("all", unknown_zone)]).ends_with("zone `z` does not exist in region `north`"));
    let unknown_region = with_web(|web| web.allowed = vec![rule("south", "a")]);
    assert!(only(vec![("all", unknown_region)]).ends_with("region `south` does not exist"));
    let no_key = with_web(|web| web.seal_key = None);
    assert!(only(vec![("all", no_key)]).ends_with("reader `web` has no seal key"));
    let changed_key = with_web(|web| web.seal_key = Some(SealKey([8; 32])));
    let text = only(vec![("all", changed_key)]);
    assert!(text.ends_with("not sealed to the current key of reader `web`"), "{text}");
}

#[test]
fn entry_checks_are_repeated_when_bundles_are_joined() {
    let mut bad = route("r", "web", &[], "/a/../b");
    bad.methods.insert("get".to_owned());
    bad.timeout.0 = 0;
    let mut bad = with_credential(bad, "token");
    bad.credentials[0].header = "umberpond-service".to_owned();
    let mut bundle = bundle(&["web"], vec![bad], vec![secret("token", &["web"])]);
    bundle.services.get_mut("web").expect("is there").value.slots = 0;
    let keys: Vec<String> = faults(vec![("all", bundle)]).into_iter().filter_map(|fault| fault.key).collect();
    assert_eq!(keys, ["slots", "callers", "credentials", "methods", "path_prefix", "timeout_millis"]);
}

#[test]
fn path_prefixes_with_several_spellings_are_rejected() {
    for prefix in ["", "a", "/a/", "//", "/a//b", "/./a", "/a?b", "/a#b", "/%61", "/ä", "/a b"] {
        let text = only(vec![("all", bundle(&["web"], vec![route("r", "web", &["web"], prefix)], vec![]))]);
        assert!(text.contains("the path prefix"), "{prefix}: {text}");
    }
    for prefix in ["/", "/a", "/a/b.c/d~e", "/a:b"] {
        let whole =
            in_force(vec![("all", bundle(&["web"], vec![route("r", "web", &["web"], prefix)], vec![]))]);
        assert!(join(&whole).is_ok(), "{prefix}");
    }
}

#[test]
fn routes_are_ambiguous_only_for_one_caller_service_prefix_and_method() {
    let two = |change: &dyn Fn(&mut umberpond_config::Route)| {
        let mut first = route("one", "archive", &["web", "desk"], "/pages");
        first.methods = ["GET".to_owned(), "HEAD".to_owned()].into();
        let mut second = first.clone();
        second.name = name("two");
        change(&mut second);
        let whole: BTreeMap<BundleName, Arc<Bundle>> =
            in_force(vec![("all", bundle(&["archive", "web", "desk"], vec![first, second], vec![]))]);
        join(&whole)
    };
    let report = two(&|route| route.callers = [name("web")].into()).expect_err("ambiguous");
    let [Fault { kind: FaultKind::AmbiguousRoute { caller, other, origin }, .. }] = &report.faults[..] else {
        panic!("{report:?}");
    };
    assert_eq!((caller.as_str(), other.as_str(), origin.line), ("web", "one", 200));
    assert!(two(&|route| route.methods.clear()).is_err(), "no methods means all");

    assert!(two(&|route| route.callers = [name("archive")].into()).is_ok());
    assert!(two(&|route| route.service = name("web")).is_ok());
    assert!(two(&|route| route.path_prefix.push_str("/new")).is_ok());
    assert!(two(&|route| route.methods = ["POST".to_owned()].into()).is_ok());
}

#[test]
fn invalid_names_in_submitted_bytes_are_rejected() {
    let whole = bundle(&["archive"], vec![route("pages", "archive", &["visitor"], "/")], vec![]);
    assert_eq!(Bundle::from_bytes(&whole.to_bytes()).as_ref(), Ok(&whole));
    for written in ["north", "archive", "pages", "visitor"] {
        let mut bytes = whole.to_bytes();
        let start =
            bytes.windows(written.len()).position(|part| part == written.as_bytes()).expect("is there");
        bytes[start] = b'\n';
        assert_eq!(Bundle::from_bytes(&bytes), Err(DecodeError::InvalidName), "{written}");
    }
}
