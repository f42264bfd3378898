//! Prints results as JSON or as text.

use std::io::Write;

use serde::Serialize;

/// Output format of a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Format {
    /// Human-readable text.
    Text,
    /// JSON.
    Json,
}

impl Format {
    pub(super) const fn from_flag(json: bool) -> Self {
        if json { Self::Json } else { Self::Text }
    }

    /// Prints `result` as JSON or as the text that `text` returns.
    pub(super) fn print<T: Serialize>(self, result: &T, text: impl FnOnce(&T) -> String) {
        match self {
            Self::Text => print_line(&text(result)),
            Self::Json => print_json(result),
        }
    }

    /// Prints a diagnostic: as JSON on standard output, or as a report on standard error.
    pub(super) fn report<D>(self, diagnostic: D)
    where
        D: miette::Diagnostic + Send + Sync + Serialize + 'static,
    {
        match self {
            Self::Text => eprintln!("{:?}", miette::Report::new(diagnostic)),
            Self::Json => print_json(&diagnostic),
        }
    }
}

/// Prints a line. A closed standard output is not treated as a failure.
pub(super) fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints one line of JSON.
pub(super) fn print_json(result: &impl Serialize) {
    match serde_json::to_string(result) {
        Ok(line) => print_line(&line),
        Err(error) => eprintln!("the result can't be written as JSON: {error}"),
    }
}
