//! Tests of the subcommands that need no node, and of the exit code when a node is unreachable.

mod support;

use std::fs;
use std::os::unix::fs::PermissionsExt;

use support::{directory, json, umberpond};

#[tokio::test]
async fn every_subcommand_has_help_and_usage_errors_exit_with_code_2() {
    for command in ["node", "apply", "withdraw", "status", "submission", "check", "plan", "keygen"] {
        let help = umberpond(&[command, "--help"]).await;
        assert_eq!(help.status.code(), Some(0), "{command}");
        let text = String::from_utf8(help.stdout).expect("text");
        assert!(text.starts_with(&format!("umberpond {command}\n")), "{text}");
        assert_eq!(text.matches("umberpond keygen\n").count(), usize::from(command == "keygen"), "{text}");
    }
    assert_eq!(umberpond(&["--help"]).await.status.code(), Some(0));
    assert_eq!(umberpond(&["nonsense"]).await.status.code(), Some(2));
    assert_eq!(umberpond(&["node", "--config", "/nonexistent"]).await.status.code(), Some(2));
    assert_eq!(umberpond(&["submission", "not-hex"]).await.status.code(), Some(2));
}

#[tokio::test]
async fn every_node_flag_is_documented_for_operators() {
    let page = fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATING.md"))
        .expect("the page can be read");
    let help = umberpond(&["node", "--help"]).await;
    let help = String::from_utf8(help.stdout).expect("text");
    let words = help.split_whitespace().map(|word| word.trim_end_matches([',', '.']));
    let flags: Vec<&str> = words.filter(|word| word.starts_with("--") && *word != "--help").collect();
    assert!(flags.len() > 15, "{flags:?}");
    for flag in flags {
        assert!(page.contains(&format!("`{flag}`")), "{flag} is missing in docs/OPERATING.md");
    }
}

#[tokio::test]
async fn keygen_prints_the_public_key_only_and_overwrites_nothing() {
    let file = directory("keygen").join("private.key");
    let path = file.to_str().expect("text");
    let made = umberpond(&["keygen", path, "--json"]).await;
    assert_eq!(made.status.code(), Some(0));
    let private = fs::read_to_string(&file).expect("the private key is there");
    assert_eq!(json(&made)["seal_key"].as_str().expect("a key").len(), 64);
    assert!(!String::from_utf8_lossy(&made.stdout).contains(private.trim()));
    let mode = fs::metadata(&file).expect("the file is there").permissions().mode();
    assert_eq!(mode & 0o077, 0, "others may not read the private key");

    assert_eq!(umberpond(&["keygen", path]).await.status.code(), Some(2));
    assert_eq!(fs::read_to_string(&file).expect("the private key is there"), private);
}

#[tokio::test]
async fn check_accepts_the_examples_and_rejects_a_faulty_bundle() {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let gridwell = format!("{examples}/gridwell");
    let tasmania = format!("{examples}/tasmania");
    for directories in [vec![gridwell.as_str()], vec![&gridwell, &tasmania]] {
        let mut arguments = vec!["check", "--json"];
        arguments.extend(&directories);
        let checked = umberpond(&arguments).await;
        assert_eq!(checked.status.code(), Some(0), "{checked:?}");
        assert!(json(&checked)["services"].as_u64().expect("a count") > 0);
    }

    let faulty = directory("faulty-bundle");
    fs::write(faulty.join("a.toml"), "schema = 1\n[[service]]\nname = \"Web\"\n").expect("writes");
    let checked = umberpond(&["check", "--json", faulty.to_str().expect("text")]).await;
    assert_eq!(checked.status.code(), Some(1), "{checked:?}");
    assert!(json(&checked)["faults"].as_array().expect("a list").len() > 1);
}

#[tokio::test]
async fn unreachable_node_exits_with_code_5() {
    // No process listens on port 1 of the loopback address.
    let output = umberpond(&["status", "--node", "127.0.0.1:1"]).await;
    assert_eq!(output.status.code(), Some(5), "{output:?}");
}
