//! What is read from load fields.

use super::{ReportedSlowdown, told_slots, told_slowdown};

#[test]
fn a_field_of_three_figures_tells_no_slowdown() {
    assert_eq!(told_slots("1,0,7"), Some(7));
    assert_eq!(told_slowdown("1,0,7"), ReportedSlowdown::Unreported);
    assert_eq!(told_slowdown(""), ReportedSlowdown::Unreported);
}

#[test]
fn the_fourth_figure_is_the_slowdown() {
    for (field, percent) in
        [("1,0,7,100", 100), ("1, 0, 7, 250 ", 250), ("1,0,7,62.5", 63), ("1,0,7,300,9", 300)]
    {
        assert_eq!(told_slots(field), Some(7));
        assert_eq!(told_slowdown(field), ReportedSlowdown::Percent(percent));
    }
}

#[test]
fn a_fourth_figure_that_is_none_is_invalid_and_the_slots_still_count() {
    for figure in ["", "fast", "-100", "1e9", "NaN", "inf", "70000"] {
        let field = format!("1,0,7,{figure}");
        assert_eq!(told_slowdown(&field), ReportedSlowdown::Invalid, "{figure}");
        assert_eq!(told_slots(&field), Some(7));
    }
}
