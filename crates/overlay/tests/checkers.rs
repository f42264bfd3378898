//! Each checker says so when a promise is broken.

mod support;

use std::collections::BTreeMap;

use support::checks::{Activation, History, Violation, never_back, sound, transfers_bounded};
use support::world::node_name;
use umberpond_model::{Millis, Timestamp, Version};

fn activation(time: u64, incarnation: u64, version: u64, dangling: usize) -> Activation {
    let node = node_name(0, 0);
    Activation { time: Timestamp(time), node, incarnation, version: Version(version), dangling }
}

#[test]
fn a_step_back_is_found_also_across_a_restart() {
    let activations = vec![activation(1, 1, 4, 0), activation(2, 2, 5, 0)];
    let mut history = History { activations, ..History::default() };
    assert_eq!(never_back(&history), []);
    history.activations.push(activation(3, 3, 3, 0));
    let expected = Violation::WentBack { node: node_name(0, 0), from: Version(5), to: Version(3) };
    assert_eq!(never_back(&history), [expected]);
}

#[test]
fn a_dangling_route_and_a_version_that_nobody_accepted_are_found() {
    let mut history = History::default();
    history.accepted.insert(Version(1), Timestamp(0));
    history.activations.push(activation(1, 1, 1, 0));
    assert_eq!(sound(&history), []);
    history.activations.push(activation(2, 1, 1, 2));
    history.activations.push(activation(3, 1, 2, 0));
    let node = node_name(0, 0);
    let dangling = Violation::Dangling { node: node.clone(), version: Version(1) };
    assert_eq!(sound(&history), [dangling, Violation::NeverAccepted { node, version: Version(2) }]);
}

#[test]
fn too_many_transfers_at_once_are_found() {
    let times: Vec<Timestamp> = [0, 10, 20, 100].map(Timestamp).to_vec();
    let transfers = BTreeMap::from([(node_name(0, 0), times)]);
    assert_eq!(transfers_bounded(&transfers, Millis(50), 3), []);
    let expected = Violation::TooManyTransfers { node: node_name(0, 0), at: Timestamp(0), count: 3 };
    assert_eq!(transfers_bounded(&transfers, Millis(50), 2), [expected]);
}
