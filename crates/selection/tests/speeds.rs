//! What is known of the speed of back ends, now and usually.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use umberpond_model::{HomeRegions, Locality, NodeName, RouteName, ServiceName};
use umberpond_scheduling::LoadReport;
use umberpond_selection::{
    Choice, Endpoint, Observation, Query, ReleaseGroup, ResponseTimes, SamplingSettings, Selector,
    SelectorSettings,
};

const SLOTS: u32 = 4;
/// Longer than any word of a back end counts.
const LONG: Duration = Duration::from_secs(1);

fn name<N: std::str::FromStr>(text: &str) -> N {
    text.parse().ok().expect("a valid name")
}

fn locality() -> Locality {
    Locality { region: name("north"), zone: name("a") }
}

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        node: node(number),
        address: "10.0.0.1:80".parse().unwrap(),
        locality: locality(),
        instance: format!("life-of-{number}"),
        release: None,
        slots: SLOTS,
        is_cold: false,
    }
}

fn node(number: usize) -> NodeName {
    name(&format!("node-{number}"))
}

fn report(number: u64, running: u32, service_millis: u32, slowdown_percent: u16) -> LoadReport {
    let service_micros = service_millis * 1000;
    LoadReport { number, running, slots: SLOTS, service_micros, slowdown_percent, ..LoadReport::default() }
}

struct World {
    selector: Selector,
    random: ChaCha8Rng,
    service: ServiceName,
    route: RouteName,
    now: Instant,
}

impl World {
    fn new(count: usize) -> Self {
        let settings = SelectorSettings { draw: SamplingSettings::BY_SPEED, ..SelectorSettings::default() };
        let mut selector = Selector::new(locality(), settings);
        let (service, now) = (name("archive"), Instant::now());
        selector.set_endpoints(now, &service, (0..count).map(endpoint).collect());
        Self { selector, random: ChaCha8Rng::seed_from_u64(1), service, route: name("route"), now }
    }

    fn told(&mut self, number: usize, report: LoadReport) {
        self.selector.on_fresh_report(self.now, &self.service, &node(number), report);
    }

    fn choose(&mut self) -> Choice {
        let query = Query {
            route: &self.route,
            tried: &[],
            group: ReleaseGroup::Others,
            objective: Duration::from_millis(250),
            homes: &HomeRegions::default(),
        };
        self.selector.choose(self.now, &mut self.random, &self.service, query).unwrap()
    }

    /// Of 1,000 choices, those of this endpoint.
    fn chosen(&mut self, number: usize) -> usize {
        (0..1_000).filter(|_| self.choose().node == node(number)).count()
    }
}

#[test]
fn a_back_end_that_is_slow_at_this_moment_is_avoided_while_its_word_is_fresh() {
    let mut world = World::new(2);
    world.told(0, report(1, 1, 50, 250));
    world.told(1, report(1, 1, 60, 100));
    assert_eq!(world.chosen(0), 0);
    world.now += Duration::from_millis(100);
    assert_eq!(world.chosen(0), 0);
}

/// Its node is cut off, or its word was lost: a caller's node goes by the mean, whatever was told last.
#[test]
fn without_fresh_news_the_mean_counts() {
    let mut world = World::new(2);
    world.told(0, report(1, 1, 40, 250));
    world.told(1, report(1, 1, 60, 100));
    world.now += LONG;
    assert_eq!(world.chosen(0), 1_000);
}

#[test]
fn a_report_of_unknown_age_tells_nothing_of_this_moment() {
    let mut world = World::new(2);
    world.selector.on_report(&world.service, &node(0), report(1, 1, 40, 250));
    world.told(1, report(1, 1, 60, 100));
    assert_eq!(world.chosen(0), 1_000);
}

#[test]
fn a_report_without_the_figure_ends_the_one_before() {
    let mut world = World::new(2);
    world.told(0, report(1, 1, 40, 250));
    world.told(0, report(2, 1, 40, 0));
    world.told(1, report(1, 1, 60, 100));
    assert_eq!(world.chosen(0), 1_000);
}

/// Times in a spell would otherwise be held against the back end after it, and be scaled twice in the next one.
#[test]
fn times_are_learnt_as_those_of_the_usual_speed() {
    let mut world = World::new(1);
    for number in 1..=10 {
        let slow = Observation::Answered(report(number, 1, 100, 250));
        world.selector.on_sent(&world.service, &node(0));
        world.selector.on_ended(world.now, &world.service, &node(0), slow);
        let times = ResponseTimes { served: Duration::from_millis(250), overhead: Duration::ZERO };
        world.selector.on_response_times(world.now, &world.service, &world.route, &node(0), times);
    }
    assert_eq!(world.choose().service, Duration::from_millis(100));
    world.now += LONG;
    assert_eq!(world.choose().service, Duration::from_millis(100));
}

/// The emptiest of ten is found as often as it is among those drawn.
fn chosen_emptiest(fastest_millis: u32, running: u32) -> usize {
    let mut world = World::new(10);
    world.told(0, report(1, running - 1, 60, 0));
    for number in 1..10 {
        let millis = if number == 1 { fastest_millis } else { 60 };
        world.told(number, report(1, running + 2, millis, 0));
    }
    world.chosen(0)
}

#[test]
fn where_back_ends_are_about_alike_two_are_drawn() {
    for millis in [60, 40] {
        let chosen = chosen_emptiest(millis, 2);
        assert!((120..=300).contains(&chosen), "{chosen} of 1,000 with one of {millis} ms");
    }
}

#[test]
fn where_back_ends_are_uneven_and_have_room_more_are_drawn() {
    let mut world = World::new(10);
    for number in 0..10 {
        let millis = [30, 60, 60, 90, 120][number % 5];
        world.told(number, report(1, 1, millis, 0));
    }
    let fast = world.chosen(0) + world.chosen(5);
    assert!(fast > 900, "{fast} of 1,000 go to one of the two fast ones");
}

/// With all slots taken each counts alike: two are drawn, and the slow ones as often as the fast ones.
#[test]
fn where_all_slots_are_taken_slow_back_ends_are_drawn_as_often() {
    let mut world = World::new(10);
    for number in 0..10 {
        let (millis, running) = if number == 9 { (120, 3) } else { (30, 40) };
        world.told(number, report(1, running, millis, 0));
    }
    let chosen = world.chosen(9);
    assert!((120..=300).contains(&chosen), "{chosen} of 1,000");
}
