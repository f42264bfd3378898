//! Hundreds of nodes in several zones, where only neighbours hear one another.

mod support;

use std::time::Duration;

use support::{World, back_end};
use umberpond_membership::{
    Accusation, BackEndState, Datagram, MemberPhase, MembershipEvent, News, Outgoing, Reachability,
};
use umberpond_model::Version;

const NODES: usize = 195;
const ZONES: usize = 6;

/// Nodes that have joined and whose back ends are ready.
fn settled(seed: u64, nodes: usize) -> World {
    let mut world = World::joined_in_zones(seed, nodes, ZONES);
    world.run_millis(1_000);
    for number in 0..nodes {
        let instance = format!("back-end-{number}");
        world.tell(number, |membership, now| {
            membership.set_back_end(now, Some(back_end(&instance, BackEndState::Ready)))
        });
    }
    world.run_millis(4_000);
    world
}

/// Nodes of those given from which `of` can be reached.
fn reaching(world: &World, of: usize) -> usize {
    world.nodes.keys().filter(|from| **from != of && world.reaches(**from, of)).count()
}

#[test]
fn all_know_and_reach_all_soon_after_a_start_at_once() {
    let mut world = World::joined_in_zones(1, NODES, ZONES);
    world.run_millis(2_000);
    assert!(world.all_reach_all());
}

#[test]
fn what_a_node_sends_in_calm_does_not_grow_with_their_number() {
    let per_node_second = |nodes: usize| {
        let mut world = settled(2, nodes);
        // What has changed at the start is compared for some seconds.
        world.run_millis(3_000);
        let before = (world.bytes, world.bytes_between_zones);
        world.run_millis(4_000);
        let rate = |bytes: u64| bytes / nodes as u64 / 4;
        (rate(world.bytes - before.0), rate(world.bytes_between_zones - before.1))
    };
    let small = per_node_second(30);
    let large = per_node_second(300);
    assert!(large.0 <= 6_000, "{large:?}");
    assert!(large.1 <= 1_500, "{large:?}");
    assert!(large.0 * 10 <= small.0 * 12, "{small:?} at 30, {large:?} at 300");
}

#[test]
fn a_silent_node_is_left_out_by_all_within_a_second() {
    for seed in 3..6 {
        let mut world = settled(seed, NODES);
        world.kill(50);
        world.run_millis(1_000);
        assert!(
            reaching(&world, 50) <= 1,
            "seed {seed}: one of 194 may have missed the news, as one in 400 does"
        );
        world.run_millis(500);
        assert_eq!(reaching(&world, 50), 0, "seed {seed}");
    }
}

#[test]
fn a_leave_reaches_99_in_100_within_300_ms_and_all_within_two_seconds() {
    let mut missed = 0;
    let mut world = settled(6, NODES);
    for number in 0..20 {
        let instance = format!("back-end-{number}");
        world.tell(number, |membership, now| {
            membership.set_back_end(now, Some(back_end(&instance, BackEndState::Draining)))
        });
        world.run_millis(300);
        missed += not_told(&world, number);
    }
    assert!(missed * 100 <= 20 * NODES, "{missed} of {}", 20 * NODES);
    world.run_millis(2_000);
    assert_eq!((0..20).map(|number| not_told(&world, number)).sum::<usize>(), 0);
}

/// Nodes that still hold the back end of `number` for ready.
fn not_told(world: &World, number: usize) -> usize {
    let is_ready = |from: &&usize| {
        let view = world.view(**from, number);
        let back_end = view.and_then(|member| member.record.back_end);
        back_end.is_none_or(|back_end| back_end.state == BackEndState::Ready)
    };
    world.nodes.keys().filter(|from| **from != number).filter(is_ready).count()
}

#[test]
fn a_leave_arrives_though_a_tenth_of_the_datagrams_is_lost() {
    let mut world = settled(7, NODES);
    world.loss = 0.1;
    world.tell(9, |membership, now| membership.set_phase(now, MemberPhase::Leaving));
    world.run_millis(3_000);
    for from in world.nodes.keys().filter(|from| **from != 9) {
        assert_eq!(world.view(*from, 9).unwrap().record.phase, MemberPhase::Leaving, "node {from}");
    }
}

#[test]
fn a_link_that_loses_a_twentieth_has_nobody_left_out() {
    let mut world = settled(8, NODES);
    world.loss = 0.05;
    world.run_millis(6_000);
    world.loss = 0.0;
    let notes = world.take_events();
    let left_out = notes.iter().filter(|(_, note)| matches!(note, MembershipEvent::NodeExcluded { .. }));
    assert_eq!(left_out.count(), 0);
}

#[test]
fn a_node_frozen_for_300_ms_is_left_out_by_nobody() {
    let mut world = settled(9, NODES);
    world.frozen.insert(7);
    world.run_millis(300);
    world.frozen.remove(&7);
    for _ in 0..20 {
        world.run_millis(50);
        assert_eq!(reaching(&world, 7), NODES - 1);
    }
}

#[test]
fn a_node_frozen_for_long_is_left_out_and_comes_back_without_leaving_out_others() {
    let mut world = settled(10, NODES);
    world.frozen.insert(7);
    world.run_millis(5_000);
    assert_eq!(reaching(&world, 7), 0);
    world.take_events();
    world.frozen.remove(&7);
    world.run_millis(1_000);
    assert_eq!(reaching(&world, 7), NODES - 1);
    assert!(world.nodes.keys().filter(|to| **to != 7).all(|to| world.reaches(7, *to)));
    let notes = world.take_events();
    let by_it = notes.iter().filter(|(number, _)| *number == 7).map(|(_, note)| note);
    let accused = by_it.filter(|note| matches!(note, MembershipEvent::NeighbourSilent { .. }));
    assert_eq!(accused.count(), 0, "it was this node that did not run");
}

#[test]
fn a_cut_between_two_neighbours_concerns_nobody_else() {
    let mut world = settled(11, NODES);
    let watched: Vec<usize> = world.neighbours_of(0);
    let other = *watched.iter().find(|other| **other % ZONES == 0).unwrap();
    world.cut.insert((0, other));
    world.cut.insert((other, 0));
    world.run_millis(3_000);
    assert!(!world.reaches(0, other) && !world.reaches(other, 0));
    assert_eq!(reaching(&world, 0), NODES - 2);
    assert_eq!(reaching(&world, other), NODES - 2);
    world.cut.clear();
    world.run_millis(1_500);
    assert!(world.all_reach_all());
}

#[test]
fn a_node_that_is_cut_off_takes_nobody_for_reachable_and_is_taken_so_by_nobody() {
    let mut world = settled(12, NODES);
    for other in 1..NODES {
        world.cut.insert((0, other));
        world.cut.insert((other, 0));
    }
    world.run_millis(6_000);
    assert_eq!(reaching(&world, 0), 0);
    assert_eq!((1..NODES).filter(|to| world.reaches(0, *to)).count(), 0);
    world.cut.clear();
    world.run_millis(3_000);
    assert!(world.all_reach_all());
}

#[test]
fn a_zone_that_is_cut_off_is_out_of_reach_and_comes_back() {
    let mut world = settled(13, NODES);
    let is_inside = |number: usize| number % ZONES == 2;
    for from in 0..NODES {
        for to in (0..NODES).filter(|to| is_inside(from) != is_inside(*to)) {
            world.cut.insert((from, to));
        }
    }
    world.run_millis(6_000);
    for (from, to) in [(2, 8), (8, 2), (0, 1), (3, 0)] {
        assert!(world.reaches(from, to), "{from} {to} are on the same side");
    }
    for from in 0..NODES {
        let across = (0..NODES).filter(|to| is_inside(from) != is_inside(*to));
        let reached = across.filter(|to| world.reaches(from, *to)).count();
        assert_eq!(reached, 0, "from node {from}");
    }
    world.cut.clear();
    world.run_millis(4_000);
    assert!(world.all_reach_all());
}

#[test]
fn nodes_killed_and_started_again_all_at_once_find_one_another() {
    let mut world = settled(14, NODES);
    for number in 0..NODES {
        world.start(number);
    }
    for number in 0..NODES {
        world.introduce(number, 0..NODES);
    }
    world.run_millis(1_500);
    assert!(world.all_reach_all());
}

#[test]
fn more_than_half_killed_at_once_are_left_out_and_found_again() {
    let mut world = settled(15, NODES);
    let killed: Vec<usize> = (0..NODES).filter(|number| number % 9 < 5).collect();
    for number in &killed {
        world.kill(*number);
    }
    // The neighbours of most were killed too, so it takes several rounds until somebody watches them.
    world.run_millis(6_000);
    let wrong: usize = killed.iter().map(|number| reaching(&world, *number)).sum();
    assert!(
        wrong * 100 <= killed.len() * (NODES - killed.len()),
        "{wrong} wrong beliefs of {}",
        killed.len() * (NODES - killed.len())
    );
    for number in &killed {
        world.start(*number);
        world.introduce(*number, 0..NODES);
    }
    world.run_millis(2_500);
    assert!(world.all_reach_all());
}

#[test]
fn a_name_taken_over_by_a_process_at_another_address_is_found_there() {
    let mut world = settled(16, NODES);
    world.kill(20);
    world.start_at(20, NODES);
    world.introduce(NODES, 0..19);
    world.run_millis(2_500);
    for from in 0..20 {
        let view = world.view(from, 20).unwrap();
        assert_eq!(view.record.control, support::address(NODES));
        assert_eq!(view.reachability, Reachability::Reachable);
    }
}

#[test]
fn a_version_is_told_to_a_few_at_once_and_reaches_all_within_a_second() {
    let mut world = settled(17, NODES);
    world.tell(4, |membership, now| {
        membership.on_store_response(now);
        let outgoing = membership.set_version(now, Version(9));
        assert!(outgoing.len() <= 11, "{}", outgoing.len());
        outgoing
    });
    // Everybody puts it in force as soon as it hears of it.
    for _ in 0..100 {
        world.run_millis(10);
        for number in world.numbers() {
            if world.has_heard_of(number, Version(9)) {
                world.tell(number, |membership, now| membership.set_version(now, Version(9)));
            }
        }
    }
    let holding = world.numbers().into_iter().filter(|number| world.has_heard_of(*number, Version(9)));
    assert!(holding.count() >= NODES - 1);
}

#[test]
fn word_from_the_store_is_known_everywhere_while_one_node_reads_it() {
    let mut world = settled(18, NODES);
    let mut oldest = Duration::ZERO;
    for round in 0..80 {
        if round % 7 == 0 {
            world.tell(11, |membership, now| {
                membership.on_store_response(now);
                Vec::<Outgoing>::new()
            });
        }
        world.run_millis(100);
        if round < 30 {
            continue;
        }
        for membership in world.nodes.values() {
            let age = world.now.saturating_duration_since(membership.last_store_contact().unwrap());
            oldest = oldest.max(age);
        }
    }
    // The others step in from 1.2 s and 3 doublings of 150 ms on.
    assert!(oldest <= Duration::from_millis(1_650), "{oldest:?}");
}

/// One core among a thousand members, the others being records only.
#[test]
fn a_node_among_a_thousand_spends_no_more_than_among_two_hundred() {
    let sent_per_second = |nodes: usize| {
        let mut world = World::started_in_zones(19, 1, 15);
        let records = World::records(1..nodes, 15);
        world.tell(0, |membership, now| {
            let news = News { records, is_repair: true, ..News::default() };
            membership.on_datagram(now, support::address(1), &Datagram::News(news))
        });
        world.run_millis(600);
        let (datagrams, bytes) = (world.datagrams, world.bytes);
        world.run_millis(100);
        assert_eq!(world.nodes[&0].reachable_count(), nodes - 1);
        (world.datagrams - datagrams, world.bytes - bytes)
    };
    let (few, many) = (sent_per_second(200), sent_per_second(1_000));
    assert!(many.0 <= few.0 + few.0 / 5, "{few:?} and {many:?}");
}

#[test]
fn among_a_thousand_two_findings_leave_a_node_out_and_one_does_not() {
    let mut world = World::started_in_zones(20, 1, 15);
    let records = World::records(1..1_000, 15);
    let order = records[122].order();
    let news = News { records, is_repair: true, ..News::default() };
    let hear = |world: &mut World, news: News| {
        world.tell(0, |membership, now| {
            membership.on_datagram(now, support::address(1), &Datagram::News(news))
        });
    };
    hear(&mut world, news);
    let accused_by =
        |by: u64| News { accusations: vec![Accusation { against: order, by }], ..News::default() };
    hear(&mut world, accused_by(138));
    assert!(world.reaches(0, 123));
    hear(&mut world, accused_by(138));
    assert!(world.reaches(0, 123), "it is the same neighbour");
    hear(&mut world, accused_by(153));
    assert!(!world.reaches(0, 123));
    assert_eq!(world.nodes[&0].reachable_count(), 998);
}
