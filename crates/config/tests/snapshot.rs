//! Tests of snapshots, deltas and restriction.

mod support;

use quickcheck::quickcheck;
use support::{bundle, in_force, name, random_scope, random_snapshot, route, scope, secret, with_credential};
use umberpond_config::{Bundle, ClosureError, DecodeError, Delta, Snapshot, join};

quickcheck! {
    fn applying_a_delta_results_in_the_same_content_and_hash(before: u64, after: u64) -> bool {
        let (before, after) = (random_snapshot(before), random_snapshot(after));
        let reached = Delta::between(&before, &after).apply(&before);
        reached == after && reached.content_hash() == after.content_hash()
    }

    fn a_delta_within_a_scope_results_in_the_restriction(before: u64, after: u64, seed: u64) -> bool {
        let scope = random_scope(seed);
        let before = random_snapshot(before).restrict(&scope);
        let after = random_snapshot(after).restrict(&scope);
        let reached = Delta::between(&before, &after).apply(&before);
        reached == after && reached.content_hash() == after.content_hash()
    }

    fn a_restriction_is_closed_and_stable(snapshot: u64, seed: u64) -> bool {
        let scope = random_scope(seed);
        let part = random_snapshot(snapshot).restrict(&scope);
        part.check_closed_for(&scope).is_ok() && part.restrict(&scope) == part
    }

    fn different_content_has_a_different_hash(one: u64, other: u64) -> bool {
        let (one, other) = (random_snapshot(one), random_snapshot(other));
        (one == other) == (one.content_hash() == other.content_hash())
    }

    fn snapshots_and_deltas_round_trip_through_their_encoding(before: u64, after: u64) -> bool {
        let (before, after) = (random_snapshot(before), random_snapshot(after));
        let delta = Delta::between(&before, &after);
        Snapshot::from_bytes(&after.to_bytes()) == Ok(after) && Delta::from_bytes(&delta.to_bytes()) == Ok(delta)
    }

    fn random_bytes_never_cause_a_panic(bytes: Vec<u8>) -> bool {
        let framed: Vec<u8> = [1].into_iter().chain(bytes.iter().copied()).collect();
        let _ = (Snapshot::from_bytes(&framed), Delta::from_bytes(&framed), Bundle::from_bytes(&framed));
        match bytes.first() {
            None => Snapshot::from_bytes(&bytes) == Err(DecodeError::Empty),
            Some(1) => true,
            Some(&found) => Snapshot::from_bytes(&bytes) == Err(DecodeError::UnknownSchema { found }),
        }
    }
}

fn two_callers() -> Snapshot {
    let routes = vec![
        with_credential(route("pages", "archive", &["web", "desk"], "/pages"), "token"),
        route("bills", "billing", &["desk"], "/bills"),
    ];
    let secrets = vec![secret("token", &["web", "desk"]), secret("other", &["archive"])];
    let bundle = bundle(&["archive", "billing", "web", "desk"], routes, secrets);
    join(&in_force(vec![("all", bundle)])).expect("closed")
}

#[test]
fn a_scope_holds_only_what_its_caller_needs_and_only_its_own_sealed_values() {
    let part = two_callers().restrict(&scope(&["web"]));
    let services: Vec<&str> = part.services.keys().map(|name| name.as_str()).collect();
    let routes: Vec<&str> = part.routes.keys().map(|name| name.as_str()).collect();
    let secrets: Vec<&str> = part.secrets.keys().map(|name| name.as_str()).collect();
    assert_eq!(services, ["archive", "web"]);
    assert_eq!(routes, ["pages"]);
    assert_eq!(secrets, ["token"]);
    let readers: Vec<&str> = part.secrets["token"].readers.keys().map(|name| name.as_str()).collect();
    assert_eq!(readers, ["web"]);
}

#[test]
fn each_kind_of_dangling_reference_is_reported() {
    let whole = two_callers();
    let mut without_service = whole.clone();
    without_service.services.remove("archive");
    assert!(matches!(without_service.check_closed(), Err(ClosureError::RouteWithoutService { .. })));

    let mut without_secret = whole.clone();
    without_secret.secrets.remove("token");
    assert!(matches!(without_secret.check_closed(), Err(ClosureError::RouteWithoutSecret { .. })));

    let mut without_region = whole.clone();
    without_region.topology.clear();
    assert!(matches!(without_region.check_closed(), Err(ClosureError::UnknownLocality { .. })));

    let mut under_another_name = whole.clone();
    let archive = whole.services["archive"].clone();
    under_another_name.services.insert(name("billing"), archive);
    assert!(matches!(under_another_name.check_closed(), Err(ClosureError::NameMismatch { .. })));

    let sealed_to_desk = whole.restrict(&scope(&["desk"]));
    assert_eq!(sealed_to_desk.check_closed(), Ok(()));
    let error = sealed_to_desk.check_closed_for(&scope(&["web"]));
    assert!(matches!(error, Err(ClosureError::SecretNotSealedToCaller { .. })));
}

#[test]
fn the_hash_covers_the_name_of_an_entry_and_the_topology() {
    let whole = two_callers();
    let mut under_another_name = whole.clone();
    let archive = under_another_name.services.remove("archive").expect("is there");
    under_another_name.services.insert(name("archive-2"), archive);
    assert_ne!(under_another_name.content_hash(), whole.content_hash());

    let mut with_a_zone = whole.clone();
    with_a_zone.topology.get_mut("north").expect("is there").insert(name("c"));
    assert_ne!(with_a_zone.content_hash(), whole.content_hash());
}
