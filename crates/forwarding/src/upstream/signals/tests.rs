//! Signals in header fields, valid and invalid.

use umberpond_http1::Fields;
use umberpond_model::RequestRate;
use umberpond_scheduling::LimitReport;

use super::BackEndSignals;
use crate::header_profile::HeaderProfile;

fn read(status: u16, fields: &[(&'static str, &'static str)]) -> BackEndSignals {
    let mut head = Fields::default();
    for (name, value) in fields {
        head.push(*name, *value);
    }
    BackEndSignals::read(&HeaderProfile::DEFAULT, status, &head)
}

fn limit_of(value: &'static str) -> LimitReport {
    read(200, &[("Umberpond-Request-Limit", value)]).limit
}

fn limited(per_second: f64) -> LimitReport {
    LimitReport::Limited(RequestRate::per_second(per_second).unwrap())
}

#[test]
fn decimal_limits_are_read() {
    assert_eq!(limit_of("12.3"), limited(12.3));
    assert_eq!(limit_of(" 8 "), limited(8.0));
    assert_eq!(limit_of("0.4"), limited(0.4));
}

#[test]
fn limit_of_zero_lets_a_request_through_from_time_to_time() {
    assert_eq!(limit_of("0"), limited(0.1));
    assert_eq!(limit_of("0.0"), limited(0.1));
}

#[test]
fn invalid_limit_neither_sets_nor_ends_a_limit() {
    for value in ["", "abc", "-1", "-0.5", "NaN", "inf", "1e300", "12,3", "1 2"] {
        let signals = read(200, &[("umberpond-request-limit", value)]);
        assert_eq!(signals.limit, LimitReport::Unknown, "{value}");
        assert!(signals.has_invalid_limit, "{value}");
    }
}

#[test]
fn lowest_valid_limit_applies_if_a_response_has_several() {
    let signals = read(
        200,
        &[
            ("umberpond-request-limit", "9"),
            ("umberpond-request-limit", "x"),
            ("umberpond-request-limit", "4.5"),
        ],
    );
    assert_eq!(signals.limit, limited(4.5));
    assert!(signals.has_invalid_limit);
}

#[test]
fn only_a_response_without_failure_shows_that_there_is_no_limit() {
    assert_eq!(read(200, &[]).limit, LimitReport::Unlimited);
    assert_eq!(read(404, &[]).limit, LimitReport::Unlimited);
    assert_eq!(read(500, &[]).limit, LimitReport::Unknown);
    assert_eq!(read(429, &[("umberpond-outcome", "rejected")]).limit, LimitReport::Unknown);
    assert_eq!(read(503, &[("umberpond-request-limit", "3")]).limit, limited(3.0));
}

#[test]
fn leaving_is_read_whatever_the_status() {
    assert!(read(500, &[("umberpond-leaving", "1")]).is_leaving);
    assert!(!read(200, &[("umberpond-leaving", "0")]).is_leaving);
    assert!(!read(200, &[]).is_leaving);
}
