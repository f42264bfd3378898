//! When each version came in force on one node.

use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use umberpond_model::Version;
use umberpond_telemetry::{Event, EventObserver};

/// A version that came in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Activation {
    /// The version.
    pub version: u64,
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_millis: u64,
}

/// Sees the activations of one node.
#[derive(Debug, Default)]
pub(crate) struct ActivationLog {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    activations: Vec<Activation>,
    failures: u64,
}

impl ActivationLog {
    /// Activations so far, oldest first.
    pub(crate) fn activations(&self) -> Vec<Activation> {
        self.state.lock().activations.clone()
    }

    /// The version in force.
    pub(crate) fn newest(&self) -> Option<Version> {
        self.state.lock().activations.last().map(|last| Version(last.version))
    }

    /// Versions that could not be put in force.
    pub(crate) fn failures(&self) -> u64 {
        self.state.lock().failures
    }
}

impl EventObserver for ActivationLog {
    fn observe(&self, event: &Event) {
        match event {
            Event::VersionActivated { version, .. } => {
                let activation = Activation { version: version.0, at_unix_millis: unix_millis() };
                self.state.lock().activations.push(activation);
            }
            Event::ActivationFailed { .. } => self.state.lock().failures += 1,
            _ => {}
        }
    }
}

/// The wall clock, in milliseconds since the Unix epoch; all processes of a scale run share the machine's.
#[must_use]
pub fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
