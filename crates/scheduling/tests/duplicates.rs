//! Which requests were admitted before.

use std::time::{Duration, Instant};

use umberpond_scheduling::DuplicateWindow;

#[test]
fn a_request_is_admitted_once() {
    let now = Instant::now();
    let mut window = DuplicateWindow::default();
    assert!(window.admit(now, b"a"));
    assert!(window.admit(now, b"b"));
    assert!(!window.admit(now + Duration::from_secs(30), b"a"));
}

#[test]
fn a_request_that_is_known_not_to_have_run_may_come_again() {
    let now = Instant::now();
    let mut window = DuplicateWindow::default();
    assert!(window.admit(now, b"a"));
    window.withdraw(b"a");
    assert!(window.admit(now, b"a"));
    assert!(!window.admit(now, b"a"));
}

#[test]
fn requests_are_forgotten_when_no_caller_waits_for_them_any_more() {
    let now = Instant::now();
    let mut window = DuplicateWindow::default();
    for number in 0..1000_u32 {
        assert!(window.admit(now, &number.to_le_bytes()));
    }
    assert!(window.admit(now + Duration::from_secs(121), b"a"));
    assert_eq!(window.len(), 1);
    assert!(!window.is_empty());
}
