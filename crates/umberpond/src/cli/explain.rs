//! `umberpond explain`: collects the log lines of one request from several nodes and reports where it ended
//! and why.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::output::Format;
use super::{Exit, flags};

/// Numbers of the events about the outcome of a request; see docs/EVENTS.md.
mod number {
    pub(super) const SERVED: u64 = 4020;
    pub(super) const GIVEN_UP: u64 = 4021;
    pub(super) const TURNED_AWAY: u64 = 4022;
    pub(super) const DUPLICATE_REFUSED: u64 = 4005;
    pub(super) const ADMISSION_REFUSED: u64 = 4024;
    pub(super) const EXCHANGE_LOST: u64 = 4025;
}

/// Fields common to all lines, which are left out of the output.
const COMMON_FIELDS: [&str; 3] = ["event", "name", "request"];

/// Settings of `umberpond explain`.
pub(super) struct ExplainSettings {
    request: String,
    files: Vec<PathBuf>,
    format: Format,
}

impl From<flags::Explain> for ExplainSettings {
    fn from(flags: flags::Explain) -> Self {
        Self { request: flags.request, files: flags.files, format: Format::from_flag(flags.json) }
    }
}

/// The parts of a JSON log line that are used here.
#[derive(Deserialize)]
struct LogLine {
    timestamp: String,
    message: String,
    kvs: Map<String, Value>,
}

/// A log line of one node about the request.
#[derive(Debug, Serialize)]
struct LogEntry {
    timestamp: String,
    /// Name of the log file, without its extension.
    log: String,
    event: u64,
    name: String,
    message: String,
    fields: Map<String, Value>,
}

/// The log lines of the request, and how it ended.
#[derive(Debug, Serialize)]
struct Explanation {
    request: String,
    conclusion: String,
    #[serde(rename = "words")]
    entries: Vec<LogEntry>,
}

/// Reads the logs and prints the explanation. Returns [`Exit::Refused`] if no line mentions the request.
pub(super) fn run(settings: &ExplainSettings) -> Exit {
    let mut entries = Vec::new();
    for file in &settings.files {
        if let Err(error) = read(file, &settings.request, &mut entries) {
            eprintln!("can't read `{}`: {error}", file.display());
            return Exit::Usage;
        }
    }
    // The clocks of different machines differ slightly; the sort is stable, so lines of one log with equal
    // times keep their order.
    entries.sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
    let conclusion = conclude(&entries);
    let is_found = !entries.is_empty();
    let explanation = Explanation { request: settings.request.clone(), conclusion, entries };
    settings.format.print(&explanation, text);
    if is_found { Exit::Ok } else { Exit::Refused }
}

/// Adds the lines of `file` that mention the request. Skips lines that are no events of this program.
fn read(file: &Path, request: &str, entries: &mut Vec<LogEntry>) -> io::Result<()> {
    let log = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    for line in BufReader::new(File::open(file)?).split(b'\n') {
        let line = line?;
        let Ok(LogLine { timestamp, message, mut kvs }) = serde_json::from_slice(&line) else { continue };
        if kvs.get("request").and_then(Value::as_str) != Some(request) {
            continue;
        }
        let event = kvs.get("event").and_then(Value::as_u64).unwrap_or(0);
        let name = kvs.get("name").and_then(Value::as_str).unwrap_or_default().to_owned();
        kvs.retain(|field, _| !COMMON_FIELDS.contains(&field.as_str()));
        entries.push(LogEntry { timestamp, log: log.clone(), event, name, message, fields: kvs });
    }
    Ok(())
}

/// Summarizes where the request ended and why.
fn conclude(entries: &[LogEntry]) -> String {
    let last_of = |wanted: u64| entries.iter().rev().find(|entry| entry.event == wanted);
    if let Some(entry) = last_of(number::GIVEN_UP) {
        return given_up(entry, entries);
    }
    if let Some(entry) = last_of(number::SERVED) {
        return format!(
            "Answered with status {} by {} after {} ms, {} of them waiting.",
            field(entry, "status"),
            field(entry, "node"),
            field(entry, "total_millis"),
            field(entry, "waited_millis")
        );
    }
    if let Some(entry) = last_of(number::TURNED_AWAY) {
        return format!("{} answered it without an attempt: {}.", entry.log, field(entry, "reason"));
    }
    match entries.last() {
        Some(entry) => format!(
            "None of these logs shows how it ended; the last entry is {} by {}. One response in 64 is logged, and \
             event 1017 reports suppressed lines.",
            entry.name, entry.log
        ),
        None => {
            "None of these logs mentions it. One response in 64 is logged, and event 1017 reports suppressed lines."
                .to_owned()
        }
    }
}

fn given_up(entry: &LogEntry, entries: &[LogEntry]) -> String {
    let promise = if field(entry, "outcome") == "rejected" {
        "It did not run and never will"
    } else {
        "It may have run"
    };
    let beside_back_end = entries.iter().rev().find(|entry| {
        [number::ADMISSION_REFUSED, number::EXCHANGE_LOST, number::DUPLICATE_REFUSED].contains(&entry.event)
    });
    let there = match beside_back_end {
        Some(there) if there.event == number::ADMISSION_REFUSED => format!(
            " The last refusal beside a back end was by {}: {} of {} slots taken, {} waiting, {} ms allowed to wait.",
            there.log,
            field(there, "running"),
            field(there, "slots"),
            field(there, "waiting"),
            field(there, "patience_millis")
        ),
        Some(there) if there.event == number::EXCHANGE_LOST => format!(
            " {} lost the exchange with back end {} after {} ms: {}.",
            there.log,
            field(there, "instance"),
            field(there, "elapsed_millis"),
            field(there, "reason")
        ),
        Some(there) => format!(" {} had admitted it before.", there.log),
        None => " No node beside a back end has logged anything about it.".to_owned(),
    };
    format!(
        "{promise}: {} gave it up after {} attempts and {} of {} ms, by version {}, because of {}.{there}",
        entry.log,
        field(entry, "attempts"),
        field(entry, "total_millis"),
        field(entry, "allowed_millis"),
        field(entry, "version"),
        field(entry, "reason")
    )
}

/// Returns a field as text, without quotes; empty if it is missing.
fn field(entry: &LogEntry, name: &str) -> String {
    match entry.fields.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
        None => String::new(),
    }
}

fn text(explanation: &Explanation) -> String {
    let mut text = format!("{}: {}", explanation.request, explanation.conclusion);
    for entry in &explanation.entries {
        let fields: Vec<String> =
            entry.fields.keys().map(|name| format!("{name}={}", field(entry, name))).collect();
        text.push_str(&format!(
            "\n{} {} {} {}  {}",
            entry.timestamp,
            entry.log,
            entry.event,
            entry.name,
            fields.join(" ")
        ));
    }
    text
}
