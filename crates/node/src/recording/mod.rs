//! A bounded recording of what the overlay core was told and what it decided, for `umberpond replay`.
//!
//! A replay starts from an empty core, so the recording keeps the *first* inputs of the process and stops when it
//! is full; it says so.

mod format;
mod replay;

use std::sync::Arc;

use parking_lot::Mutex;
use umberpond_model::{EndpointRecord, Timestamp};
use umberpond_overlay::interface::{Decision, Input};
use umberpond_overlay::{OverlayConfig, PeerMessage};

pub use format::{RecordedInput, RecordingEntry, RecordingError, RecordingFile, RecordingHeader};
pub use replay::{Replay, ReplayStep};

/// Most bytes that a recording takes in memory, whatever the number of its entries.
const MAX_RECORDING_BYTES: usize = 32 * 1024 * 1024;

/// The recording of one process.
#[derive(Debug)]
pub(crate) struct Recording {
    header: RecordingHeader,
    max_entries: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    entries: Vec<Arc<[u8]>>,
    /// The last input, until the next one tells that its decisions are complete.
    open: Option<RecordingEntry>,
    bytes: usize,
    is_full: bool,
}

impl Recording {
    /// An empty recording of at most `max_entries` inputs.
    pub(crate) fn new(max_entries: usize, config: &OverlayConfig, own: &EndpointRecord, seed: u64) -> Self {
        let header = RecordingHeader::new(config, own.clone(), seed);
        Self { header, max_entries, state: Mutex::new(State::default()) }
    }

    /// Notes an input, before the core takes it.
    pub(crate) fn input(&self, at: Timestamp, input: &Input<PeerMessage>) {
        if self.max_entries == 0 {
            return;
        }
        let mut state = self.state.lock();
        state.seal_open_entry();
        if state.entries.len() >= self.max_entries || state.bytes >= MAX_RECORDING_BYTES {
            state.is_full = true;
        }
        if !state.is_full {
            let input = RecordedInput::of(input);
            state.open = Some(RecordingEntry { at, input, decisions: Vec::new() });
        }
    }

    /// Notes a decision that the last input led to.
    pub(crate) fn decision(&self, decision: &Decision) {
        if let Some(entry) = &mut self.state.lock().open {
            entry.decisions.push(format!("{decision:?}"));
        }
    }

    /// The recording so far, as bytes of a [`RecordingFile`].
    pub(crate) fn export(&self) -> Vec<u8> {
        let mut state = self.state.lock();
        state.seal_open_entry();
        RecordingFile::encode(&self.header, &state.entries, state.is_full)
    }
}

impl State {
    fn seal_open_entry(&mut self) {
        if let Some(entry) = self.open.take() {
            let bytes: Arc<[u8]> = bitcode::encode(&entry).into();
            self.bytes += bytes.len();
            self.entries.push(bytes);
        }
    }
}
