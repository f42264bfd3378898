//! Versions that arrive: held, committed, put in force.

use std::sync::Arc;

use umberpond_model::Version;
use umberpond_versions::StepError;

use super::OverlayNode;
use super::records::Source;
use crate::interface::{ConnectionId, Decision, Output};
use crate::{Transfer, Update, WitnessSets};

impl OverlayNode {
    pub(super) fn on_update(&mut self, connection: ConnectionId, update: &Update, source: Source) {
        let is_whole = matches!(update.transfer, Some(Transfer::Whole { .. }));
        self.owe_acknowledgement(connection, is_whole);
        let is_from_below = matches!(source, Source::Child(_));
        if !is_from_below {
            if let Some(sets) = &update.witness_sets {
                self.on_witness_sets(sets);
            }
            if let Some(transfer) = &update.transfer {
                let taken = self.chain.on_transfer(transfer);
                self.after_transfer(connection, taken, is_whole);
            }
            if let Some(committed) = update.committed {
                self.on_commit_index(committed);
            }
        }
        for record in &update.endpoints {
            self.merge_record(record, source);
        }
    }

    pub(super) fn on_advance(&mut self, connection: ConnectionId, to: Version, committed: Version) {
        self.owe_acknowledgement(connection, false);
        let taken = self.chain.on_unchanged(to);
        self.after_transfer(connection, taken, false);
        self.on_commit_index(committed);
    }

    /// Follows up on content that was offered by another node. What was refused is asked for again once: from the
    /// version held after a gap, and whole after a mismatch. Otherwise the next version brings the next try.
    fn after_transfer(&mut self, connection: ConnectionId, taken: Result<(), StepError>, is_whole: bool) {
        let Err(error) = taken else {
            self.transfer_came(connection);
            self.after_content_changed();
            return;
        };
        let held = match error {
            StepError::Stale { .. } => return,
            StepError::Gap { .. } => Some(self.chain.held()),
            StepError::HashMismatch { .. } if !is_whole => Some(None),
            StepError::HashMismatch { .. } | StepError::NotClosed { .. } => None,
        };
        self.decide(Decision::TransferRefused { error });
        if let Some(held) = held {
            self.ask_for_transfer(connection, held);
        }
    }

    /// Follows up on a newer version held, from wherever it came.
    pub(super) fn after_content_changed(&mut self) {
        self.progress.report_due = true;
        self.progress.newest_since = Some(self.now);
        self.parent.transfer_retry_at = None;
        self.feed_tracker();
        self.feed_round();
        self.feed_witness();
        self.update_own_interest();
    }

    pub(super) fn on_witness_sets(&mut self, sets: &Arc<WitnessSets>) {
        if self.chain.on_sets(sets) {
            self.after_witness_sets_changed();
        }
    }

    /// Takes the commit index of another node in.
    pub(super) fn on_commit_index(&mut self, committed: Version) {
        if !self.chain.on_committed(committed) {
            return;
        }
        if let Some(reader) = &mut self.reader {
            reader.tracker.on_committed_elsewhere(committed);
        }
        self.progress.report_due = true;
    }

    /// Puts the newest version in force that may be.
    pub(super) fn activate(&mut self) {
        while let Some((version, snapshot)) = self.chain.take_activation() {
            self.progress.report_due = true;
            self.decide(Decision::Activated { version });
            self.out.push(Output::Activate { version, snapshot });
        }
    }
}
