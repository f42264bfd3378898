//! Settings are checked whole: every fault in one report, with its line and its mend.

use std::fs;
use std::path::{Path, PathBuf};

use quickcheck::{QuickCheck, TestResult};
use umberpond_node::settings::{FaultKind, SettingsOverride, SettingsReport, load};

/// A settings file in a directory of its own, removed at the end.
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
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/node.toml")
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
fn example_is_valid_and_flags_win() {
    let from_file = load(Some(&example_path()), &[]).expect("the example is valid");
    assert_eq!(from_file.node.as_str(), "billing-1");
    assert_eq!(from_file.seeds.len(), 2);

    let flags = [
        SettingsOverride { key: "node.name", flag: "--name", value: "billing-9".to_owned() },
        SettingsOverride { key: "overlay.seeds", flag: "--seeds", value: "127.0.0.1:1".to_owned() },
    ];
    let overridden = load(Some(&example_path()), &flags).expect("the flags are valid");
    assert_eq!(overridden.node.as_str(), "billing-9");
    assert_eq!(overridden.seeds.len(), 1);
    assert_eq!(overridden.service, from_file.service);
}

#[test]
fn all_faults_stand_in_one_report_with_their_lines() {
    let faulty = example()
        .replace("zone = \"hall-1\"", "zone = \"hall-9\"")
        .replace("name = \"billing-1\"", "name = \"Billing 1\"")
        .replace("admin = \"127.0.0.1:7103\"", "admin = \"127.0.0.1:7102\"")
        .replace("[platform]\naddress", "[platform]\nadress")
        .replace("# Object API of the platform. Only a few nodes at a time connect to it.\naddress", "adress")
        .replace("\"127.0.0.1:7204\"", "\"localhost\"")
        .replace("retries-per-thousand = 100", "retries-per-thousand = \"100\"")
        .replace("connections = 4096", "connections = 0")
        .replace("timeout = \"30s\"", "timeout = \"30 s\"")
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
                | FaultKind::UnknownKey { nearest: Some("platform.address"), .. }
                | FaultKind::Missing { key: "platform.address" }
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
    let line = faulty.lines().position(|line| line.starts_with("zone")).expect("the line is there") + 1;
    assert_eq!(zone.expect("the zone is a fault").line(), Some(line));

    let rendered = format!("{:?}", miette::Report::new(report));
    for text in ["node.toml", "hall-9", "hall-4", "did you mean `platform.address`?", "11 faults"] {
        assert!(rendered.contains(text), "{text} is missing in\n{rendered}");
    }
}

#[test]
fn missing_file_and_faulty_flag_are_told() {
    let report = load(Some(Path::new("/nonexistent/node.toml")), &[]).expect_err("there is no file");
    assert!(matches!(kinds(&report)[..], [FaultKind::UnreadableFile { .. }]));

    let flag = [SettingsOverride { key: "listen.admin", flag: "--admin", value: "everywhere".to_owned() }];
    let report = load(Some(&example_path()), &flag).expect_err("the flag is faulty");
    assert!(matches!(kinds(&report)[..], [FaultKind::Address { .. }]));
    assert!(report.faults[0].to_string().starts_with("flag --admin"), "{}", report.faults[0]);
}

#[test]
fn edge_takes_no_back_end() {
    let report = report("edge", example().replace("edge = false", "edge = true").as_bytes());
    assert!(matches!(kinds(&report)[..], [FaultKind::NotAtEdge { .. }, FaultKind::NotAtEdge { .. }]));
}

#[test]
fn seal_key_is_not_in_the_report_of_a_faulty_key_file() {
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
fn random_bytes_are_a_report_and_never_a_panic() {
    fn property(bytes: Vec<u8>) -> TestResult {
        let file = SettingsFile::new("random", &bytes);
        let Err(report) = load(Some(&file.path()), &[]) else { return TestResult::failed() };
        let rendered = format!("{:?}", miette::Report::new(report));
        TestResult::from_bool(rendered.contains("umberpond::settings"))
    }
    QuickCheck::new().tests(200).quickcheck(property as fn(Vec<u8>) -> TestResult);
}
