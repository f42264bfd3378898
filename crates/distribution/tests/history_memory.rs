//! Memory for the earlier versions that deltas start from.
//!
//! Many changes of a large configuration came in quick succession. The nodes that read the store kept 64
//! complete versions, which share nothing there, and exceeded the 78 MB of their machines after 46 changes of
//! 2,200 routes. They were killed, and requests in progress got no response.

use std::sync::{Arc, Weak};

use quickcheck::QuickCheck;
use umberpond_config::{Entry, RequestClass, Route, RouteAccess, RoutePolicy, Service, Snapshot};
use umberpond_distribution::{ConfigurationHistory, Transfer, VersionedConfiguration};
use umberpond_model::{Millis, Version};

/// Number of versions: more than a node keeps for deltas.
const VERSIONS: u64 = 100;
/// Number of routes of the configuration.
const ROUTES: u64 = 1_200;

fn route(number: u64, timeout: u64) -> Route {
    Route {
        name: format!("r-{number:06x}").parse().unwrap(),
        service: "status-desk".parse().unwrap(),
        callers: [].into(),
        host: Some("a.example".to_owned()),
        split: Vec::new(),
        policy: RoutePolicy::default(),
        path_prefix: format!("/p{number:05}/"),
        methods: [].into(),
        idempotent: true,
        class: RequestClass::Status,
        timeout: Millis(timeout),
        credentials: Vec::new(),
        access: RouteAccess::default(),
    }
}

fn service() -> Service {
    Service {
        name: "status-desk".parse().unwrap(),
        allowed: Vec::new(),
        slots: 8,
        connections: 460,
        seal_key: None,
        health_path: None,
        cold_rate: None,
    }
}

/// A configuration built from scratch, as a store reader builds it. `timeout` returns the timeout of a route.
fn versioned(version: u64, timeout: impl Fn(u64) -> u64) -> VersionedConfiguration {
    let mut snapshot = Snapshot::default();
    snapshot.services.insert(service().name, Entry::new(service()));
    for number in 0..ROUTES {
        let route = route(number, timeout(number));
        snapshot.routes.insert(route.name.clone(), Entry::new(route));
    }
    VersionedConfiguration::new(Version(version), snapshot)
}

/// Each version changes one route.
fn with_one_change(version: u64) -> VersionedConfiguration {
    versioned(version, |number| if number == version { 1_000 + version } else { 1_000 })
}

#[test]
fn earlier_versions_do_not_stay_in_memory_as_complete_configurations() {
    let mut history = ConfigurationHistory::default();
    let mut offered: Vec<Weak<Snapshot>> = Vec::new();
    for version in 1..=VERSIONS {
        let configuration = with_one_change(version);
        offered.push(Arc::downgrade(&configuration.snapshot));
        assert!(history.offer(configuration));
    }
    let in_memory = offered.iter().filter(|snapshot| snapshot.strong_count() > 0).count();
    assert_eq!(in_memory, 1, "of {VERSIONS} versions only the newest one is needed as a whole");
}

/// Without complete earlier versions, an outdated node must still get deltas.
#[test]
fn outdated_node_gets_a_short_delta_after_many_changes() {
    let mut sender = ConfigurationHistory::default();
    for version in 1..=50 {
        assert!(sender.offer(with_one_change(version)));
    }
    for outdated in [1, 20, 49] {
        let mut receiver = ConfigurationHistory::default();
        let held = with_one_change(outdated);
        let transfer = sender.transfer_for(Some(held.held()));
        assert!(matches!(transfer, Transfer::Delta { .. }), "from version {outdated}");
        assert!(transfer.to_bytes().len() < 4_096, "from version {outdated}");
        assert!(receiver.offer(held));
        assert_eq!(receiver.receive(transfer).unwrap(), Some(with_one_change(50)));
    }
}

/// If each version changes all routes, the names of a few versions are as many as the configuration has entries.
#[test]
fn names_kept_for_deltas_are_no_more_than_the_configuration_has_entries() {
    let mut history = ConfigurationHistory::default();
    for version in 1..=10 {
        assert!(history.offer(versioned(version, |_number| 1_000 + version)));
        let size = history.size();
        assert!(size.names as u64 <= ROUTES + 1, "{size:?} after version {version}");
    }
    assert!(history.size().versions > 0, "the previous version still gets a delta");
}

/// A node holds any of the earlier versions; entries were set, removed and set back since.
#[test]
fn delta_from_any_kept_version_leads_to_the_newest_one() {
    fn property(steps: Vec<Vec<(u8, Option<u8>)>>) -> bool {
        let mut snapshot = Snapshot::default();
        let mut sender = ConfigurationHistory::default();
        let mut held = Vec::new();
        for (version, step) in (1..).zip(&steps) {
            for (number, timeout) in step {
                let route = route(u64::from(number % 8), u64::from(timeout.unwrap_or(0)));
                match timeout {
                    Some(0) => snapshot.limits.head_bytes += 1,
                    Some(_) => drop(snapshot.routes.insert(route.name.clone(), Entry::new(route))),
                    None => drop(snapshot.routes.remove(&route.name)),
                }
            }
            let configuration = VersionedConfiguration::new(Version(version), snapshot.clone());
            held.push(configuration.clone());
            sender.offer(configuration);
        }
        let Some((newest, outdated)) = held.split_last() else { return true };
        outdated.iter().rev().take(sender.size().versions).all(|outdated| {
            let mut receiver = ConfigurationHistory::default();
            receiver.offer(outdated.clone());
            let transfer = sender.transfer_for(Some(outdated.held()));
            matches!(transfer, Transfer::Delta { .. })
                && receiver.receive(transfer).unwrap().as_ref() == Some(newest)
        })
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<Vec<(u8, Option<u8>)>>) -> bool);
}
