//! Which back end a request goes to.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use umberpond_model::{HomeRegions, Locality, NodeName, RouteName, ServiceName};
use umberpond_scheduling::LoadReport;
use umberpond_selection::{Endpoint, Observation, Query, ReleaseGroup, Selector, SelectorSettings};

fn name<N: std::str::FromStr>(text: &str) -> N {
    text.parse().ok().expect("a valid name")
}

fn locality(region: &str, zone: &str) -> Locality {
    Locality { region: name(region), zone: name(zone) }
}

fn endpoint(node: &str, region: &str, zone: &str) -> Endpoint {
    Endpoint {
        node: name(node),
        address: "10.0.0.1:80".parse().unwrap(),
        locality: locality(region, zone),
        instance: format!("life-of-{node}"),
        release: None,
        slots: 10,
        is_cold: false,
    }
}

fn report(number: u64, running: u32, waiting: u32, service_millis: u32) -> LoadReport {
    LoadReport {
        number,
        running,
        waiting,
        slots: 10,
        service_micros: service_millis * 1000,
        failed_permille: 0,
        ..LoadReport::default()
    }
}

struct World {
    selector: Selector,
    random: ChaCha8Rng,
    service: ServiceName,
    route: RouteName,
    now: Instant,
}

impl World {
    fn new(endpoints: Vec<Endpoint>) -> Self {
        let mut selector = Selector::new(locality("north", "a"), SelectorSettings::default());
        let service = name("archive");
        selector.set_endpoints(Instant::now(), &service, endpoints);
        Self {
            selector,
            random: ChaCha8Rng::seed_from_u64(1),
            service,
            route: name("route"),
            now: Instant::now(),
        }
    }

    fn told(&mut self, node: &str, report: LoadReport) {
        self.selector.on_report(&self.service, &name(node), report);
    }

    fn choose(&mut self, tried: &[NodeName]) -> Option<NodeName> {
        let query = Query {
            route: &self.route,
            tried,
            group: ReleaseGroup::Others,
            objective: Duration::from_millis(300),
            homes: &HomeRegions::default(),
        };
        let choice = self.selector.choose(self.now, &mut self.random, &self.service, query);
        choice.map(|choice| choice.node)
    }

    /// How often each node is chosen in `count` choices, none of which is sent.
    fn shares(&mut self, count: u32) -> BTreeMap<String, u32> {
        let mut shares = BTreeMap::new();
        for _ in 0..count {
            let node = self.choose(&[]).unwrap();
            *shares.entry(node.to_string()).or_default() += 1;
        }
        shares
    }
}

#[test]
fn the_own_zone_is_preferred_while_it_has_room() {
    let mut world = World::new(vec![endpoint("near", "north", "a"), endpoint("far", "north", "b")]);
    world.told("near", report(1, 5, 0, 100));
    world.told("far", report(1, 0, 0, 100));
    assert!(world.shares(100)["near"] > 60);
}

#[test]
fn a_queue_in_the_own_zone_is_left_for_room_elsewhere() {
    let mut world = World::new(vec![endpoint("near", "north", "a"), endpoint("far", "north", "b")]);
    world.told("near", report(1, 10, 20, 100));
    world.told("far", report(1, 3, 0, 100));
    assert_eq!(world.shares(100).get("near"), None);
}

#[test]
fn another_region_is_the_last_resort() {
    let mut world = World::new(vec![endpoint("region", "north", "b"), endpoint("abroad", "south", "c")]);
    world.told("region", report(1, 9, 0, 100));
    world.told("abroad", report(1, 0, 0, 100));
    assert_eq!(world.shares(100).get("abroad"), None);
    world.told("region", report(2, 10, 60, 100));
    assert_eq!(world.shares(100).get("region"), None);
}

#[test]
fn the_faster_back_end_is_preferred() {
    let mut world = World::new(vec![endpoint("slow", "north", "b"), endpoint("fast", "north", "c")]);
    world.told("slow", report(1, 2, 0, 300));
    world.told("fast", report(1, 2, 0, 100));
    assert_eq!(world.shares(100).get("slow"), None);
}

#[test]
fn requests_sent_since_the_last_word_count() {
    let mut world = World::new(vec![endpoint("one", "north", "b"), endpoint("other", "north", "c")]);
    world.told("one", report(1, 0, 0, 100));
    world.told("other", report(1, 0, 0, 100));
    let mut sent: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..20 {
        let node = world.choose(&[]).unwrap();
        world.selector.on_sent(&world.service, &node);
        *sent.entry(node.to_string()).or_default() += 1;
    }
    assert!(sent["one"].abs_diff(sent["other"]) <= 6, "{sent:?}");
}

#[test]
fn a_late_report_does_not_replace_a_newer_one() {
    let mut world = World::new(vec![endpoint("one", "north", "b"), endpoint("other", "north", "c")]);
    world.told("one", report(5, 10, 30, 100));
    world.told("one", report(4, 0, 0, 100));
    world.told("other", report(1, 0, 0, 100));
    assert_eq!(world.shares(50).get("one"), None);
}

#[test]
fn a_node_that_can_not_be_reached_is_left_out_for_a_while() {
    let mut world = World::new(vec![endpoint("one", "north", "a"), endpoint("other", "north", "b")]);
    let one: NodeName = name("one");
    world.selector.on_sent(&world.service, &one);
    world.selector.on_ended(world.now, &world.service, &one, Observation::Unreachable);
    assert_eq!(world.shares(50).get("one"), None);
    world.now += Duration::from_secs(1);
    assert!(world.shares(50).contains_key("one"));
}

#[test]
fn lost_answers_make_a_back_end_dear_and_are_forgotten() {
    let mut world = World::new(vec![endpoint("one", "north", "a"), endpoint("other", "north", "b")]);
    let one: NodeName = name("one");
    for _ in 0..3 {
        world.selector.on_sent(&world.service, &one);
        world.selector.on_ended(world.now, &world.service, &one, Observation::Failed);
    }
    assert_eq!(world.shares(50).get("one"), None);
    world.now += Duration::from_secs(30);
    assert!(world.shares(50)["one"] > 25);
}

#[test]
fn what_was_tried_is_not_tried_again() {
    let mut world = World::new(vec![endpoint("one", "north", "a"), endpoint("other", "north", "b")]);
    let tried = [name("one")];
    assert_eq!(world.choose(&tried), Some(name("other")));
    assert_eq!(world.choose(&[name("one"), name("other")]), None);
}

#[test]
fn a_back_end_in_a_new_life_starts_without_the_old_ones_record() {
    let mut world = World::new(vec![endpoint("one", "north", "a"), endpoint("other", "north", "b")]);
    world.told("one", report(9, 10, 50, 100));
    world.told("other", report(9, 2, 0, 100));
    let anew = Endpoint { instance: "another-life".to_owned(), ..endpoint("one", "north", "a") };
    let service = world.service.clone();
    world.selector.set_endpoints(world.now, &service, vec![anew, endpoint("other", "north", "b")]);
    world.told("one", report(1, 0, 0, 100));
    assert!(world.shares(50)["one"] > 25);
}

#[test]
fn no_endpoint_no_choice() {
    let mut world = World::new(Vec::new());
    assert_eq!(world.choose(&[]), None);
    assert_eq!(world.selector.count(&world.service), 0);
}

#[test]
fn many_nodes_with_the_same_old_word_do_not_all_choose_the_same_back_end() {
    let names: Vec<String> = (0..30).map(|number| format!("node-{number}")).collect();
    let mut world = World::new(names.iter().map(|node| endpoint(node, "north", "b")).collect());
    for (number, node) in (0..).zip(&names) {
        world.told(node, report(1, 4 + number % 4, 0, 100));
    }
    let shares = world.shares(3_000);
    let most = shares.values().max().unwrap();
    assert!(*most < 300, "one of thirty is chosen {most} times of 3,000");
    assert!(shares.len() >= 20, "{} of thirty are chosen", shares.len());
}

/// Bytes between zones are dear, but a zone may be fuller than others.
#[test]
fn another_zone_is_sooner_asked_once_the_own_one_has_refused() {
    let near = [endpoint("tried", "north", "a"), endpoint("near", "north", "a")];
    let mut world = World::new(near.into_iter().chain([endpoint("far", "north", "b")]).collect());
    for node in ["tried", "near"] {
        world.told(node, report(1, 10, 9, 100));
    }
    world.told("far", report(1, 0, 0, 100));
    let count = |world: &mut World, tried: &[NodeName]| {
        (0..100).filter(|_| world.choose(tried) == Some(name("far"))).count()
    };
    assert_eq!(count(&mut world, &[]), 0);
    assert_eq!(count(&mut world, &[name("tried")]), 100);
}

/// After some refusals only nodes are asked that should have room.
#[test]
fn a_choice_says_whether_a_slot_should_be_free() {
    let mut world = World::new(vec![endpoint("one", "north", "a")]);
    for (number, held, has_free_slot) in [(1, 9, true), (2, 10, false), (3, 14, false), (4, 3, true)] {
        world.told("one", report(number, held.min(10), held.saturating_sub(10), 100));
        let query = Query {
            route: &world.route,
            tried: &[],
            group: ReleaseGroup::Others,
            objective: Duration::from_millis(300),
            homes: &HomeRegions::default(),
        };
        let choice = world.selector.choose(world.now, &mut world.random, &world.service, query).unwrap();
        assert_eq!(choice.has_free_slot, has_free_slot, "{held} of 10 slots");
    }
}
