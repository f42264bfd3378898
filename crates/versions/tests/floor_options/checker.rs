//! What a run recorded, and the promise that is checked over it.

use std::collections::BTreeMap;

use umberpond_model::Version;

/// One thing that happened to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The process ended; a new one starts at once.
    Restarted,
    /// A version was put in force.
    Activated(Version),
}

/// An event, its time in milliseconds and its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    pub at: u64,
    pub node: usize,
    pub event: Event,
}

/// A node that put an older version in force than it had before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Regression {
    pub node: usize,
    pub at: u64,
    pub from: Version,
    pub to: Version,
}

/// First regression of a history, across restarts.
pub fn first_regression(history: &[Entry]) -> Option<Regression> {
    let mut newest: BTreeMap<usize, Version> = BTreeMap::new();
    for entry in history {
        let Event::Activated(to) = entry.event else { continue };
        let from = newest.insert(entry.node, to).unwrap_or_default();
        if to < from {
            return Some(Regression { node: entry.node, at: entry.at, from, to });
        }
    }
    None
}

/// Milliseconds without a version in force after each restart, up to `end`; sorted.
pub fn unready_times(history: &[Entry], end: u64) -> Vec<u64> {
    let mut since: BTreeMap<usize, u64> = BTreeMap::new();
    let mut times = Vec::new();
    for entry in history {
        match entry.event {
            Event::Restarted => {
                since.entry(entry.node).or_insert(entry.at);
            }
            Event::Activated(_) => {
                times.extend(since.remove(&entry.node).map(|start| entry.at - start));
            }
        }
    }
    times.extend(since.values().map(|start| end - start));
    times.sort_unstable();
    times
}
