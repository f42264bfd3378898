//! Findings about one fingerprint.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::finding::{CrashId, Finding, SuspectRecord};
use crate::fingerprint::RequestFingerprint;

/// Maximum number of crashes with a finding about one fingerprint. The crashes with the smallest numbers are
/// kept, so that all nodes keep the same ones. The limit suffices to quarantine a request, with room for
/// crashes that nodes blame it for before they receive each other's findings.
const MAX_FINDINGS: usize = 8;

#[derive(Debug, Clone)]
pub(crate) struct Suspect {
    findings: BTreeMap<CrashId, Finding>,
    /// Time of the last crash that it is blamed for.
    pub(crate) blamed_at: Instant,
}

impl Suspect {
    pub(crate) const fn new(blamed_at: Instant) -> Self {
        Self { findings: BTreeMap::new(), blamed_at }
    }

    /// Number of crashes that it is blamed for.
    pub(crate) fn crashes(&self) -> usize {
        self.findings.values().filter(|finding| **finding == Finding::Blamed).count()
    }

    /// Merges a finding; returns whether it was new.
    pub(crate) fn merge(&mut self, crash: CrashId, finding: Finding) -> bool {
        if let Some(known) = self.findings.get_mut(&crash) {
            let is_changed = finding > *known;
            *known = finding.max(*known);
            return is_changed;
        }
        self.findings.insert(crash, finding);
        if self.findings.len() > MAX_FINDINGS {
            self.findings.pop_last();
        }
        self.findings.contains_key(&crash)
    }

    /// Clears it of all crashes; returns whether it was blamed for any.
    pub(crate) fn clear(&mut self) -> bool {
        let was_blamed = self.crashes() > 0;
        for finding in self.findings.values_mut() {
            *finding = Finding::Cleared;
        }
        was_blamed
    }

    /// Whether it already contains all of `findings`.
    pub(crate) fn contains_all(&self, findings: &[(CrashId, Finding)]) -> bool {
        findings.iter().all(|(crash, finding)| self.findings.get(crash) >= Some(finding))
    }

    /// Whether it contains a finding that `findings` lacks.
    pub(crate) fn has_more_than(&self, findings: &[(CrashId, Finding)]) -> bool {
        let received: BTreeMap<CrashId, Finding> = findings.iter().copied().collect();
        self.findings.iter().any(|(crash, finding)| received.get(crash) < Some(finding))
    }

    pub(crate) fn record(&self, now: Instant, fingerprint: RequestFingerprint) -> SuspectRecord {
        let age = now.saturating_duration_since(self.blamed_at).as_millis();
        SuspectRecord {
            fingerprint,
            findings: self.findings.iter().map(|(crash, finding)| (*crash, *finding)).collect(),
            age_millis: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}
