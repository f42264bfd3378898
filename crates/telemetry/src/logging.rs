//! Log output through `logforth`: one line per event on standard output, as text or as JSON.

use std::panic::Location;
use std::sync::Arc;

use logforth::core::Logger;
use logforth::kv::{Key, Value};
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter, Record};
use serde::{Deserialize, Serialize};

use crate::output::{Output, OutputAppend};
use crate::{Event, Field, FieldValue, Severity};

/// Log target of all events.
const LOG_TARGET: &str = "umberpond";

/// Format of the log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Creates a logger that writes to standard output, without registering it globally.
pub(crate) fn logger(format: LogFormat, min_severity: Severity) -> (Logger, Arc<Output>) {
    let output = Output::start();
    let append = match format {
        LogFormat::Text => OutputAppend::new(Arc::clone(&output), TextLayout::default().no_color()),
        LogFormat::Json => OutputAppend::new(Arc::clone(&output), JsonLayout::default()),
    };
    let filter = LevelFilter::MoreSevereEqual(level(min_severity));
    let logger =
        logforth::core::builder().dispatch(|dispatch| dispatch.filter(filter).append(append)).build();
    (logger, output)
}

/// Writes `event`, emitted at `location`, to `logger`.
pub(crate) fn log(logger: &Logger, event: &Event, location: &'static Location<'static>) {
    let fields = event.fields();
    let mut values = Vec::with_capacity(fields.len() + 2);
    values.push((Key::new("event"), Value::u64(u64::from(event.number()))));
    values.push((Key::new("name"), Value::static_str(event.slug())));
    values.extend(fields.iter().map(key_value));
    let builder = Record::builder()
        .level(level(event.severity()))
        .target_static(LOG_TARGET)
        .file_static(location.file())
        .line(Some(location.line()))
        .key_values(values.as_slice());
    logger.log(&builder.payload(format_args!("{}", event.meaning())).build());
}

fn key_value(field: &Field) -> (Key<'_>, Value<'_>) {
    let value = match &field.value {
        FieldValue::Number(number) => Value::u64(*number),
        FieldValue::Text(text) => Value::str(text),
    };
    (Key::new(field.name), value)
}

const fn level(severity: Severity) -> Level {
    match severity {
        Severity::Debug => Level::Debug,
        Severity::Info => Level::Info,
        Severity::Warn => Level::Warn,
        Severity::Error => Level::Error,
    }
}
