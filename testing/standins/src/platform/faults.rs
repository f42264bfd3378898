//! What the platform can be told to do wrong.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Changes a kind keeps for its watchers unless told otherwise.
pub const DEFAULT_WATCH_WINDOW: usize = 1_000;

/// Faults in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every request ends with a closed connection.
    pub down: bool,
    /// Every request is refused as overload, with `retry-after`.
    pub overloaded: bool,
    /// Time added to every answer, half of it before the request takes effect and half after.
    pub delay: Duration,
    /// How many of the next changes take effect without an answer.
    pub answers_to_lose: u64,
    /// How long a change of the machine list stays unseen.
    pub machine_lag: Duration,
}

/// An order to change the faults; what is absent stays as it is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultChange {
    /// Close every connection without an answer, and end every watch.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub down: Option<bool>,
    /// Refuse every request with 503 and `retry-after`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub overloaded: Option<bool>,
    /// Milliseconds added to every answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_millis: Option<u64>,
    /// How many of the next changes take effect without an answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<u64>,
    /// End every open watch now.
    pub cut_watches: bool,
    /// Lapse every lease now.
    pub lapse_leases: bool,
    /// Milliseconds for which a change of the machine list stays unseen.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub machine_lag_millis: Option<u64>,
    /// Changes a kind keeps for its watchers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub watch_window: Option<usize>,
}

impl Faults {
    /// Takes over what `change` orders of the lasting faults.
    pub fn update(&mut self, change: &FaultChange) {
        self.down = change.down.unwrap_or(self.down);
        self.overloaded = change.overloaded.unwrap_or(self.overloaded);
        self.delay = change.delay_millis.map_or(self.delay, Duration::from_millis);
        self.answers_to_lose = change.lose_answers.unwrap_or(self.answers_to_lose);
        self.machine_lag = change.machine_lag_millis.map_or(self.machine_lag, Duration::from_millis);
    }

    /// Tells whether the answer to this change is to be lost, and counts it off.
    pub fn take_lost_answer(&mut self) -> bool {
        if self.answers_to_lose == 0 {
            return false;
        }
        self.answers_to_lose -= 1;
        true
    }
}
