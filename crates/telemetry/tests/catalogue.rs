//! Guards against duplicate event numbers and names, and against an outdated `docs/EVENTS.md`.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use umberpond_telemetry::{Event, catalogue_page};

#[test]
fn documentation_equals_catalogue() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let documented = fs::read_to_string(path).expect("docs/EVENTS.md can be read");
    assert_eq!(
        documented,
        catalogue_page(),
        "docs/EVENTS.md is outdated; its first lines show how to regenerate it"
    );
}

#[test]
fn numbers_are_in_order_and_names_are_unique() {
    let numbers: Vec<u16> = Event::CATALOGUE.iter().map(|entry| entry.number).collect();
    assert!(numbers.is_sorted_by(|left, right| left < right), "{numbers:?}");
    let names: BTreeSet<&str> = Event::CATALOGUE.iter().map(|entry| entry.slug).collect();
    assert_eq!(names.len(), numbers.len());
    assert!(Event::CATALOGUE.iter().all(|entry| catalogue_page().contains(entry.slug)));
}
