//! Places of hollow nodes.

use std::collections::BTreeSet;

use umberpond_hollow::{HollowError, Places};

const PLACES: Places = Places { regions: 2, zones: 3, services: 4 };

#[test]
fn every_node_has_a_name_and_a_loopback_address_of_its_own() {
    let places: Vec<_> = (0..600).map(|number| PLACES.place(number).unwrap()).collect();
    let names: BTreeSet<_> = places.iter().map(|place| place.node.clone()).collect();
    let addresses: BTreeSet<_> = places.iter().map(|place| place.address).collect();
    assert_eq!((names.len(), addresses.len()), (600, 600));
    assert!(addresses.iter().all(|address| address.ip().is_loopback()));
    let topology = PLACES.topology().unwrap();
    assert!(places.iter().all(|place| topology[&place.locality.region].contains(&place.locality.zone)));
}

#[test]
fn every_service_is_in_every_zone() {
    let pairs: BTreeSet<_> = (0..12)
        .map(|number| PLACES.place(number).unwrap())
        .map(|place| (place.locality.zone.to_string(), place.service.to_string()))
        .collect();
    assert_eq!(pairs.len(), 12);
}

#[test]
fn a_plan_without_zones_is_refused() {
    let places = Places { zones: 0, ..PLACES };
    assert!(matches!(places.place(7), Err(HollowError::NoPlace { number: 7 })));
}
