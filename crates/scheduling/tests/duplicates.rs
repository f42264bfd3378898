//! Detection of requests that were admitted before.

use std::time::{Duration, Instant};

use umberpond_scheduling::DuplicateWindow;

#[test]
fn duplicate_request_is_not_admitted() {
    let now = Instant::now();
    let mut window = DuplicateWindow::default();
    assert!(window.admit(now, b"a"));
    assert!(window.admit(now, b"b"));
    assert!(!window.admit(now + Duration::from_secs(30), b"a"));
}

#[test]
fn withdrawn_request_is_admitted_again() {
    let now = Instant::now();
    let mut window = DuplicateWindow::default();
    assert!(window.admit(now, b"a"));
    window.withdraw(b"a");
    assert!(window.admit(now, b"a"));
    assert!(!window.admit(now, b"a"));
}

#[test]
fn entries_expire_once_no_caller_can_wait_for_them() {
    let now = Instant::now();
    let mut window = DuplicateWindow::default();
    for number in 0..1000_u32 {
        assert!(window.admit(now, &number.to_le_bytes()));
    }
    assert!(window.admit(now + Duration::from_secs(121), b"a"));
    assert_eq!(window.len(), 1);
    assert!(!window.is_empty());
}
