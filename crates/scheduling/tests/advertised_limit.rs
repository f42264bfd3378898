//! Which responses set and end the request limit of a back end.

use std::time::{Duration, Instant};

use umberpond_model::RequestRate;
use umberpond_scheduling::{AdvertisedLimit, LimitReport};

const MOMENT: Duration = Duration::from_millis(50);

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).unwrap()
}

fn limited(per_second: f64) -> LimitReport {
    LimitReport::Limited(rate(per_second))
}

#[test]
fn response_generated_before_the_limit_does_not_end_it() {
    let (mut limit, sent) = (AdvertisedLimit::default(), Instant::now());
    let known = sent + MOMENT;
    assert!(limit.on_response(known, sent, limited(8.0)));
    assert!(!limit.on_response(known + MOMENT, sent, LimitReport::Unlimited));
    assert_eq!(limit.rate(), Some(rate(8.0)));
    assert!(limit.on_response(known + MOMENT, known, LimitReport::Unlimited));
    assert_eq!(limit.rate(), None);
}

#[test]
fn failure_without_a_limit_does_not_end_it() {
    let (mut limit, sent) = (AdvertisedLimit::default(), Instant::now());
    limit.on_response(sent, sent, limited(8.0));
    assert!(!limit.on_response(sent + MOMENT, sent + MOMENT, LimitReport::Unknown));
    assert_eq!(limit.rate(), Some(rate(8.0)));
}

#[test]
fn latest_value_applies() {
    let (mut limit, sent) = (AdvertisedLimit::default(), Instant::now());
    limit.on_response(sent, sent, limited(8.0));
    assert!(limit.on_response(sent + MOMENT, sent, limited(4.5)));
    assert!(!limit.on_response(sent + 2 * MOMENT, sent, limited(4.5)));
    assert_eq!(limit.rate(), Some(rate(4.5)));
}
