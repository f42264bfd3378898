use bytes::Bytes;
use umberpond_platform::{Revision, WatchEvent};

use super::KnownMachines;

fn change(name: &str, value: Option<&str>) -> WatchEvent {
    let value = value.map(|text| Bytes::from(text.to_owned()));
    WatchEvent { revision: Revision(1), name: name.to_owned(), value }
}

fn staying(machines: &KnownMachines) -> Vec<String> {
    machines.staying().iter().map(|member| member.node.to_string()).collect()
}

const STAYING: &str = r#"{"node":"a","region":"north","zone":"one","control":"127.0.0.1:1","leaving":false}"#;
const LEAVING: &str = r#"{"node":"a","region":"north","zone":"one","control":"127.0.0.1:1","leaving":true}"#;

#[test]
fn changes_of_the_watch_are_taken_without_reading_the_list() {
    let machines = KnownMachines::default();
    assert!(machines.apply(&change("a", Some(STAYING))).is_some());
    assert_eq!(staying(&machines), ["a"]);
    assert!(machines.apply(&change("a", Some(LEAVING))).is_some());
    assert!(staying(&machines).is_empty());
    assert!(machines.apply(&change("a", Some(STAYING))).is_some());
    assert!(machines.apply(&change("a", None)).is_some());
    assert!(staying(&machines).is_empty());
}

#[test]
fn a_change_that_cannot_be_read_asks_for_the_whole_list_and_changes_nothing() {
    let machines = KnownMachines::default();
    assert!(machines.apply(&change("a", Some(STAYING))).is_some());
    assert!(machines.apply(&change("a", Some("no machine"))).is_none());
    assert!(machines.apply(&change("No Name", Some(STAYING))).is_none());
    assert_eq!(staying(&machines), ["a"]);
}
