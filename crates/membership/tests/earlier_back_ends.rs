//! What other nodes remember of the back end of a node that has restarted.

mod support;

use support::{Cluster, back_end};
use umberpond_membership::BackEndState;

/// A cluster of `count` nodes in which node 1 has published `instance` in these states and has restarted, `restarts`
/// times.
fn restarted(count: usize, instance: &str, states: &[BackEndState], restarts: usize) -> Cluster {
    let mut cluster = Cluster::joined_in_zones(31, count, 2);
    cluster.run_millis(2_000);
    for state in states {
        cluster
            .update_node(1, |membership, now| membership.set_back_end(now, Some(back_end(instance, *state))));
        cluster.run_millis(300);
    }
    for _ in 0..restarts {
        cluster.kill(1);
        cluster.run_millis(500);
        cluster.start(1);
        cluster.add_directory_entries(1, 0..count);
        cluster.run_millis(1_000);
    }
    cluster
}

/// Nodes that leave the back end of node 1 out, because an earlier process of it has published its departure.
fn excluding(cluster: &Cluster) -> usize {
    let others = cluster.numbers().into_iter().filter(|number| *number != 1);
    let excluding = others.filter(|number| {
        let record = cluster.view(*number, 1).unwrap().record;
        cluster.nodes[number].has_departed_before(&record)
    });
    excluding.count()
}

/// The acknowledgement of a departure was known only to the process that had given it.
#[test]
fn restarted_process_learns_from_others_what_its_node_has_published() {
    for count in [3, 40] {
        for restarts in [1, 3] {
            for states in [&[BackEndState::Ready][..], &[BackEndState::Ready, BackEndState::Draining]] {
                let mut cluster = restarted(count, "a@100", states, restarts);
                let remembered = cluster.nodes.get_mut(&1).unwrap().take_earlier_back_ends();
                let last = states.last().copied();
                assert_eq!(remembered.last().map(|record| record.state), last, "{count} nodes, {restarts}");
                assert!(remembered.iter().all(|record| record.instance == "a@100"));
            }
        }
    }
}

/// The restarted node opens the back end by mistake, and so do its later processes.
#[test]
fn other_nodes_leave_out_a_departed_back_end_that_is_published_again() {
    for (instance, is_left_out) in [("a", true), ("a@100", true), ("a@200", false), ("b@100", false)] {
        let states = [BackEndState::Ready, BackEndState::Draining];
        let mut cluster = restarted(40, "a@100", &states, 1);
        for _ in 0..2 {
            cluster.nodes.get_mut(&1).unwrap().take_earlier_back_ends();
            cluster.update_node(1, |membership, now| {
                membership.set_back_end(now, Some(back_end(instance, BackEndState::Ready)))
            });
            cluster.run_millis(2_000);
            assert_eq!(excluding(&cluster), if is_left_out { 39 } else { 0 }, "{instance}");
            let remembered = cluster.nodes.get_mut(&1).unwrap().take_earlier_back_ends();
            assert_eq!(!remembered.is_empty(), is_left_out, "the node itself is told, {instance}");
            cluster.kill(1);
            cluster.run_millis(300);
            cluster.start(1);
            cluster.add_directory_entries(1, 0..40);
            cluster.run_millis(1_000);
        }
    }
}

#[test]
fn departure_is_held_by_other_nodes_before_it_is_acknowledged() {
    let mut cluster = Cluster::joined(33, 5);
    cluster.run_millis(1_000);
    for other in [0, 2, 3, 4] {
        cluster.blocked_links.insert((1, other));
    }
    cluster.update_node(1, |membership, now| {
        membership.set_back_end(now, Some(back_end("a", BackEndState::Draining)))
    });
    let order = cluster.nodes[&1].own().order();
    cluster.run_millis(100);
    assert!(!cluster.nodes[&1].is_held_elsewhere(order));
    cluster.blocked_links.clear();
    cluster.run_millis(500);
    assert!(cluster.nodes[&1].is_held_elsewhere(order));
    cluster.update_node(1, |membership, now| {
        membership.set_back_end(now, Some(back_end("b", BackEndState::Draining)))
    });
    let order = cluster.nodes[&1].own().order();
    cluster.run_millis(60);
    assert!(cluster.nodes[&1].is_held_elsewhere(order), "within two trips of at most 15 ms and a step");
}
