//! Compares incrementally maintained state with the same state computed from scratch.

mod support;

use std::collections::BTreeSet;

use quickcheck::quickcheck;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{name, random_scope, random_snapshot, route, scope, secret, service, with_credential};
use umberpond_config::{ChangedScopes, Delta, RequestLimits, Scope, Snapshot};
use umberpond_model::ServiceName;

const SERVICES: [&str; 6] = ["archive", "billing", "solver", "web", "desk", "records"];

fn pick<'a>(rng: &mut impl Rng, names: &[&'a str]) -> &'a str {
    names[rng.random_range(0..names.len())]
}

/// A delta from `before` that may result in dangling references, wrong names and secrets that a caller can't
/// open.
fn random_delta(rng: &mut impl Rng, before: &Snapshot) -> Delta {
    let mut delta = match rng.random_range(0..3) {
        0 => Delta::between(before, &random_snapshot(rng.random())),
        _ => Delta::default(),
    };
    for _ in 0..rng.random_range(0..3) {
        change(rng, &mut delta);
    }
    delta
}

fn change(rng: &mut impl Rng, delta: &mut Delta) {
    let one = pick(rng, &SERVICES);
    let other = pick(rng, &SERVICES);
    let route_name = format!("route-{}", rng.random_range(0..12));
    let secret_name = format!("key-{}", rng.random_range(0..3));
    let plain = route(&route_name, one, &[other], "/changed");
    match rng.random_range(0..11) {
        0 => drop(delta.services.insert(name(one), None)),
        1 => drop(delta.services.insert(name(one), Some(service(one)))),
        2 => drop(delta.services.insert(name(one), Some(service(other)))),
        3 => drop(delta.routes.insert(name(&route_name), None)),
        4 => drop(delta.routes.insert(name(&route_name), Some(plain))),
        5 => drop(delta.routes.insert(name(&route_name), Some(with_credential(plain, &secret_name)))),
        6 => drop(delta.secrets.insert(name(&secret_name), None)),
        7 => drop(delta.secrets.insert(name(&secret_name), Some(secret(&secret_name, &SERVICES)))),
        8 => drop(delta.secrets.insert(name(&secret_name), Some(secret(&secret_name, &[one])))),
        9 => delta.limits = Some(RequestLimits { head_bytes: rng.random(), ..RequestLimits::default() }),
        _ => delta.topology = Some([(name(pick(rng, &["north", "south"])), BTreeSet::new())].into()),
    }
}

/// Rebuilds the same content in the opposite order.
fn from_scratch(snapshot: &Snapshot) -> Snapshot {
    let services: Vec<_> =
        snapshot.services.iter().map(|(name, entry)| (name.clone(), entry.clone())).collect();
    let routes: Vec<_> = snapshot.routes.iter().map(|(name, entry)| (name.clone(), entry.clone())).collect();
    let secrets: Vec<_> =
        snapshot.secrets.iter().map(|(name, entry)| (name.clone(), entry.clone())).collect();
    Snapshot {
        topology: snapshot.topology.clone(),
        limits: snapshot.limits,
        services: services.into_iter().rev().collect(),
        routes: routes.into_iter().rev().collect(),
        secrets: secrets.into_iter().rev().collect(),
        tenants: snapshot.tenants.clone(),
    }
}

/// Checks a restriction against its definition, without an index.
fn restriction_holds(whole: &Snapshot, callers: &BTreeSet<ServiceName>, part: &Snapshot) -> bool {
    let called = whole.routes.iter().filter(|(_, route)| !route.callers.is_disjoint(callers));
    let routes: Vec<_> = called.collect();
    let services = routes.iter().map(|(_, route)| &route.service).chain(callers);
    let services: BTreeSet<_> = services.filter(|name| whole.services.contains_key(*name)).collect();
    let used = routes.iter().flat_map(|(_, route)| &route.credentials).map(|used| &used.secret);
    let secrets: BTreeSet<_> = used.filter(|name| whole.secrets.contains_key(*name)).collect();
    part.routes.iter().eq(routes) && part.services.keys().eq(services) && part.secrets.keys().eq(secrets)
}

fn callers_of(scope: &Scope) -> &BTreeSet<ServiceName> {
    match scope {
        Scope::Callers(callers) => callers,
        Scope::Full => unreachable!("random scopes have callers"),
    }
}

/// Applies up to 20 random deltas, closed or not, and checks each step with `holds`.
fn every_step(seed: u64, holds: impl Fn(&Snapshot, &Delta, &Snapshot) -> bool) -> bool {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut before = random_snapshot(seed);
    (0..20).all(|_| {
        let delta = random_delta(&mut rng, &before);
        let after = delta.apply(&before);
        let holds = holds(&before, &delta, &after);
        before = after;
        holds
    })
}

quickcheck! {
    fn the_incremental_hash_matches_the_recomputed_hash(seed: u64) -> bool {
        every_step(seed, |_, _, after| {
            let scratch = from_scratch(after);
            scratch == *after && scratch.content_hash() == after.content_hash()
        })
    }

    fn shared_structure_never_changes_a_delta(seed: u64) -> bool {
        every_step(seed, |before, _, after| {
            let shared = Delta::between(before, after);
            shared == Delta::between(&from_scratch(before), &from_scratch(after)) && shared.apply(before) == *after
        })
    }

    fn a_restriction_matches_its_definition(seed: u64, scope: u64) -> bool {
        let scope = random_scope(scope);
        every_step(seed, |_, _, after| restriction_holds(after, callers_of(&scope), &after.restrict(&scope)))
    }

    fn a_scope_outside_the_changed_scopes_stays_equal(seed: u64, scope: u64) -> bool {
        let scope = random_scope(scope);
        every_step(seed, |before, delta, after| {
            let is_touched = ChangedScopes::of(delta, before, after).contains(&scope);
            is_touched || before.restrict(&scope) == after.restrict(&scope)
        })
    }

    fn the_incremental_check_agrees_with_the_full_check(seed: u64, scope: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let scopes = [Scope::Full, random_scope(scope)];
        scopes.iter().all(|scope| {
            let base = random_snapshot(seed).restrict(scope);
            (0..20).all(|_| {
                let delta = random_delta(&mut rng, &base);
                let after = delta.apply(&base);
                after.check_delta(&delta, scope).is_ok() == after.check_closed_for(scope).is_ok()
            })
        })
    }
}

#[test]
fn random_deltas_cover_both_check_results_and_both_kinds_of_scope() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut closed, mut touched) = (0, 0);
    for seed in 0..200 {
        let before = random_snapshot(seed);
        let delta = random_delta(&mut rng, &before);
        let after = delta.apply(&before);
        closed += usize::from(after.check_closed_for(&Scope::Full).is_ok());
        touched += usize::from(ChangedScopes::of(&delta, &before, &after).contains(&scope(&["web"])));
    }
    assert!((20..180).contains(&closed), "{closed} of 200 closed");
    assert!((20..180).contains(&touched), "{touched} of 200 touch the scope");
}
