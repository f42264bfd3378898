//! Tests of plans: changes, affected nodes and warnings about new localities.

mod support;

use quickcheck::quickcheck;
use support::{bundle, in_force, name, random_snapshot, route, scope, secret, with_credential};
use umberpond_config::{Bundle, Delta, Plan, Snapshot, join};
use umberpond_model::LocalityRule;

fn shop(change: impl Fn(&mut Bundle)) -> Snapshot {
    let routes = vec![
        with_credential(route("pages", "archive", &["web"], "/pages"), "token"),
        route("checks", "billing", &["archive"], "/checks"),
    ];
    let mut bundle =
        bundle(&["archive", "billing", "solver", "web"], routes, vec![secret("token", &["web"])]);
    allow(&mut bundle, "billing", Some("a"));
    allow(&mut bundle, "solver", Some("a"));
    change(&mut bundle);
    join(&in_force(vec![("all", bundle)])).expect("closed")
}

fn allow(bundle: &mut Bundle, service: &str, zone: Option<&str>) {
    let rule = LocalityRule { region: name("north"), zone: zone.map(name) };
    bundle.services.get_mut(service).expect("is there").value.allowed = vec![rule];
}

fn warnings(before: &Snapshot, after: &Snapshot) -> Vec<String> {
    let text = Plan::between(before, after).to_string();
    text.lines().filter(|line| line.starts_with("WARNING")).map(str::to_owned).collect()
}

#[test]
fn a_new_locality_of_existing_traffic_is_a_warning() {
    let before = shop(|_| {});
    let wider = shop(|bundle| allow(bundle, "billing", None));
    let expected = "WARNING: traffic to service billing would be allowed in a new locality: north/b";
    assert_eq!(warnings(&before, &wider), [expected]);
    assert_eq!(warnings(&wider, &before), [""; 0]);

    let new_zone = shop(|bundle| {
        bundle.topology.get_mut("north").expect("is there").value.insert(name("c"));
    });
    let widened: Vec<String> = ["archive", "web"]
        .iter()
        .map(|service| {
            format!("WARNING: traffic to service {service} would be allowed in a new locality: north/c")
        })
        .collect();
    assert_eq!(warnings(&before, &new_zone), widened);

    let other_service = shop(|bundle| {
        bundle.routes.get_mut("checks").expect("is there").value.service = name("archive");
    });
    let expected = "WARNING: traffic of route checks would be allowed in a new locality: north/b";
    assert_eq!(warnings(&before, &other_service), [expected]);
}

#[test]
fn a_plan_lists_all_changes_and_only_affected_nodes() {
    let before = shop(|_| {});
    let after = shop(|bundle| {
        bundle.routes.get_mut("checks").expect("is there").value.timeout.0 += 1;
        bundle.services.remove("solver");
    });
    let plan = Plan::between(&before, &after);
    let bytes_for = |service: &str| {
        let scope = scope(&[service]);
        Delta::between(&before.restrict(&scope), &after.restrict(&scope)).to_bytes().len()
    };
    let expected = format!(
        "- service solver\n~ route checks\nnodes of service archive: {} bytes each\n\
         nodes of service solver: {} bytes each\nrelays and readers: {} bytes each\n",
        bytes_for("archive"),
        bytes_for("solver"),
        Delta::between(&before, &after).to_bytes().len(),
    );
    assert_eq!(plan.to_string(), expected);
    let json = serde_json::to_value(&plan).expect("serializes");
    assert_eq!(json["routes"]["changed"], serde_json::json!(["checks"]));
    assert_eq!(json["scopes"][0]["service"], "archive");
}

quickcheck! {
    fn a_plan_is_empty_exactly_when_nothing_changes(before: u64, after: u64) -> bool {
        let (before, after) = (random_snapshot(before), random_snapshot(after));
        Plan::between(&before, &before).is_empty()
            && Plan::between(&before, &after).is_empty() == (before == after)
    }

    fn a_service_that_a_plan_omits_receives_no_delta(before: u64, after: u64) -> bool {
        let (before, after) = (random_snapshot(before), random_snapshot(after));
        let plan = Plan::between(&before, &after);
        ["archive", "billing", "solver", "web", "desk", "records"].iter().all(|service| {
            let scope = scope(&[service]);
            let is_same = before.restrict(&scope) == after.restrict(&scope);
            is_same != plan.scopes.iter().any(|affected| affected.service.as_str() == *service)
        })
    }
}
