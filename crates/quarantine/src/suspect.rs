//! The findings about one fingerprint.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::finding::{CrashId, Finding, SuspectRecord};
use crate::fingerprint::RequestFingerprint;

/// Most ends of which a finding is kept for one fingerprint, those with the smallest numbers so that all nodes keep the same: enough to refuse it, and for some that
/// nodes blame it for before they hear of each other.
const MAX_FINDINGS: usize = 8;

#[derive(Debug, Clone)]
pub(crate) struct Suspect {
    findings: BTreeMap<CrashId, Finding>,
    /// When the last end was that it was blamed for.
    pub(crate) blamed_at: Instant,
}

impl Suspect {
    pub(crate) const fn new(blamed_at: Instant) -> Self {
        Self { findings: BTreeMap::new(), blamed_at }
    }

    /// Ends that it is blamed for.
    pub(crate) fn crashes(&self) -> usize {
        self.findings.values().filter(|finding| **finding == Finding::Blamed).count()
    }

    /// Joins a finding; tells whether it is news.
    pub(crate) fn join(&mut self, crash: CrashId, finding: Finding) -> bool {
        if let Some(known) = self.findings.get_mut(&crash) {
            let is_news = finding > *known;
            *known = finding.max(*known);
            return is_news;
        }
        self.findings.insert(crash, finding);
        if self.findings.len() > MAX_FINDINGS {
            self.findings.pop_last();
        }
        self.findings.contains_key(&crash)
    }

    /// Clears it of all that it is blamed for; tells whether it was blamed.
    pub(crate) fn clear(&mut self) -> bool {
        let was_blamed = self.crashes() > 0;
        for finding in self.findings.values_mut() {
            *finding = Finding::Cleared;
        }
        was_blamed
    }

    /// Whether everything in `findings` is known.
    pub(crate) fn knows(&self, findings: &[(CrashId, Finding)]) -> bool {
        findings.iter().all(|(crash, finding)| self.findings.get(crash) >= Some(finding))
    }

    /// Whether something is known that is not in `findings`.
    pub(crate) fn knows_more_than(&self, findings: &[(CrashId, Finding)]) -> bool {
        let told: BTreeMap<CrashId, Finding> = findings.iter().copied().collect();
        self.findings.iter().any(|(crash, finding)| told.get(crash) < Some(finding))
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
