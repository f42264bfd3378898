//! Records the events of a run with their virtual times.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::Instant;
use umberpond_model::{ContentHash, Millis, NodeName, Version};
use umberpond_telemetry::{Event as NodeEvent, EventObserver};

use crate::history::{Event, Recorded};

/// Activation of a version on a node, before it is compared with the chain.
#[derive(Debug, Clone)]
pub struct Activation {
    /// Index of the node.
    pub node_index: usize,
    /// The node.
    pub node: NodeName,
    /// Number of the process of this node, counted from 1.
    pub process: u64,
    /// The version.
    pub version: Version,
    /// Hash of the activated configuration.
    pub content: ContentHash,
    /// Number of secrets that the node could open.
    pub secrets: usize,
    /// Virtual time of the activation.
    pub at: Millis,
}

/// Records what happens in a run. Clones share one record.
#[derive(Debug, Clone)]
pub struct Recorder {
    started_at: Instant,
    inner: Arc<Mutex<Record>>,
}

/// The record of a run.
#[derive(Debug, Default)]
pub struct Record {
    /// Events that need no comparison with the chain.
    pub events: Vec<Recorded>,
    /// Activations of versions on nodes.
    pub activations: Vec<Activation>,
    /// Versions of the head, each with the time at which it was first seen.
    pub head_moves: Vec<(Millis, Version)>,
    /// Human-readable trace.
    pub trace: Vec<String>,
}

impl Recorder {
    /// Creates an empty record that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self { started_at: Instant::now(), inner: Arc::default() }
    }

    /// Virtual time since the start.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis(u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Records an event at the current virtual time.
    pub fn record(&self, event: Event) {
        let at = self.now();
        let mut inner = self.inner.lock();
        inner.trace.push(format!("{:>7} ms {event:?}", at.0));
        inner.events.push(Recorded { at, event });
    }

    /// Records that the head is at a newer version.
    pub fn head_moved(&self, version: Version) {
        let at = self.now();
        self.trace(&format!("platform: the head is at version {version}"));
        self.inner.lock().head_moves.push((at, version));
    }

    /// Takes everything recorded so far.
    #[must_use]
    pub fn take(&self) -> Record {
        std::mem::take(&mut *self.inner.lock())
    }

    /// Adds a line to the trace.
    pub fn trace(&self, line: &str) {
        let at = self.now();
        self.inner.lock().trace.push(format!("{:>7} ms {line}", at.0));
    }
}

/// Receives the events of one process.
#[derive(Debug)]
pub struct ProcessObserver {
    /// Index of the node.
    pub node_index: usize,
    /// The node.
    pub node: NodeName,
    /// Number of the process of this node, counted from 1.
    pub process: u64,
    /// Recorder of the run.
    pub recorder: Recorder,
}

impl EventObserver for ProcessObserver {
    fn observe(&self, event: &NodeEvent) {
        self.recorder.trace(&format!("{}: {event:?}", self.node));
        if let NodeEvent::VersionActivated { version, content, secrets, .. } = event {
            let activation = Activation {
                node_index: self.node_index,
                node: self.node.clone(),
                process: self.process,
                version: *version,
                content: *content,
                secrets: usize::try_from(*secrets).unwrap_or(usize::MAX),
                at: self.recorder.now(),
            };
            self.recorder.inner.lock().activations.push(activation);
        }
    }
}
