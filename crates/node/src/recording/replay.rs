//! Runs a recording through the same core again.

use umberpond_model::Timestamp;
use umberpond_overlay::OverlayNode;
use umberpond_overlay::interface::Output;

use super::{RecordedInput, RecordingFile};

/// One input of a replay.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplayStep {
    /// When, on the process clock of the recorded node.
    pub at: Timestamp,
    /// The input.
    pub input: RecordedInput,
    /// What the core decides now.
    pub decisions: Vec<String>,
    /// What it decided in the daemon.
    pub recorded: Vec<String>,
}

impl ReplayStep {
    /// Whether the core decides as it did in the daemon.
    #[must_use]
    pub fn agrees(&self) -> bool {
        self.decisions == self.recorded
    }
}

/// A replay under way.
#[derive(Debug)]
pub struct Replay {
    core: OverlayNode,
    entries: std::vec::IntoIter<super::RecordingEntry>,
}

impl Replay {
    /// Starts a core as the recorded one was started.
    #[must_use]
    pub fn new(file: RecordingFile) -> Self {
        let core = OverlayNode::new(file.header.config(), file.header.own(), file.header.seed());
        Self { core, entries: file.entries.into_iter() }
    }
}

impl Iterator for Replay {
    type Item = ReplayStep;

    fn next(&mut self) -> Option<ReplayStep> {
        let entry = self.entries.next()?;
        let outputs = self.core.on(entry.at, entry.input.clone().into_input());
        let decisions = outputs
            .into_iter()
            .filter_map(|output| match output {
                Output::Decision(decision) => Some(format!("{decision:?}")),
                _ => None,
            })
            .collect();
        Some(ReplayStep { at: entry.at, input: entry.input, decisions, recorded: entry.decisions })
    }
}
