//! `umberpond explain`: gathers the lines of one request from several nodes' logs and says where it ended, and why.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::output::Format;
use super::{Exit, flags};

/// Numbers of the events that tell how a request ended or went on; see docs/EVENTS.md.
mod number {
    pub(super) const SERVED: u64 = 4020;
    pub(super) const GIVEN_UP: u64 = 4021;
    pub(super) const TURNED_AWAY: u64 = 4022;
    pub(super) const DUPLICATE_REFUSED: u64 = 4005;
    pub(super) const ADMISSION_REFUSED: u64 = 4024;
    pub(super) const EXCHANGE_LOST: u64 = 4025;
}

/// Fields that every line has and that say nothing of the request.
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

/// One line of a log, as far as it is read here.
#[derive(Deserialize)]
struct LogLine {
    timestamp: String,
    message: String,
    kvs: Map<String, Value>,
}

/// What one node said of the request.
#[derive(Debug, Serialize)]
struct Word {
    timestamp: String,
    /// Name of the log file, without its ending.
    log: String,
    event: u64,
    name: String,
    message: String,
    fields: Map<String, Value>,
}

/// The request's way, and how it ended.
#[derive(Debug, Serialize)]
struct Explanation {
    request: String,
    conclusion: String,
    words: Vec<Word>,
}

/// Reads the logs and prints the explanation. Refused if no line names the request.
pub(super) fn run(settings: &ExplainSettings) -> Exit {
    let mut words = Vec::new();
    for file in &settings.files {
        if let Err(error) = read(file, &settings.request, &mut words) {
            eprintln!("can't read `{}`: {error}", file.display());
            return Exit::Usage;
        }
    }
    // Times of day of different machines differ a little; the sort is stable, so each log's own order stays.
    words.sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
    let conclusion = conclude(&words);
    let is_found = !words.is_empty();
    let explanation = Explanation { request: settings.request.clone(), conclusion, words };
    settings.format.print(&explanation, text);
    if is_found { Exit::Ok } else { Exit::Refused }
}

/// Adds the lines of `file` that name the request. Lines that are no events of this program are passed over.
fn read(file: &Path, request: &str, words: &mut Vec<Word>) -> io::Result<()> {
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
        words.push(Word { timestamp, log: log.clone(), event, name, message, fields: kvs });
    }
    Ok(())
}

/// Where the request ended and why, in a sentence.
fn conclude(words: &[Word]) -> String {
    let last_of = |wanted: u64| words.iter().rev().find(|word| word.event == wanted);
    if let Some(word) = last_of(number::GIVEN_UP) {
        return given_up(word, words);
    }
    if let Some(word) = last_of(number::SERVED) {
        return format!(
            "Answered with status {} by {} after {} ms, {} of them waiting.",
            field(word, "status"),
            field(word, "node"),
            field(word, "total_millis"),
            field(word, "waited_millis")
        );
    }
    if let Some(word) = last_of(number::TURNED_AWAY) {
        return format!("{} answered it without an attempt: {}.", word.log, field(word, "reason"));
    }
    match words.last() {
        Some(word) => format!(
            "Its end is on none of these logs; the last word is {} by {}. One answer in 64 is logged, and event 1017 \
             tells of lines left out.",
            word.name, word.log
        ),
        None => {
            "None of these logs names it. One answer in 64 is logged, and event 1017 tells of lines left out."
                .to_owned()
        }
    }
}

fn given_up(word: &Word, words: &[Word]) -> String {
    let promise = if field(word, "outcome") == "rejected" {
        "It did not run and never will"
    } else {
        "It may have run"
    };
    let beside_back_end = words.iter().rev().find(|word| {
        [number::ADMISSION_REFUSED, number::EXCHANGE_LOST, number::DUPLICATE_REFUSED].contains(&word.event)
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
        None => " No node beside a back end says anything of it.".to_owned(),
    };
    format!(
        "{promise}: {} gave it up after {} attempts and {} of {} ms, by version {}, because of {}.{there}",
        word.log,
        field(word, "attempts"),
        field(word, "total_millis"),
        field(word, "allowed_millis"),
        field(word, "version"),
        field(word, "reason")
    )
}

/// A field as text, without quotes; empty if it is missing.
fn field(word: &Word, name: &str) -> String {
    match word.fields.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
        None => String::new(),
    }
}

fn text(explanation: &Explanation) -> String {
    let mut text = format!("{}: {}", explanation.request, explanation.conclusion);
    for word in &explanation.words {
        let fields: Vec<String> =
            word.fields.keys().map(|name| format!("{name}={}", field(word, name))).collect();
        text.push_str(&format!(
            "\n{} {} {} {}  {}",
            word.timestamp,
            word.log,
            word.event,
            word.name,
            fields.join(" ")
        ));
    }
    text
}
