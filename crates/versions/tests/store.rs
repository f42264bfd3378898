//! The store of held snapshots under random sequences of good, wrong, late and doubled transfers.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Arbitrary, Gen, quickcheck};
use umberpond_config::{Delta, Entry, RequestClass, Route, RoutePolicy, Scope, Service, Snapshot};
use umberpond_model::{
    ContentHash, LocalityRule, Millis, RegionName, RouteName, ServiceName, Version, ZoneName,
};
use umberpond_versions::{ComposedStep, Resize, StepError, VersionStore, Whole};

const SERVICES: u64 = 6;

fn service_name(number: u64) -> ServiceName {
    ServiceName::new(&format!("service-{number}")).unwrap()
}

fn service(number: u64, slots: u32) -> Service {
    let region = RegionName::new("north").unwrap();
    let allowed = vec![LocalityRule { region, zone: None }];
    Service { name: service_name(number), allowed, slots, connections: 1, seal_key: None, health_path: None }
}

/// A route to service `number`, called by the next service.
fn route(number: u64) -> Route {
    Route {
        name: RouteName::new(&format!("route-{number}")).unwrap(),
        service: service_name(number),
        callers: BTreeSet::from([service_name((number + 1) % SERVICES)]),
        path_prefix: format!("/{number}"),
        methods: BTreeSet::new(),
        idempotent: false,
        class: RequestClass::Status,
        host: None,
        split: Vec::new(),
        policy: RoutePolicy::default(),
        timeout: Millis(1_000),
        credentials: Vec::new(),
    }
}

/// Version `version` of a chain in which services and routes come, go and change.
fn snapshot(version: u64) -> Snapshot {
    let zones = BTreeSet::from([ZoneName::new("a").unwrap()]);
    let mut snapshot = Snapshot {
        topology: BTreeMap::from([(RegionName::new("north").unwrap(), zones)]),
        ..Snapshot::default()
    };
    for number in (0..SERVICES).filter(|number| !(version + number).is_multiple_of(4)) {
        let slots = (version / (number + 1)) as u32;
        snapshot.services.insert(service_name(number), Entry::new(service(number, slots)));
        let route = route(number);
        snapshot.routes.insert(route.name.clone(), Entry::new(route));
    }
    snapshot
}

fn leaf_scope() -> Scope {
    Scope::Callers(BTreeSet::from([service_name(2), service_name(3)]))
}

fn whole(version: u64, scope: &Scope) -> Whole {
    let snapshot = snapshot(version).restrict(scope);
    Whole { version: Version(version), hash: snapshot.content_hash(), snapshot }
}

fn step(from: u64, to: u64, scope: &Scope) -> ComposedStep {
    let before = snapshot(from).restrict(scope);
    let after = snapshot(to).restrict(scope);
    let delta = Delta::between(&before, &after);
    ComposedStep { from: Version(from), to: Version(to), delta, hash: after.content_hash() }
}

#[derive(Debug, Clone)]
enum Operation {
    Whole(u64),
    Step { from: u64, length: u64 },
    NextSteps(u64),
    WrongHash,
    NotClosed,
    Committed(u64),
    FloorProof(u64),
    Activate,
    Resize(bool),
}

impl Arbitrary for Operation {
    fn arbitrary(generator: &mut Gen) -> Self {
        let number = u64::arbitrary(generator) % 80;
        match u8::arbitrary(generator) % 12 {
            0 => Self::Whole(number),
            1 => Self::Step { from: number, length: 1 + u64::arbitrary(generator) % 3 },
            2..=4 => Self::NextSteps(1 + number / 2),
            5 => Self::WrongHash,
            6 => Self::NotClosed,
            7..=8 => Self::Committed(number),
            9 => Self::FloorProof(number / 4),
            10 => Self::Activate,
            _ => Self::Resize(bool::arbitrary(generator)),
        }
    }
}

/// What must not change when a transfer is refused.
fn view(store: &VersionStore) -> (Option<Version>, Option<Version>, usize, Option<ContentHash>) {
    let newest = store.held().and_then(|held| store.snapshot_at(held)).map(|held| held.content_hash());
    (store.held(), store.active(), store.waiting_len(), newest)
}

fn transfer(
    store: &mut VersionStore,
    apply: impl FnOnce(&mut VersionStore) -> Result<(), StepError>,
) -> Result<(), StepError> {
    let before = view(store);
    let result = apply(store);
    assert!(result.is_ok() || view(store) == before, "a refused transfer changed the store");
    result
}

fn run(store: &mut VersionStore, operation: Operation) {
    let scope = store.scope().clone();
    let held = store.held().map_or(0, |held| held.0);
    match operation {
        Operation::Whole(version) => {
            let _ = transfer(store, |store| store.on_whole(whole(version, &scope)));
        }
        Operation::Step { from, length } => {
            let result = transfer(store, |store| store.on_composed(&step(from, from + length, &scope)));
            assert!(result.is_err() || from == held);
        }
        Operation::NextSteps(count) => {
            for from in held..held + count {
                let step = step(from, from + 1, &scope);
                let _ = transfer(store, |store| store.on_step(step.to, &step.delta, step.hash));
            }
        }
        Operation::WrongHash => {
            let wrong = ComposedStep { hash: ContentHash::of(b"other"), ..step(held, held + 1, &scope) };
            assert!(transfer(store, |store| store.on_composed(&wrong)).is_err());
        }
        Operation::NotClosed => {
            let mut whole = whole(held + 1, &scope);
            let route = route(99);
            whole.snapshot.routes.insert(route.name.clone(), Entry::new(route));
            whole.hash = whole.snapshot.content_hash();
            assert!(transfer(store, |store| store.on_whole(whole)).is_err());
        }
        Operation::Committed(version) => store.on_committed(Version(version)),
        Operation::FloorProof(version) => store.on_floor_proof(Version(version)),
        Operation::Activate => activate(store),
        Operation::Resize(full) => {
            let active = store.active_snapshot().cloned();
            let resize = store.resize_scope(if full { Scope::Full } else { leaf_scope() });
            assert_eq!(
                store.active_snapshot(),
                active.as_ref(),
                "a change of scope touched what is in force"
            );
            assert!(resize != Resize::NeedsWhole || store.held().is_none());
        }
    }
}

fn activate(store: &mut VersionStore) {
    let before = store.active();
    let scope = store.scope().clone();
    let Some((version, taken)) = store.take_activation() else { return };
    assert!(Some(version) > before, "{version} after {before:?}");
    assert!(version <= store.committed());
    assert!(store.floor().is_some_and(|floor| version >= floor));
    assert_eq!(taken.content_hash(), snapshot(version.0).restrict(&scope).content_hash());
    assert!(taken.check_closed().is_ok());
    assert!(store.take_activation().is_none(), "the same version twice");
}

quickcheck! {
    fn invariants_hold_under_any_sequence(operations: Vec<Operation>, full: bool) -> bool {
        let mut store = VersionStore::new(if full { Scope::Full } else { leaf_scope() });
        for operation in operations {
            run(&mut store, operation);
            assert!(store.waiting_len() <= 32);
        }
        true
    }

    fn a_relay_serves_any_child_with_one_delta(first: u8, length: u8, behind: u8) -> bool {
        let first = u64::from(first % 50);
        let last = first + 1 + u64::from(length % 60);
        let mut relay = relay(first, last);
        let from = (last - 1).saturating_sub(u64::from(behind % 30)).max(first);
        let mut child = VersionStore::new(leaf_scope());
        child.on_whole(whole(from, &leaf_scope())).unwrap();
        let step = relay.step_from(Version(from), &leaf_scope()).unwrap();
        child.on_composed(&step).unwrap();
        let view = relay.view(&leaf_scope(), Version(last)).unwrap();
        assert_eq!(view.hash, whole(last, &leaf_scope()).hash);
        assert_eq!(*view.snapshot, whole(last, &leaf_scope()).snapshot);
        child.held() == Some(Version(last)) && relay.step_from(Version(last), &leaf_scope()).is_none()
    }

    /// Looks at one scope now and then, so that its view is carried over untouched steps and made anew after others.
    fn a_kept_view_is_the_restriction_at_every_look(looks: Vec<bool>) -> bool {
        let scope = Scope::Callers(BTreeSet::from([service_name(0)]));
        let mut relay = relay(1, 2);
        looks.into_iter().zip(2..).all(|(look, from)| {
            relay.on_composed(&step(from, from + 1, &Scope::Full)).unwrap();
            let expected = whole(from + 1, &scope);
            let view = look.then(|| relay.view(&scope, Version(from + 1)).unwrap());
            view.is_none_or(|view| view.hash == expected.hash && *view.snapshot == expected.snapshot)
        })
    }
}

fn relay(first: u64, last: u64) -> VersionStore {
    let mut relay = VersionStore::new(Scope::Full);
    relay.on_whole(whole(first, &Scope::Full)).unwrap();
    for from in first..last {
        relay.on_composed(&step(from, from + 1, &Scope::Full)).unwrap();
    }
    relay
}

#[test]
fn refusals_say_why() {
    let mut store = relay(1, 3);
    let full = Scope::Full;
    assert_eq!(
        store.on_composed(&step(4, 5, &full)),
        Err(StepError::Gap { held: Some(Version(3)), from: Version(4) })
    );
    assert_eq!(
        store.on_composed(&step(1, 2, &full)),
        Err(StepError::Stale { held: Version(3), to: Version(2) })
    );
    let wrong = ComposedStep { hash: ContentHash::of(b"other"), ..step(3, 4, &full) };
    assert!(matches!(store.on_composed(&wrong), Err(StepError::HashMismatch { .. })));
}

#[test]
fn nothing_is_in_force_without_a_floor_proof() {
    let mut store = relay(1, 5);
    store.on_committed(Version(4));
    assert!(store.take_activation().is_none());
    store.on_floor_proof(Version(5));
    assert!(store.take_activation().is_none());
    store.on_committed(Version(5));
    assert_eq!(store.take_activation().map(|(version, _)| version), Some(Version(5)));
    assert!(store.is_ready());
}

/// The commit index trails the newest version by more than the window holds, and still versions come into force.
#[test]
fn a_trailing_commit_index_still_activates() {
    const LAG: u64 = 200;
    let mut store = relay(1, LAG);
    store.on_floor_proof(Version(1));
    let mut activations = 0;
    for newest in LAG..2 * LAG {
        store.on_composed(&step(newest, newest + 1, &Scope::Full)).unwrap();
        store.on_committed(Version(newest - LAG + 1));
        activations += usize::from(store.take_activation().is_some());
    }
    assert!(activations >= 5, "{activations} activations");
    store.on_committed(Version(2 * LAG));
    assert_eq!(store.take_activation().map(|(version, _)| version), Some(Version(2 * LAG)));
}

#[test]
fn a_leaf_that_becomes_a_relay_takes_a_whole_transfer_and_comes_back_without_one() {
    let mut store = VersionStore::new(leaf_scope());
    store.on_whole(whole(3, &leaf_scope())).unwrap();
    store.on_committed(Version(9));
    store.on_floor_proof(Version(3));
    store.take_activation().unwrap();
    assert_eq!(store.resize_scope(Scope::Full), Resize::NeedsWhole);
    assert!(store.on_whole(whole(2, &Scope::Full)).is_err());
    store.on_whole(whole(3, &Scope::Full)).unwrap();
    assert!(store.take_activation().is_none());
    assert_eq!(store.resize_scope(leaf_scope()), Resize::Restricted);
    store.on_composed(&step(3, 4, &leaf_scope())).unwrap();
    assert_eq!(store.take_activation().map(|(version, _)| version), Some(Version(4)));
}
