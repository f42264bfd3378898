use std::time::{Duration, Instant};

use umberpond_model::{Evacuations, StoreEra, StoreRevision};

use super::HeldEvacuations;

fn evacuations(era: u64, number: u64, zones: &[&str]) -> Evacuations {
    Evacuations {
        revision: StoreRevision::new(StoreEra(era), number),
        zones: zones.iter().map(|zone| zone.parse().unwrap()).collect(),
    }
}

fn zones(held: &HeldEvacuations) -> Vec<String> {
    held.zones().iter().map(ToString::to_string).collect()
}

fn after(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

/// A restored store gives out lower revisions than before.
#[test]
fn order_after_a_restore_is_followed_though_its_revision_is_lower() {
    let start = Instant::now();
    let mut held = HeldEvacuations::default();
    assert!(!held.update(start, &evacuations(1, 40, &[])));
    assert!(held.update(start, &evacuations(2, 12, &["b"])));
    assert_eq!(zones(&held), ["b"]);
    assert!(!held.update(start, &evacuations(1, 41, &[])), "read before the restore, and published late");
    assert_eq!(zones(&held), ["b"]);
}

#[test]
fn order_that_the_restored_store_lacks_stays_in_force_until_it_is_written_again() {
    let start = Instant::now();
    let mut held = HeldEvacuations::default();
    held.update(start, &evacuations(1, 40, &["b"]));
    assert!(!held.update(start, &evacuations(2, 12, &[])));
    assert!(!held.update(after(start, 1), &evacuations(2, 13, &["b"])), "written again");
    assert_eq!(zones(&held), ["b"]);
    assert!(held.update(after(start, 2), &evacuations(2, 14, &[])), "taken back afterwards");
    assert!(!held.is_carrying());
}

/// The operator may have taken it back while the store was away.
#[test]
fn order_that_is_not_written_again_ends() {
    let start = Instant::now();
    let mut held = HeldEvacuations::default();
    held.update(start, &evacuations(1, 40, &["b", "c"]));
    held.update(start, &evacuations(2, 12, &["c"]));
    assert_eq!(zones(&held), ["b", "c"]);
    assert!(held.update(after(start, 5), &evacuations(2, 12, &["c"])));
    assert_eq!(zones(&held), ["c"]);
}

/// The restores of a second drill must not extend an order from before the first one for ever.
#[test]
fn order_from_before_two_restores_ends_after_the_second_one() {
    let start = Instant::now();
    let mut held = HeldEvacuations::default();
    held.update(start, &evacuations(1, 40, &["b"]));
    held.update(start, &evacuations(2, 12, &[]));
    held.update(after(start, 3), &evacuations(3, 11, &[]));
    assert_eq!(zones(&held), ["b"]);
    assert!(held.update(after(start, 8), &evacuations(3, 11, &[])));
    assert_eq!(zones(&held), Vec::<String>::new());
}
