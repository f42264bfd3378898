//! What the platform says to a reader.

use std::sync::Arc;

use umberpond_model::{Millis, Timestamp, Version};
use umberpond_versions::StepError;

use super::OverlayNode;
use super::state::ReaderDuty;
use crate::WitnessSets;
use crate::interface::{Decision, Output, PlatformEvent, PlatformRequest};

/// A reader that isn't among the first ranks of its zone asks the platform only if it is still a reader after this
/// time; at a first start many nodes are readers for a moment.
const SPARE_LEASE_WAIT: Millis = Millis(10_000);

/// Least time between two looks whether such a reader is among the first ranks now.
const SPARE_LEASE_LOOK: Millis = Millis(250);

impl OverlayNode {
    /// When this reader may first ask the platform for anything: when it has collected the members, and later if it
    /// isn't one of its zone's readers by its own view.
    pub(super) fn platform_allowed_at(&self) -> Timestamp {
        let own = &self.own.record().node;
        let is_spare = !self.role.plan.plan.readers().iter().any(|reader| reader == own);
        let wait = if is_spare { SPARE_LEASE_WAIT } else { Millis(0) };
        self.role.collecting_until + wait
    }

    pub(super) fn on_platform(&mut self, event: PlatformEvent) {
        let is_answer = !matches!(event, PlatformEvent::Unavailable);
        if let Some(reader) = &mut self.reader {
            reader.platform_available = Some(is_answer);
        }
        match event {
            PlatformEvent::LeaseGranted => self.on_lease_granted(),
            PlatformEvent::LeaseLost => self.on_lease_lost(),
            PlatformEvent::Accepted(accepted) => {
                let sets = Arc::clone(self.chain.sets());
                let taken = self.chain.on_accepted(&accepted);
                self.after_platform_content(taken, &sets);
            }
            PlatformEvent::Whole(whole) => {
                let sets = Arc::clone(self.chain.sets());
                let taken = self.chain.on_whole_version(&whole);
                self.after_platform_content(taken, &sets);
            }
            PlatformEvent::HeadVersion { nonce, version } => self.on_head_version(nonce, version),
            PlatformEvent::Machines(machines) => self.directory.on_machines(&machines),
            PlatformEvent::Unavailable => {}
        }
    }

    fn after_platform_content(&mut self, taken: Result<(), StepError>, sets_before: &Arc<WitnessSets>) {
        match taken {
            Ok(()) => {
                if !Arc::ptr_eq(sets_before, self.chain.sets()) {
                    self.after_witness_sets_changed();
                }
                self.after_content_changed();
            }
            Err(StepError::Stale { .. }) => {}
            Err(error) => {
                let is_gap = matches!(error, StepError::Gap { .. });
                self.decide(Decision::TransferRefused { error });
                if is_gap {
                    self.watch();
                }
            }
        }
    }

    fn on_lease_granted(&mut self) {
        let Some(reader) = &mut self.reader else {
            self.out.push(Output::Platform(PlatformRequest::ReleaseReaderLease));
            return;
        };
        reader.has_lease = true;
        self.watch();
    }

    fn watch(&mut self) {
        let after = self.chain.held_version().unwrap_or(Version::GENESIS);
        self.out.push(Output::Platform(PlatformRequest::Watch { after }));
    }

    fn on_lease_lost(&mut self) {
        let retry = self.config.timing.lease_retry;
        let at = self.jittered(retry) + Millis(retry.0 / 2);
        if let Some(reader) = &mut self.reader {
            reader.has_lease = false;
            reader.lease_retry_at = at;
        }
    }

    /// Tries for the lease where none is held. The driver answers each try, and repeats it while the platform is
    /// away; the wait here only guards against an answer that never comes.
    pub(super) fn tend_lease(&mut self) {
        let again = self.now + Millis(self.config.timing.lease_retry.0 * 10);
        let now = self.now;
        let is_due = |reader: &ReaderDuty| !reader.has_lease && now >= reader.lease_retry_at;
        if !self.reader.as_deref().is_some_and(is_due) {
            return;
        }
        if now < self.platform_allowed_at() {
            let at = self.jittered(self.config.timing.lease_retry);
            if let Some(reader) = &mut self.reader {
                reader.lease_retry_at = at + SPARE_LEASE_LOOK;
            }
            return;
        }
        if let Some(reader) = &mut self.reader {
            reader.lease_asked = true;
            reader.lease_retry_at = again;
            self.out.push(Output::Platform(PlatformRequest::AcquireReaderLease));
        }
    }
}
