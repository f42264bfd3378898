//! Reading `/proc`.

use umberpond_hollow::ProcessUsage;

#[test]
fn a_program_name_with_brackets_does_not_shift_the_fields() {
    let stat = "42 (a) b (c)) S 1 42 42 0 -1 4194560 100 0 0 0 150 50 0 0 20 0 4 0 1000 1 2";
    let status = "Name:\ta) b (c)\nVmPeak:\t  900 kB\nVmRSS:\t   640 kB\n";
    let usage = ProcessUsage::parse(stat, status);
    assert_eq!(usage, Some(ProcessUsage { processor_millis: 2_000, resident_bytes: 655_360 }));
}

#[test]
fn a_missing_field_is_no_zero() {
    assert_eq!(ProcessUsage::parse("42 (a) S 1", "VmRSS: 1 kB"), None);
    let stat = "42 (a) S 1 42 42 0 -1 4194560 100 0 0 0 150 50 0";
    assert_eq!(ProcessUsage::parse(stat, "Name: a"), None);
}

#[test]
fn the_own_process_uses_memory() {
    assert!(ProcessUsage::own().unwrap().resident_bytes > 0);
    assert!(ProcessUsage::of(std::process::id()).unwrap().resident_bytes > 0);
}
