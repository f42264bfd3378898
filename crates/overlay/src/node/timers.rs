//! Work that is due, and the time at which the node must be woken next.

use umberpond_model::{Millis, Timestamp};

use super::OverlayNode;
use crate::interface::Output;

/// Least time between two wake-ups that the node asks for.
const WAKE_GRANULARITY: Millis = Millis(5);

/// What has started, what was told and when to wake up.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    pub(super) started: bool,
    /// Depth that the children were told last.
    pub(super) depth_told: Option<u8>,
    /// Whether a link to a peer may have become useless.
    pub(super) peers_changed: bool,
    /// Whether the witnesses may hold enough for a higher commit index.
    pub(super) holds_changed: bool,
    wake_asked: Option<Timestamp>,
}

impl OverlayNode {
    /// Does everything that is due now. Each part looks at its own times, so early calls are harmless.
    pub(super) fn run_due_work(&mut self) {
        if !self.schedule.started {
            return;
        }
        self.tend_links();
        self.suspect_lost();
        self.tend_role();
        self.tend_placements();
        self.tell_depth();
        self.end_stale_transfers();
        self.retry_transfer();
        self.tend_parent();
        self.tell_interest();
        self.tend_reader();
        self.tend_floor();
        self.tend_witness();
        self.activate();
        self.flush_children();
        self.flush_parent();
        self.flush_peers();
        self.report();
        self.emit_records();
        self.expire_records();
    }

    fn tend_reader(&mut self) {
        if std::mem::take(&mut self.schedule.peers_changed) {
            self.drop_useless_peers();
        }
        if !self.is_reader() {
            return;
        }
        self.tend_lease();
        self.search_peers();
        self.pull_from_peers();
        self.compare_with_random_reader();
        self.compare_again();
        self.tend_commit_check();
        self.tend_roll_call();
    }

    /// Asks for the next wake-up, if it isn't asked for already.
    pub(super) fn request_wake(&mut self) {
        let Some(next) = self.next_work() else { return };
        let next = next.max(self.now + WAKE_GRANULARITY);
        let is_asked = self.schedule.wake_asked.is_some_and(|asked| asked > self.now && asked <= next);
        if !is_asked {
            self.schedule.wake_asked = Some(next);
            self.out.push(Output::WakeAt(next));
        }
    }

    fn next_work(&self) -> Option<Timestamp> {
        if !self.schedule.started {
            return None;
        }
        let lease = self.reader.as_ref().filter(|reader| !reader.has_lease);
        let up = self.parent.attached.as_ref().filter(|_| !self.parent.pending.is_empty());
        let due = [
            self.next_link_work(),
            self.suspicion.next_due(),
            self.next_role_work(),
            self.next_parent_work(),
            self.next_floor_work(),
            self.next_witness_work(),
            self.next_peer_work(),
            self.next_child_work(),
            self.next_report_work(),
            self.next_roll_call_work(),
            self.parent.transfer_retry_at,
            up.map(|_| self.parent.next_flush),
            lease.map(|reader| reader.lease_retry_at),
        ];
        due.into_iter().flatten().min()
    }
}
