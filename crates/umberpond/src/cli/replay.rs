//! `umberpond replay`: runs a recording through the decision core again.

use std::path::PathBuf;

use serde::Serialize;
use umberpond_node::recording::{RecordingFile, Replay, ReplayStep};

use super::output::{Format, print_json, print_line};
use super::{Exit, flags};

/// Settings of `umberpond replay`.
pub(super) struct ReplaySettings {
    file: PathBuf,
    only_decisions: bool,
    format: Format,
}

impl From<flags::Replay> for ReplaySettings {
    fn from(flags: flags::Replay) -> Self {
        Self { file: flags.file, only_decisions: flags.decisions, format: Format::from_flag(flags.json) }
    }
}

/// One input as it is printed.
#[derive(Debug, Serialize)]
struct ReplayLine {
    at_millis: u64,
    input: String,
    decisions: Vec<String>,
    agrees: bool,
}

impl ReplayLine {
    fn of(step: &ReplayStep) -> Self {
        Self {
            at_millis: step.at.0,
            input: step.input.summary(),
            decisions: step.decisions.clone(),
            agrees: step.agrees(),
        }
    }

    fn print(&self, format: Format) {
        if format == Format::Json {
            print_json(self);
            return;
        }
        print_line(&format!("{:>10} ms  {}", self.at_millis, self.input));
        for decision in &self.decisions {
            print_line(&format!("               -> {decision}"));
        }
        if !self.agrees {
            print_line("               !! the daemon decided otherwise");
        }
    }
}

/// Reads the recording and replays it.
pub(super) fn run(settings: &ReplaySettings) -> Exit {
    let bytes = match std::fs::read(&settings.file) {
        Ok(bytes) => bytes,
        Err(error) => {
            eprintln!("can't read `{}`: {error}", settings.file.display());
            return Exit::Usage;
        }
    };
    let recording = match RecordingFile::decode(&bytes) {
        Ok(recording) => recording,
        Err(error) => {
            eprintln!("`{}`: {error}", settings.file.display());
            return Exit::Usage;
        }
    };
    replay(recording, settings)
}

fn replay(recording: RecordingFile, settings: &ReplaySettings) -> Exit {
    if settings.format == Format::Text {
        let end = if recording.is_truncated { "; it was full, so later inputs are missing" } else { "" };
        let count = recording.entries.len();
        print_line(&format!("{}: {count} inputs{end}", recording.header.node()));
    }
    let mut disagreements = 0;
    for step in Replay::new(recording) {
        if !step.agrees() {
            disagreements += 1;
        }
        if !settings.only_decisions || !step.decisions.is_empty() || !step.agrees() {
            ReplayLine::of(&step).print(settings.format);
        }
    }
    if disagreements == 0 {
        return Exit::Ok;
    }
    eprintln!("{disagreements} inputs led to other decisions than in the daemon");
    Exit::Refused
}
