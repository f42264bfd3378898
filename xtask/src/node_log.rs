//! Lines of a node's JSON log, as far as the tasks of this crate read them.

use serde::Deserialize;

/// Number of the event that tells an open listener, from the daemon's catalogue.
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
    /// Version that the event is about; 0 if it is about none.
    #[serde(default)]
    pub version: u64,
}

/// A listener that a node has opened.
pub struct OpenListener {
    /// Name of the listener.
    pub name: String,
    /// Its address; absent if it can't be read.
    pub address: Option<std::net::SocketAddr>,
}

/// Fields of the event on `line`; `None` if the line is no event.
pub fn parse(line: &str) -> Option<LogFields> {
    serde_json::from_str::<LogLine>(line).ok().map(|line| line.kvs)
}

/// The listener that `line` tells of, if it tells of one.
pub fn open_listener(line: &str) -> Option<OpenListener> {
    let fields = parse(line).filter(|fields| fields.event == LISTENING_EVENT)?;
    Some(OpenListener { address: fields.address.parse().ok(), name: fields.listener })
}
