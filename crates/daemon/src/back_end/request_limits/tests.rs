//! Which changes of a request limit are published.

use umberpond_model::RequestRate;

use super::is_significant;

fn rate(per_second: f64) -> Option<RequestRate> {
    Some(RequestRate::per_second(per_second).unwrap())
}

#[test]
fn begin_and_end_of_a_limit_are_published() {
    assert!(is_significant(None, rate(8.0)));
    assert!(is_significant(rate(8.0), None));
    assert!(!is_significant(None, None));
}

#[test]
fn small_changes_are_not_published() {
    assert!(!is_significant(rate(10.0), rate(11.9)));
    assert!(!is_significant(rate(10.0), rate(8.1)));
    assert!(is_significant(rate(10.0), rate(12.1)));
    assert!(is_significant(rate(10.0), rate(7.9)));
}
