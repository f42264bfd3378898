//! Parses the lines of a node's JSON log that the tasks read.

use serde::Deserialize;

/// Number of the `listening` event in the daemon's event catalogue.
const LISTENING_EVENT: u64 = 1002;

#[derive(Deserialize)]
struct LogLine {
    kvs: LogFields,
}

/// Fields of one event.
#[derive(Deserialize)]
pub struct LogFields {
    /// Number of the event in the daemon's catalogue.
    pub event: u64,
    #[serde(default)]
    listener: String,
    #[serde(default)]
    address: String,
    /// Configuration version that the event names; 0 if it names none.
    #[serde(default)]
    pub version: u64,
}

/// A listener that a node has opened.
pub struct OpenListener {
    /// Name of the listener.
    pub name: String,
    /// Its address; `None` if it can't be parsed.
    pub address: Option<std::net::SocketAddr>,
}

/// Parses the fields of the event on `line`; `None` if the line is not an event.
pub fn parse(line: &str) -> Option<LogFields> {
    serde_json::from_str::<LogLine>(line).ok().map(|line| line.kvs)
}

/// The listener that was opened, if `line` is a `listening` event.
pub fn open_listener(line: &str) -> Option<OpenListener> {
    let fields = parse(line).filter(|fields| fields.event == LISTENING_EVENT)?;
    Some(OpenListener { address: fields.address.parse().ok(), name: fields.listener })
}
