//! Tests that settings are checked as a whole, with all faults, their lines and suggestions in one report.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use quickcheck::{QuickCheck, TestResult};
use umberpond_daemon::settings::{FaultKind, SettingsOverride, SettingsReport, load, parse_duration};

/// A settings file in its own temporary directory, which is removed on drop.
struct SettingsFile {
    directory: PathBuf,
}

impl SettingsFile {
    fn new(test: &str, content: &[u8]) -> Self {
        let directory = std::env::temp_dir().join(format!("umberpond-{test}-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("a temporary directory can be made");
        fs::write(directory.join("node.toml"), content).expect("a temporary file can be written");
        Self { directory }
    }

    fn path(&self) -> PathBuf {
        self.directory.join("node.toml")
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn example_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/node.toml")
}

fn example() -> String {
    fs::read_to_string(example_path()).expect("the example can be read")
}

fn report(test: &str, content: &[u8]) -> SettingsReport {
    let file = SettingsFile::new(test, content);
    load(Some(&file.path()), &[]).expect_err("the settings have faults")
}

fn kinds(report: &SettingsReport) -> Vec<&FaultKind> {
    report.faults.iter().map(|fault| fault.kind()).collect()
}

#[test]
fn the_example_is_valid_and_flags_take_precedence() {
    let from_file = load(Some(&example_path()), &[]).expect("the example is valid");
    assert_eq!(from_file.node.as_str(), "billing-1");
    assert_eq!(from_file.topology.values().map(std::collections::BTreeSet::len).sum::<usize>(), 4);
    assert!(from_file.is_first_start);

    let flags = [SettingsOverride { key: "node.name", flag: "--name", value: "billing-9".to_owned() }];
    let overridden = load(Some(&example_path()), &flags).expect("the flags are valid");
    assert_eq!(overridden.node.as_str(), "billing-9");
    assert_eq!(overridden.service, from_file.service);
}

#[test]
fn one_report_lists_all_faults_with_their_lines() {
    let faulty = example()
        .replace("zone = \"hall-1\"", "zone = \"hall-9\"")
        .replace("name = \"billing-1\"", "name = \"Billing 1\"")
        .replace("admin = \"127.0.0.1:7103\"", "admin = \"127.0.0.1:7102\"")
        .replace("[store]\naddress", "[store]\nadress")
        .replace("\"127.0.0.1:7105\"", "\"localhost\"")
        .replace("extra = 10", "extra = \"10\"")
        .replace("ratio = 0.1", "ratio = 11")
        .replace("grace = \"30s\"", "grace = \"30 s\"")
        .replace("format = \"text\"", "format = \"xml\"")
        .replace("# [secrets]", "[secrets]")
        .replace("# seal-key-file", "seal-key-file");
    let report = report("many-faults", faulty.as_bytes());
    let expected = |kind: &FaultKind| {
        matches!(
            kind,
            FaultKind::UnknownZone { .. }
                | FaultKind::Name(_)
                | FaultKind::SameAddress { .. }
                | FaultKind::UnknownKey { nearest: Some("store.address"), .. }
                | FaultKind::Missing { key: "store.address" }
                | FaultKind::Address { .. }
                | FaultKind::WrongType { .. }
                | FaultKind::OutOfRange { .. }
                | FaultKind::Duration { .. }
                | FaultKind::Choice { .. }
                | FaultKind::MissingFile { .. }
        )
    };
    assert!(kinds(&report).into_iter().all(expected), "{report:?}");
    assert_eq!(report.faults.len(), 11, "{report:?}");

    let zone = report.faults.iter().find(|fault| matches!(fault.kind(), FaultKind::UnknownZone { .. }));
    let line = faulty.lines().position(|line| line.starts_with("zone =")).expect("the line exists") + 1;
    assert_eq!(zone.expect("the zone is a fault").line(), Some(line));

    let rendered = format!("{:?}", miette::Report::new(report));
    for text in ["node.toml", "hall-9", "hall-4", "did you mean `store.address`?", "11 faults"] {
        assert!(rendered.contains(text), "{text} is missing in\n{rendered}");
    }
}

#[test]
fn durations_without_a_number_or_known_unit_are_rejected() {
    for (text, millis) in [("1500ms", 1_500), ("2.5s", 2_500), ("0ms", 0), ("1m", 60_000)] {
        assert_eq!(parse_duration(text), Ok(Duration::from_millis(millis)), "{text}");
    }
    for text in ["", "s", "10", "-1s", "1e3s", "1..2s", "10 s", "5h", "NaNs", "99999999999999999999999s"] {
        assert!(parse_duration(text).is_err(), "{text}");
    }
}

#[test]
fn a_missing_file_and_an_invalid_flag_are_reported() {
    let report = load(Some(Path::new("/nonexistent/node.toml")), &[]).expect_err("there is no file");
    assert!(matches!(kinds(&report)[..], [FaultKind::UnreadableFile { .. }]));

    let flag = [SettingsOverride { key: "listen.admin", flag: "--admin", value: "everywhere".to_owned() }];
    let report = load(Some(&example_path()), &flag).expect_err("the flag is faulty");
    assert!(matches!(kinds(&report)[..], [FaultKind::Address { .. }]));
    assert!(report.faults[0].to_string().starts_with("flag --admin"), "{}", report.faults[0]);
}

#[test]
fn a_seal_key_does_not_leak_into_reports_or_debug_output() {
    let content = example().replace("# [secrets]", "[secrets]").replace("# seal-key-file", "seal-key-file");
    let file = SettingsFile::new("seal-key", content.as_bytes());
    fs::write(file.directory.join("billing.key"), "almost-a-key").expect("the key can be written");
    let report = load(Some(&file.path()), &[]).expect_err("the key is faulty");
    let rendered = format!("{:?}", miette::Report::new(report));
    assert!(rendered.contains("umberpond keygen") && !rendered.contains("almost-a-key"), "{rendered}");

    fs::write(file.directory.join("billing.key"), "ab".repeat(32)).expect("the key can be written");
    let config = load(Some(&file.path()), &[]).expect("the key is valid");
    let shown = format!("{config:?}").to_lowercase();
    assert!(!shown.contains("abababab"), "the private key is hidden");
    assert!(!shown.contains("171, 171"), "the private key's bytes are hidden");
}

#[test]
fn random_bytes_cause_a_report_and_never_a_panic() {
    fn property(bytes: Vec<u8>) -> TestResult {
        let file = SettingsFile::new("random", &bytes);
        let Err(report) = load(Some(&file.path()), &[]) else { return TestResult::failed() };
        let rendered = format!("{:?}", miette::Report::new(report));
        TestResult::from_bool(rendered.contains("umberpond::settings"))
    }
    QuickCheck::new().tests(200).quickcheck(property as fn(Vec<u8>) -> TestResult);
}

#[test]
fn the_link_rate_is_optional_and_must_not_be_negative() {
    let rate_with = |test: &str, text: &str| {
        let file = SettingsFile::new(test, format!("{}\n{text}", example()).as_bytes());
        load(Some(&file.path()), &[]).map(|config| config.link_rate)
    };
    assert_eq!(rate_with("link-absent", "").unwrap(), None);
    assert_eq!(rate_with("link-slow", "[link]\nmegabits-per-second = 10.0\n").unwrap(), Some(1_250_000.0));
    assert_eq!(rate_with("link-whole", "[link]\nmegabits-per-second = 200\n").unwrap(), Some(25_000_000.0));
    assert!(rate_with("link-below", "[link]\nmegabits-per-second = -1\n").is_err());
}
