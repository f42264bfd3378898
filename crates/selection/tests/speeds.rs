//! Tests the estimates of the usual and the current speed of back ends.

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
/// Longer than any reported slowdown is valid.
const REPORT_EXPIRY: Duration = Duration::from_secs(1);

fn name<N: std::str::FromStr>(text: &str) -> N {
    text.parse().ok().expect("the name should be valid")
}

fn locality() -> Locality {
    Locality { region: name("north"), zone: name("a") }
}

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        node: node(number),
        address: "10.0.0.1:80".parse().unwrap(),
        locality: locality(),
        instance: format!("process-of-{number}"),
        release: None,
        slots: SLOTS,
        is_cold: false,
        request_limit: None,
    }
}

fn node(number: usize) -> NodeName {
    name(&format!("node-{number}"))
}

fn report(number: u64, running: u32, service_millis: u32, slowdown_percent: u16) -> LoadReport {
    let service_micros = service_millis * 1000;
    LoadReport { number, running, slots: SLOTS, service_micros, slowdown_percent, ..LoadReport::default() }
}

struct Fixture {
    selector: Selector,
    random: ChaCha8Rng,
    service: ServiceName,
    route: RouteName,
    now: Instant,
}

impl Fixture {
    fn new(count: usize) -> Self {
        let settings =
            SelectorSettings { sampling: SamplingSettings::BY_SPEED, ..SelectorSettings::default() };
        let mut selector = Selector::new(locality(), settings);
        let (service, now) = (name("archive"), Instant::now());
        selector.set_endpoints(now, &service, (0..count).map(endpoint).collect());
        Self { selector, random: ChaCha8Rng::seed_from_u64(1), service, route: name("route"), now }
    }

    fn report_load(&mut self, number: usize, report: LoadReport) {
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

    /// Number of times that this endpoint is selected in 1,000 selections.
    fn selection_count(&mut self, number: usize) -> usize {
        (0..1_000).filter(|_| self.choose().node == node(number)).count()
    }
}

#[test]
fn slow_back_end_is_avoided_while_its_report_is_fresh() {
    let mut fixture = Fixture::new(2);
    fixture.report_load(0, report(1, 1, 50, 250));
    fixture.report_load(1, report(1, 1, 60, 100));
    assert_eq!(fixture.selection_count(0), 0);
    fixture.now += Duration::from_millis(100);
    assert_eq!(fixture.selection_count(0), 0);
}

/// If the node of a back end is unreachable or its reports are lost, the selection uses the mean service
/// time, whatever the last report contained.
#[test]
fn mean_service_time_is_used_without_fresh_reports() {
    let mut fixture = Fixture::new(2);
    fixture.report_load(0, report(1, 1, 40, 250));
    fixture.report_load(1, report(1, 1, 60, 100));
    fixture.now += REPORT_EXPIRY;
    assert_eq!(fixture.selection_count(0), 1_000);
}

#[test]
fn slowdown_in_a_report_of_unknown_age_is_ignored() {
    let mut fixture = Fixture::new(2);
    fixture.selector.on_report(&fixture.service, &node(0), report(1, 1, 40, 250));
    fixture.report_load(1, report(1, 1, 60, 100));
    assert_eq!(fixture.selection_count(0), 1_000);
}

#[test]
fn report_without_slowdown_resets_the_previous_one() {
    let mut fixture = Fixture::new(2);
    fixture.report_load(0, report(1, 1, 40, 250));
    fixture.report_load(0, report(2, 1, 40, 0));
    fixture.report_load(1, report(1, 1, 60, 100));
    assert_eq!(fixture.selection_count(0), 1_000);
}

/// Service times of a slow interval would otherwise count against the back end afterwards, and be scaled
/// twice in the next slow interval.
#[test]
fn service_times_are_recorded_at_the_usual_speed() {
    let mut fixture = Fixture::new(1);
    for number in 1..=10 {
        let slow = Observation::Answered(report(number, 1, 100, 250));
        fixture.selector.on_sent(&fixture.service, &node(0));
        fixture.selector.on_ended(fixture.now, &fixture.service, &node(0), slow);
        let times = ResponseTimes { served: Duration::from_millis(250), overhead: Duration::ZERO };
        fixture.selector.on_response_times(fixture.now, &fixture.service, &fixture.route, &node(0), times);
    }
    assert_eq!(fixture.choose().service, Duration::from_millis(100));
    fixture.now += REPORT_EXPIRY;
    assert_eq!(fixture.choose().service, Duration::from_millis(100));
}

/// Number of times that the emptiest of ten endpoints is selected, which is the number of times that it is in
/// the sample.
fn emptiest_selection_count(fastest_millis: u32, running: u32) -> usize {
    let mut fixture = Fixture::new(10);
    fixture.report_load(0, report(1, running - 1, 60, 0));
    for number in 1..10 {
        let millis = if number == 1 { fastest_millis } else { 60 };
        fixture.report_load(number, report(1, running + 2, millis, 0));
    }
    fixture.selection_count(0)
}

#[test]
fn two_of_similar_back_ends_are_sampled() {
    for millis in [60, 40] {
        let selection_count = emptiest_selection_count(millis, 2);
        assert!(
            (120..=300).contains(&selection_count),
            "{selection_count} of 1,000 with one endpoint of {millis} ms"
        );
    }
}

#[test]
fn more_of_uneven_back_ends_with_free_slots_are_sampled() {
    let mut fixture = Fixture::new(10);
    for number in 0..10 {
        let millis = [30, 60, 60, 90, 120][number % 5];
        fixture.report_load(number, report(1, 1, millis, 0));
    }
    let fast = fixture.selection_count(0) + fixture.selection_count(5);
    assert!(fast > 900, "{fast} of 1,000 go to one of the two fast ones");
}

/// With all slots taken, all endpoints count the same: two are sampled, and slow ones as often as fast ones.
#[test]
fn slow_back_ends_are_sampled_equally_while_all_slots_are_taken() {
    let mut fixture = Fixture::new(10);
    for number in 0..10 {
        let (millis, running) = if number == 9 { (120, 3) } else { (30, 40) };
        fixture.report_load(number, report(1, running, millis, 0));
    }
    let selection_count = fixture.selection_count(9);
    assert!((120..=300).contains(&selection_count), "{selection_count} of 1,000");
}
