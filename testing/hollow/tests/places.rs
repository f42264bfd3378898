//! Places and seeds of hollow nodes.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use umberpond_hollow::{FleetPlan, HollowError, Places, Seed};

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

#[test]
fn seeds_are_mostly_of_the_own_zone_and_turn_with_the_number() {
    let control = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let seeds = (0..15).map(|number| Seed { zone: usize::from(number % 3), control: control(number + 1) });
    let plan = FleetPlan {
        first: 15,
        count: 30,
        places: PLACES,
        platform: control(99),
        seeds: seeds.collect(),
        start_millis: 0,
    };
    for number in 15..45 {
        let own = plan.seeds_of(number);
        let near = own.iter().filter(|seed| usize::from(seed.port() - 1) % 3 == number % 3).count();
        assert!(near >= 3, "{number}: {own:?}");
    }
    assert_ne!(plan.seeds_of(15), plan.seeds_of(18));
    assert_eq!(FleetPlan { seeds: Vec::new(), ..plan }.seeds_of(15), Vec::new());
}
