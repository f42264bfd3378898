//! Back ends that tell how slow they are at this moment.

mod support;

use std::net::SocketAddr;

use support::back_end::ScriptedResponse;
use support::{BACK_END_PORT, World, host};
use umberpond_forwarding::ReportedSlowdown;
use umberpond_telemetry::Event;

/// Time that the back end takes for a request, in milliseconds. The objective is 500 ms.
const WORK_MILLIS: u64 = 100;
const BEGINNING: &str = "HTTP/1.1 200 Said\r\numberpond-request: {id}\r\nx-proof: proof\r\n";
const USUAL: &str = "umberpond-load: 1,0,2,100\r\nContent-Length: 1\r\n\r\na";
const SLOW: &str = "umberpond-load: 1,0,2,900\r\nContent-Length: 1\r\n\r\na";

const fn telling(rest: &'static str) -> ScriptedResponse {
    ScriptedResponse::Slowly { first: BEGINNING, second: rest, after: WORK_MILLIS }
}

/// Reads `/read/a` once for each of `count` acts.
async fn ask(world: &World, prefix: &str, count: usize) {
    let mut caller = world.caller().await;
    for number in 0..count {
        assert_eq!(caller.ask("/read/a", &format!("{prefix}{number}")).await.status, 200);
    }
}

fn avoided(world: &World) -> usize {
    let events = world.recorder.events();
    events.iter().filter(|event| matches!(event, Event::SlowBackEndAvoided { .. })).count()
}

#[tokio::test(start_paused = true)]
async fn the_figure_of_an_answer_is_in_the_next_load_report_for_a_moment() {
    let world = World::with_routes(vec![vec![telling(USUAL), telling(SLOW)]]).await;
    let load = || world.served[0].inbound.load();
    assert_eq!(load().slowdown_percent, 0);
    ask(&world, "a", 1).await;
    assert_eq!(load().slowdown_percent, 100);
    ask(&world, "b", 1).await;
    assert_eq!(load().slowdown_percent, 900);
    support::pause(1_000).await;
    assert_eq!(load().slowdown_percent, 0);
}

/// Figures that are none say nothing, and the answer counts all the same.
#[tokio::test(start_paused = true)]
async fn a_figure_that_is_none_is_counted_and_ignored() {
    let none = [
        "umberpond-load: 1,0,2,0\r\nContent-Length: 1\r\n\r\na",
        "umberpond-load: 1,0,2,-5\r\nContent-Length: 1\r\n\r\na",
        "umberpond-load: 1,0,2,fast\r\nContent-Length: 1\r\n\r\na",
        "umberpond-load: 1,0,2,60000\r\nContent-Length: 1\r\n\r\na",
        "umberpond-load: 1,0,2\r\nContent-Length: 1\r\n\r\na",
    ];
    let world = World::with_routes(vec![none.map(telling).to_vec()]).await;
    ask(&world, "a", none.len()).await;
    assert_eq!(world.served[0].inbound.load().slowdown_percent, 0);
    let learnt = world.served[0].inbound.load().service_time().unwrap().as_millis();
    // With the way to the back end and from it.
    assert!((100..=105).contains(&learnt), "{learnt} ms");
    let page = world.telemetry.metrics().encode();
    assert!(page.contains(r#"umberpond_slowdown_words_total{outcome="invalid"} 4"#), "{page}");
}

/// The only back end is slow: what would be late there is refused without a run, and served again once the back end has told nothing
/// for a moment.
#[tokio::test(start_paused = true)]
async fn what_would_be_late_is_refused_untouched_until_the_word_is_old() {
    let usual = vec![telling(USUAL); 10];
    let world = World::with_routes(vec![[usual, vec![telling(SLOW), telling(USUAL)]].concat()]).await;
    ask(&world, "a", 11).await;
    let refused = world.caller().await.ask("/read/a", "b").await;
    assert_eq!(refused.status, 503);
    assert!(refused.fields.contains("retry-after"));
    assert_eq!((world.arrivals(), avoided(&world)), (11, 1));
    support::pause(1_000).await;
    ask(&world, "c", 1).await;
    assert_eq!((world.arrivals(), avoided(&world)), (12, 1));
}

/// The word of a health answer counts like that of any other, unless another back end says it.
#[tokio::test(start_paused = true)]
async fn the_figure_of_a_health_answer_counts_if_it_is_of_the_present_back_end() {
    let world = World::with_routes(vec![vec![telling(USUAL)], vec![telling(USUAL)]]).await;
    let [present, another] = [10, 11].map(|number| SocketAddr::new(host(number), BACK_END_PORT));
    let inbound = &world.served[0].inbound;
    world.served[0].back_end.set_health_load("1,0,7,250");
    world.served[1].back_end.set_health_load("1,0,7,400");
    assert_eq!(
        inbound.probe_health(present, "/well").await.unwrap().slowdown,
        ReportedSlowdown::Percent(250)
    );
    assert_eq!(inbound.load().slowdown_percent, 250);
    assert!(inbound.probe_health(another, "/well").await.is_some());
    assert_eq!(inbound.load().slowdown_percent, 250);
    world.served[0].back_end.set_health_load("1,0,7");
    assert!(inbound.probe_health(present, "/well").await.is_some());
    assert_eq!(inbound.load().slowdown_percent, 250);
}

/// Each answer is compared with what was expected of it, and what made the difference is told.
#[tokio::test(start_paused = true)]
async fn answers_are_counted_by_how_long_they_took_of_the_time_expected() {
    let slow = ScriptedResponse::Slowly { first: BEGINNING, second: USUAL, after: 8 * WORK_MILLIS };
    let world = World::with_routes(vec![[vec![telling(USUAL); 10], vec![slow]].concat()]).await;
    ask(&world, "a", 10).await;
    let has = |line: &str| world.telemetry.metrics().encode().lines().any(|found| found == line);
    assert!(has(r#"umberpond_answer_expected_ratios_bucket{le="5.0",cause="work"} 10"#));
    ask(&world, "b", 1).await;
    assert!(has(r#"umberpond_answer_expected_ratios_bucket{le="5.0",cause="work"} 10"#));
    assert!(has(r#"umberpond_answer_expected_ratios_bucket{le="10.0",cause="work"} 11"#));
}
