//! Memberships of hundreds of nodes in several zones, where only neighbours exchange heartbeats.

mod support;

use std::time::Duration;

use support::{Cluster, back_end};
use umberpond_membership::{
    Accusation, BackEndState, Datagram, MemberPhase, MembershipEvent, MembershipUpdate, Outgoing,
    Reachability,
};
use umberpond_model::Version;

const NODES: usize = 195;
const ZONES: usize = 6;

/// A cluster whose nodes have joined and whose back ends are ready.
fn settled_cluster(seed: u64, nodes: usize) -> Cluster {
    let mut cluster = Cluster::joined_in_zones(seed, nodes, ZONES);
    cluster.run_millis(1_000);
    for number in 0..nodes {
        let instance = format!("back-end-{number}");
        cluster.update_node(number, |membership, now| {
            membership.set_back_end(now, Some(back_end(&instance, BackEndState::Ready)))
        });
    }
    cluster.run_millis(4_000);
    cluster
}

/// Number of nodes from which `of` is reachable.
fn count_reaching(cluster: &Cluster, of: usize) -> usize {
    cluster.nodes.keys().filter(|from| **from != of && cluster.reaches(**from, of)).count()
}

#[test]
fn all_nodes_reach_one_another_soon_after_a_simultaneous_start() {
    let mut cluster = Cluster::joined_in_zones(1, NODES, ZONES);
    cluster.run_millis(2_000);
    assert!(cluster.all_reach_all());
}

#[test]
fn idle_traffic_per_node_does_not_grow_with_the_number_of_nodes() {
    let per_node_second = |nodes: usize| {
        let mut cluster = settled_cluster(2, nodes);
        // The changes of the start are compared for some seconds; wait until that is over.
        cluster.run_millis(3_000);
        let before = (cluster.bytes, cluster.bytes_between_zones);
        cluster.run_millis(4_000);
        let rate = |bytes: u64| bytes / nodes as u64 / 4;
        (rate(cluster.bytes - before.0), rate(cluster.bytes_between_zones - before.1))
    };
    let small = per_node_second(30);
    let large = per_node_second(300);
    assert!(large.0 <= 6_000, "{large:?}");
    assert!(large.1 <= 1_500, "{large:?}");
    assert!(large.0 * 10 <= small.0 * 12, "{small:?} at 30, {large:?} at 300");
}

#[test]
fn a_silent_node_is_excluded_by_all_within_a_second() {
    for seed in 3..6 {
        let mut cluster = settled_cluster(seed, NODES);
        cluster.kill(50);
        cluster.run_millis(1_000);
        assert!(
            count_reaching(&cluster, 50) <= 1,
            "seed {seed}: one of 194 nodes may miss the update, since 1 in 400 does"
        );
        cluster.run_millis(500);
        assert_eq!(count_reaching(&cluster, 50), 0, "seed {seed}");
    }
}

#[test]
fn a_draining_back_end_is_known_to_99_percent_within_300_ms_and_to_all_within_two_seconds() {
    let mut missed = 0;
    let mut cluster = settled_cluster(6, NODES);
    for number in 0..20 {
        let instance = format!("back-end-{number}");
        cluster.update_node(number, |membership, now| {
            membership.set_back_end(now, Some(back_end(&instance, BackEndState::Draining)))
        });
        cluster.run_millis(300);
        missed += count_unaware(&cluster, number);
    }
    assert!(missed * 100 <= 20 * NODES, "{missed} of {}", 20 * NODES);
    cluster.run_millis(2_000);
    assert_eq!((0..20).map(|number| count_unaware(&cluster, number)).sum::<usize>(), 0);
}

/// Number of nodes that still consider the back end of `number` ready.
fn count_unaware(cluster: &Cluster, number: usize) -> usize {
    let is_ready = |from: &&usize| {
        let view = cluster.view(**from, number);
        let back_end = view.and_then(|member| member.record.back_end);
        back_end.is_none_or(|back_end| back_end.state == BackEndState::Ready)
    };
    cluster.nodes.keys().filter(|from| **from != number).filter(is_ready).count()
}

#[test]
fn a_leaving_phase_reaches_all_nodes_at_ten_percent_loss() {
    let mut cluster = settled_cluster(7, NODES);
    cluster.loss = 0.1;
    cluster.update_node(9, |membership, now| membership.set_phase(now, MemberPhase::Leaving));
    cluster.run_millis(3_000);
    for from in cluster.nodes.keys().filter(|from| **from != 9) {
        assert_eq!(cluster.view(*from, 9).unwrap().record.phase, MemberPhase::Leaving, "node {from}");
    }
}

#[test]
fn five_percent_loss_excludes_no_node() {
    let mut cluster = settled_cluster(8, NODES);
    cluster.loss = 0.05;
    cluster.run_millis(6_000);
    cluster.loss = 0.0;
    let events = cluster.take_events();
    let excluded = events.iter().filter(|(_, event)| matches!(event, MembershipEvent::NodeExcluded { .. }));
    assert_eq!(excluded.count(), 0);
}

#[test]
fn a_node_stalled_for_300_ms_is_not_excluded() {
    let mut cluster = settled_cluster(9, NODES);
    cluster.stalled.insert(7);
    cluster.run_millis(300);
    cluster.stalled.remove(&7);
    for _ in 0..20 {
        cluster.run_millis(50);
        assert_eq!(count_reaching(&cluster, 7), NODES - 1);
    }
}

#[test]
fn a_node_stalled_for_seconds_is_excluded_and_returns_without_accusing_others() {
    let mut cluster = settled_cluster(10, NODES);
    cluster.stalled.insert(7);
    cluster.run_millis(5_000);
    assert_eq!(count_reaching(&cluster, 7), 0);
    cluster.take_events();
    cluster.stalled.remove(&7);
    cluster.run_millis(1_000);
    assert_eq!(count_reaching(&cluster, 7), NODES - 1);
    assert!(cluster.nodes.keys().filter(|to| **to != 7).all(|to| cluster.reaches(7, *to)));
    let events = cluster.take_events();
    let own_events = events.iter().filter(|(number, _)| *number == 7).map(|(_, event)| event);
    let accused = own_events.filter(|event| matches!(event, MembershipEvent::NeighbourSilent { .. }));
    assert_eq!(accused.count(), 0, "the stalled node must not accuse others");
}

#[test]
fn a_partition_between_two_neighbours_does_not_exclude_either() {
    let mut cluster = settled_cluster(11, NODES);
    let watched: Vec<usize> = cluster.neighbours_of(0);
    let other = *watched.iter().find(|other| **other % ZONES == 0).unwrap();
    cluster.blocked_links.insert((0, other));
    cluster.blocked_links.insert((other, 0));
    cluster.run_millis(3_000);
    assert!(!cluster.reaches(0, other) && !cluster.reaches(other, 0));
    assert_eq!(count_reaching(&cluster, 0), NODES - 2);
    assert_eq!(count_reaching(&cluster, other), NODES - 2);
    cluster.blocked_links.clear();
    cluster.run_millis(1_500);
    assert!(cluster.all_reach_all());
}

#[test]
fn a_disconnected_node_and_all_others_are_unreachable_to_each_other() {
    let mut cluster = settled_cluster(12, NODES);
    for other in 1..NODES {
        cluster.blocked_links.insert((0, other));
        cluster.blocked_links.insert((other, 0));
    }
    cluster.run_millis(6_000);
    assert_eq!(count_reaching(&cluster, 0), 0);
    assert_eq!((1..NODES).filter(|to| cluster.reaches(0, *to)).count(), 0);
    cluster.blocked_links.clear();
    cluster.run_millis(3_000);
    assert!(cluster.all_reach_all());
}

#[test]
fn a_partitioned_zone_is_unreachable_until_the_partition_heals() {
    let mut cluster = settled_cluster(13, NODES);
    let is_inside = |number: usize| number % ZONES == 2;
    for from in 0..NODES {
        for to in (0..NODES).filter(|to| is_inside(from) != is_inside(*to)) {
            cluster.blocked_links.insert((from, to));
        }
    }
    cluster.run_millis(6_000);
    for (from, to) in [(2, 8), (8, 2), (0, 1), (3, 0)] {
        assert!(cluster.reaches(from, to), "{from} and {to} are on the same side of the partition");
    }
    for from in 0..NODES {
        let across = (0..NODES).filter(|to| is_inside(from) != is_inside(*to));
        let reached = across.filter(|to| cluster.reaches(from, *to)).count();
        assert_eq!(reached, 0, "from node {from}");
    }
    cluster.blocked_links.clear();
    cluster.run_millis(4_000);
    assert!(cluster.all_reach_all());
}

#[test]
fn nodes_restarted_simultaneously_find_one_another() {
    let mut cluster = settled_cluster(14, NODES);
    for number in 0..NODES {
        cluster.start(number);
    }
    for number in 0..NODES {
        cluster.add_directory_entries(number, 0..NODES);
    }
    cluster.run_millis(1_500);
    assert!(cluster.all_reach_all());
}

#[test]
fn more_than_half_of_the_nodes_killed_at_once_are_excluded_and_rejoin() {
    let mut cluster = settled_cluster(15, NODES);
    let killed: Vec<usize> = (0..NODES).filter(|number| number % 9 < 5).collect();
    for number in &killed {
        cluster.kill(*number);
    }
    // The neighbours of most killed nodes were killed too, so several rounds pass until other nodes monitor
    // them.
    cluster.run_millis(6_000);
    let wrong: usize = killed.iter().map(|number| count_reaching(&cluster, *number)).sum();
    assert!(
        wrong * 100 <= killed.len() * (NODES - killed.len()),
        "{wrong} of {} views are wrong",
        killed.len() * (NODES - killed.len())
    );
    for number in &killed {
        cluster.start(*number);
        cluster.add_directory_entries(*number, 0..NODES);
    }
    cluster.run_millis(2_500);
    assert!(cluster.all_reach_all());
}

#[test]
fn a_node_restarted_at_another_address_is_reached_there() {
    let mut cluster = settled_cluster(16, NODES);
    cluster.kill(20);
    cluster.start_at(20, NODES);
    cluster.add_directory_entries(NODES, 0..19);
    cluster.run_millis(2_500);
    for from in 0..20 {
        let view = cluster.view(from, 20).unwrap();
        assert_eq!(view.record.control, support::address(NODES));
        assert_eq!(view.reachability, Reachability::Reachable);
    }
}

#[test]
fn a_version_announced_to_a_few_nodes_reaches_all_within_a_second() {
    let mut cluster = settled_cluster(17, NODES);
    cluster.update_node(4, |membership, now| {
        membership.on_store_response(now);
        let outgoing = membership.set_version(now, Version(9));
        assert!(outgoing.len() <= 11, "{}", outgoing.len());
        outgoing
    });
    // Every node activates the version as soon as it learns of it.
    for _ in 0..100 {
        cluster.run_millis(10);
        for number in cluster.numbers() {
            if cluster.knows_version(number, Version(9)) {
                cluster.update_node(number, |membership, now| membership.set_version(now, Version(9)));
            }
        }
    }
    let holding = cluster.numbers().into_iter().filter(|number| cluster.knows_version(*number, Version(9)));
    assert!(holding.count() >= NODES - 1);
}

#[test]
fn store_contact_of_a_single_reader_is_known_to_all_nodes() {
    let mut cluster = settled_cluster(18, NODES);
    let mut oldest = Duration::ZERO;
    for round in 0..80 {
        if round % 7 == 0 {
            cluster.update_node(11, |membership, now| {
                membership.on_store_response(now);
                Vec::<Outgoing>::new()
            });
        }
        cluster.run_millis(100);
        if round < 30 {
            continue;
        }
        for membership in cluster.nodes.values() {
            let age = cluster.now.saturating_duration_since(membership.last_store_contact().unwrap());
            oldest = oldest.max(age);
        }
    }
    // Further nodes start to read the store after 1.2 s plus 3 doublings of 150 ms.
    assert!(oldest <= Duration::from_millis(1_650), "{oldest:?}");
}

/// Guards against traffic that grows with the number of members. Only one node runs; the others exist as
/// records.
#[test]
fn a_node_sends_no_more_among_a_thousand_nodes_than_among_two_hundred() {
    let sent_per_second = |nodes: usize| {
        let mut cluster = Cluster::started_in_zones(19, 1, 15);
        let records = Cluster::records(1..nodes, 15);
        cluster.update_node(0, |membership, now| {
            let update = MembershipUpdate { records, is_repair: true, ..MembershipUpdate::default() };
            membership.on_datagram(now, support::address(1), &Datagram::MembershipUpdate(update))
        });
        cluster.run_millis(600);
        let (datagrams, bytes) = (cluster.datagrams, cluster.bytes);
        cluster.run_millis(100);
        assert_eq!(cluster.nodes[&0].reachable_count(), nodes - 1);
        (cluster.datagrams - datagrams, cluster.bytes - bytes)
    };
    let (few, many) = (sent_per_second(200), sent_per_second(1_000));
    assert!(many.0 <= few.0 + few.0 / 5, "{few:?} and {many:?}");
}

#[test]
fn among_a_thousand_nodes_two_accusers_exclude_a_node_and_one_does_not() {
    let mut cluster = Cluster::started_in_zones(20, 1, 15);
    let records = Cluster::records(1..1_000, 15);
    let order = records[122].order();
    let update = MembershipUpdate { records, is_repair: true, ..MembershipUpdate::default() };
    let receive = |cluster: &mut Cluster, update: MembershipUpdate| {
        cluster.update_node(0, |membership, now| {
            membership.on_datagram(now, support::address(1), &Datagram::MembershipUpdate(update))
        });
    };
    receive(&mut cluster, update);
    let accused_by = |by: u64| MembershipUpdate {
        accusations: vec![Accusation { against: order, by }],
        ..MembershipUpdate::default()
    };
    receive(&mut cluster, accused_by(138));
    assert!(cluster.reaches(0, 123));
    receive(&mut cluster, accused_by(138));
    assert!(cluster.reaches(0, 123), "a repeated accusation by the same process must not count twice");
    receive(&mut cluster, accused_by(153));
    assert!(!cluster.reaches(0, 123));
    assert_eq!(cluster.nodes[&0].reachable_count(), 998);
}
