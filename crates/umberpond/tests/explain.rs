//! Tests of `umberpond explain` with the logs of several nodes.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Temporary directory for log files, removed when dropped.
struct Logs {
    folder: PathBuf,
}

impl Logs {
    fn new(test: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("umberpond-explain-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Self { folder }
    }

    fn write(&self, node: &str, lines: &[String]) -> PathBuf {
        let file = self.folder.join(format!("{node}.log"));
        std::fs::write(&file, lines.join("\n")).unwrap();
        file
    }
}

impl Drop for Logs {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn line(second: u32, event: u64, name: &str, fields: &str) -> String {
    format!(
        r#"{{"timestamp":"2026-12-02T10:00:{second:02}.000000+00:00","level":"INFO","message":"m","kvs":{{"event":{event},"name":"{name}",{fields}}}}}"#
    )
}

fn explain(request: &str, files: &[&Path]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_umberpond"));
    command.arg("explain").arg(request).args(files).output().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn overload_refusal_is_explained_with_the_slots_and_queue_of_the_back_ends_node() {
    let logs = Logs::new("overload");
    let refused = r#""request":"r1","service":"archive","reason":"overloaded","running":18,"slots":18,"waiting":27,"patience_millis":105"#;
    let beside = logs.write(
        "archive-1",
        &[
            line(2, 4024, "admission-refused", refused),
            line(2, 4024, "admission-refused", &refused.replace("r1", "r2")),
            "not a line of ours".to_owned(),
        ],
    );
    let given_up = r#""request":"r1","outcome":"rejected","reason":"overloaded","attempts":1,"total_millis":9,"allowed_millis":2000,"version":5"#;
    let caller = logs.write(
        "web-1",
        &[line(1, 2003, "version-activated", r#""version":5"#), line(3, 4021, "request-given-up", given_up)],
    );
    let output = explain("r1", &[&caller, &beside]);
    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.starts_with("r1: It did not run and never will: web-1 gave it up after 1 attempts and 9 of 2000 ms, by version 5, because of overloaded."), "{text}");
    assert!(text.contains("archive-1: 18 of 18 slots taken, 27 waiting, 105 ms allowed to wait"), "{text}");
    let order: Vec<&str> = text.lines().skip(1).map(|line| line.split(' ').nth(1).unwrap()).collect();
    assert_eq!(order, ["archive-1", "web-1"], "expected lines in time order and none of other requests");
}

#[test]
fn lost_response_is_explained_as_possibly_executed() {
    let logs = Logs::new("lost");
    let lost = r#""request":"r1","instance":"i-7","reason":"back-end-closed","elapsed_millis":3"#;
    let beside = logs.write("billing-1", &[line(1, 4025, "exchange-lost", lost)]);
    let given_up = r#""request":"r1","outcome":"unknown","reason":"back-end-closed","attempts":1,"total_millis":5,"allowed_millis":800,"version":4"#;
    let caller = logs.write("web-1", &[line(2, 4021, "request-given-up", given_up)]);
    let text = stdout(&explain("r1", &[&beside, &caller]));
    assert!(
        text.contains("It may have run") && text.contains("billing-1 lost the exchange with back end i-7"),
        "{text}"
    );
}

#[test]
fn request_without_route_is_distinguished_from_an_unlogged_one() {
    let logs = Logs::new("route");
    let turned = r#""request":"r1","reason":"no-route""#;
    let caller = logs.write("web-1", &[line(1, 4022, "request-turned-away", turned)]);
    let text = stdout(&explain("r1", &[&caller]));
    assert!(text.contains("web-1 answered it without an attempt: no-route"), "{text}");
    let unknown = explain("r9", &[&caller]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(stdout(&unknown).contains("None of these logs mentions it"));
    assert_eq!(explain("r1", &[&logs.folder.join("missing.log")]).status.code(), Some(2));
}
