//! Parsing of load fields.

use super::{ReportedSlowdown, parse_slots, parse_slowdown};

#[test]
fn field_without_a_fourth_value_has_no_slowdown() {
    assert_eq!(parse_slots("1,0,7"), Some(7));
    assert_eq!(parse_slowdown("1,0,7"), ReportedSlowdown::Unreported);
    assert_eq!(parse_slowdown(""), ReportedSlowdown::Unreported);
}

#[test]
fn fourth_value_is_the_slowdown() {
    for (field, percent) in
        [("1,0,7,100", 100), ("1, 0, 7, 250 ", 250), ("1,0,7,62.5", 63), ("1,0,7,300,9", 300)]
    {
        assert_eq!(parse_slots(field), Some(7));
        assert_eq!(parse_slowdown(field), ReportedSlowdown::Percent(percent));
    }
}

#[test]
fn invalid_slowdown_does_not_hide_the_slots() {
    for value in ["", "fast", "-100", "1e9", "NaN", "inf", "70000"] {
        let field = format!("1,0,7,{value}");
        assert_eq!(parse_slowdown(&field), ReportedSlowdown::Invalid, "{value}");
        assert_eq!(parse_slots(&field), Some(7));
    }
}
