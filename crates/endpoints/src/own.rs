//! The record of the node itself.
//!
//! Invariants:
//! 1. Within an incarnation the status only moves forward: starting, ready, draining, gone.
//! 2. Each record written is later than all before it, and later than any suspicion that the owner has refuted.

use thiserror::Error;
use umberpond_model::{EndpointRecord, EndpointStatus, Incarnation};

/// A change that the life cycle doesn't allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LifeCycleError {
    /// The status would go back.
    #[error("an endpoint that is {from:?} can't become {to:?} within one incarnation")]
    Backwards {
        /// Present status.
        from: EndpointStatus,
        /// Status asked for.
        to: EndpointStatus,
    },
    /// The new incarnation isn't later than the present one.
    #[error("incarnation {to:?} isn't later than {from:?}")]
    OldIncarnation {
        /// Present incarnation.
        from: Incarnation,
        /// Incarnation asked for.
        to: Incarnation,
    },
}

/// What the owner makes of a copy of its own record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refutation {
    /// The copy is one of the owner's own records; nothing to do.
    Unneeded,
    /// The copy doubted the owner, or claimed to be later; this record overrules it and must be spread.
    Refuted(Box<EndpointRecord>),
    /// A later process runs under the same name; this one must stop writing.
    Superseded {
        /// Incarnation of the later process.
        by: Incarnation,
    },
}

/// The owner's side of an endpoint record.
#[derive(Debug, Clone)]
pub struct OwnRecord {
    record: EndpointRecord,
}

impl OwnRecord {
    /// Begins an incarnation. Names, addresses and incarnation are taken from `record`; the status becomes
    /// starting and the count of changes zero.
    #[must_use]
    pub const fn new(mut record: EndpointRecord) -> Self {
        record.status = EndpointStatus::Starting;
        record.sequence = 0;
        record.suspect = false;
        Self { record }
    }

    /// The record as it stands.
    #[must_use]
    pub const fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// Moves the status forward; returns the record to spread, or none if the status is already `status`.
    ///
    /// # Errors
    /// [`LifeCycleError::Backwards`] if the status would go back; nothing changes then.
    pub fn set_status(&mut self, status: EndpointStatus) -> Result<Option<EndpointRecord>, LifeCycleError> {
        let from = self.record.status;
        if status < from {
            return Err(LifeCycleError::Backwards { from, to: status });
        }
        if status == from {
            return Ok(None);
        }
        self.record.status = status;
        Ok(Some(self.announce()))
    }

    /// Writes the same status again under a later sequence: after the owner has changed its parent, so that the
    /// former parent doesn't suspect it.
    pub fn announce(&mut self) -> EndpointRecord {
        self.record.sequence += 1;
        self.record.clone()
    }

    /// Begins a later incarnation, when the back end was replaced while the node went on.
    ///
    /// # Errors
    /// [`LifeCycleError::OldIncarnation`] if `incarnation` isn't later; nothing changes then.
    pub fn begin_incarnation(&mut self, incarnation: Incarnation) -> Result<EndpointRecord, LifeCycleError> {
        let from = self.record.incarnation;
        if incarnation <= from {
            return Err(LifeCycleError::OldIncarnation { from, to: incarnation });
        }
        self.record.incarnation = incarnation;
        *self = Self::new(self.record.clone());
        Ok(self.record.clone())
    }

    /// Looks at a copy of the own record that came back over the overlay.
    pub fn on_heard(&mut self, heard: &EndpointRecord) -> Refutation {
        if heard.incarnation > self.record.incarnation {
            return Refutation::Superseded { by: heard.incarnation };
        }
        if heard.order() <= self.record.order() {
            return Refutation::Unneeded;
        }
        self.record.sequence = heard.sequence;
        Refutation::Refuted(Box::new(self.announce()))
    }
}
