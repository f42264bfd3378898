//! The findings that a node holds about all suspect requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::finding::{CrashId, Finding, SuspectRecord};
use crate::fingerprint::{RequestFingerprint, RequestKey};
use crate::settings::QuarantineSettings;
use crate::suspect::Suspect;
use crate::suspicion_level::SuspicionLevel;

/// Minimum number of crashes for which a fingerprint is sent again to nodes that may have missed it. A single
/// crash is sent only once, because most requests with one crash merely ran beside the cause.
const MIN_REPAIRED_CRASHES: usize = 2;

/// Result of merging the records of another node.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Fingerprints with findings that were new to this node.
    pub changed: Vec<RequestFingerprint>,
    /// Fingerprints with findings here that the merged records lack.
    pub sender_outdated: Vec<RequestFingerprint>,
}

/// The findings about requests that may crash back ends. Two ledgers that have merged the same findings, in
/// any order, are equal.
#[derive(Debug)]
pub struct SuspectLedger {
    settings: QuarantineSettings,
    suspects: BTreeMap<RequestFingerprint, Suspect>,
}

impl SuspectLedger {
    /// Creates a ledger without findings.
    #[must_use]
    pub const fn new(settings: QuarantineSettings) -> Self {
        Self { settings, suspects: BTreeMap::new() }
    }

    /// Whether there are no findings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns how a request is treated, by the more suspect of its two fingerprints.
    #[must_use]
    pub fn suspicion_level(&self, now: Instant, key: &RequestKey) -> SuspicionLevel {
        let suspicion_levels = key
            .fingerprints()
            .into_iter()
            .map(|fingerprint| self.fingerprint_suspicion_level(now, &fingerprint));
        suspicion_levels.max().unwrap_or(SuspicionLevel::Clear)
    }

    /// Returns how requests with this fingerprint are treated.
    #[must_use]
    pub fn fingerprint_suspicion_level(
        &self,
        now: Instant,
        fingerprint: &RequestFingerprint,
    ) -> SuspicionLevel {
        let Some(suspect) = self.suspects.get(fingerprint) else { return SuspicionLevel::Clear };
        let crashes = suspect.crashes();
        if crashes == 0 || self.is_expired(now, suspect.blamed_at) {
            return SuspicionLevel::Clear;
        }
        if crashes >= self.settings.crashes {
            return SuspicionLevel::Quarantined;
        }
        if crashes + 1 < self.settings.crashes {
            return SuspicionLevel::Suspected;
        }
        let left = self.settings.pause.saturating_sub(now.saturating_duration_since(suspect.blamed_at));
        if left.is_zero() { SuspicionLevel::Isolated } else { SuspicionLevel::Paused(left) }
    }

    /// The fingerprint for which a request is quarantined; absent if it is not.
    #[must_use]
    pub fn quarantined_fingerprint(&self, now: Instant, key: &RequestKey) -> Option<RequestFingerprint> {
        let is_quarantined = |fingerprint: &RequestFingerprint| {
            self.fingerprint_suspicion_level(now, fingerprint) == SuspicionLevel::Quarantined
        };
        key.fingerprints().into_iter().find(is_quarantined)
    }

    /// Time since the last crash that requests with this fingerprint are blamed for; zero if there is none.
    #[must_use]
    pub fn since_crash(&self, now: Instant, fingerprint: &RequestFingerprint) -> Duration {
        let suspect = self.suspects.get(fingerprint);
        suspect.map_or(Duration::ZERO, |suspect| now.saturating_duration_since(suspect.blamed_at))
    }

    /// Number of crashes that a request is blamed for.
    #[must_use]
    pub fn crash_count(&self, key: &RequestKey) -> usize {
        let crashes =
            key.fingerprints().into_iter().map(|fingerprint| self.fingerprint_crash_count(&fingerprint));
        crashes.max().unwrap_or(0)
    }

    /// Number of crashes that requests with this fingerprint are blamed for.
    #[must_use]
    pub fn fingerprint_crash_count(&self, fingerprint: &RequestFingerprint) -> usize {
        self.suspects.get(fingerprint).map_or(0, Suspect::crashes)
    }

    /// Records that a back end crashed while `requests` ran there. Returns the requests that are blamed.
    ///
    /// A crash has one cause. The requests that were blamed for the most crashes before explain it, and no
    /// other request that ran there is blamed. A request that merely runs beside one that crashes every back
    /// end is therefore blamed at most once. If several requests are one crash away from quarantine, none of
    /// them is blamed: they are run apart from then on, and the next crash shows the cause.
    pub fn blame(&mut self, now: Instant, crash: CrashId, requests: &[RequestKey]) -> Vec<RequestKey> {
        let most = requests.iter().map(|key| self.crash_count(key)).max().unwrap_or(0);
        let blamed: Vec<RequestKey> =
            requests.iter().filter(|key| self.crash_count(key) == most).copied().collect();
        let contents: BTreeSet<RequestFingerprint> = blamed.iter().map(|key| key.content).collect();
        if contents.len() > 1 && most + 1 >= self.settings.crashes {
            return Vec::new();
        }
        for fingerprint in blamed.iter().flat_map(RequestKey::fingerprints) {
            let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect::new(now));
            suspect.merge(crash, Finding::Blamed);
            suspect.blamed_at = now;
        }
        self.evict(now);
        blamed
    }

    /// Records that a back end responded to a request, which shows that the request does not crash every back
    /// end. Returns the fingerprints that were blamed until now.
    pub fn clear(&mut self, key: &RequestKey) -> Vec<RequestFingerprint> {
        let fingerprints = key.fingerprints().into_iter();
        fingerprints.filter(|fingerprint| self.clear_fingerprint(fingerprint)).collect()
    }

    /// Clears this fingerprint; returns whether it was blamed until now.
    pub fn clear_fingerprint(&mut self, fingerprint: &RequestFingerprint) -> bool {
        self.suspects.get_mut(fingerprint).is_some_and(Suspect::clear)
    }

    /// Merges records from another node or from the store.
    pub fn merge(&mut self, now: Instant, records: &[SuspectRecord]) -> MergeOutcome {
        let mut joined = MergeOutcome::default();
        for record in records {
            let age = Duration::from_millis(u64::from(record.age_millis));
            let blamed_at = now.checked_sub(age).unwrap_or(now);
            if self.is_expired(now, blamed_at) {
                continue;
            }
            let known = self.suspects.get(&record.fingerprint);
            if known.is_some_and(|suspect| suspect.has_more_than(&record.findings)) {
                joined.sender_outdated.push(record.fingerprint);
            }
            if known.is_some_and(|suspect| suspect.contains_all(&record.findings)) {
                continue;
            }
            let suspect = self.suspects.entry(record.fingerprint).or_insert_with(|| Suspect::new(blamed_at));
            let mut is_changed = false;
            for (crash, finding) in &record.findings {
                is_changed |= suspect.merge(*crash, *finding);
            }
            if is_changed {
                suspect.blamed_at = suspect.blamed_at.max(blamed_at);
                joined.changed.push(record.fingerprint);
            }
        }
        self.evict(now);
        joined
    }

    /// Records of those `fingerprints` that have findings.
    #[must_use]
    pub fn records(&self, now: Instant, fingerprints: &[RequestFingerprint]) -> Vec<SuspectRecord> {
        let known = fingerprints
            .iter()
            .filter_map(|fingerprint| Some((fingerprint, self.suspects.get(fingerprint)?)));
        known.map(|(fingerprint, suspect)| suspect.record(now, *fingerprint)).collect()
    }

    /// Records that a node needs if it may have missed updates.
    #[must_use]
    pub fn repair_records(&self, now: Instant) -> Vec<SuspectRecord> {
        self.repaired().map(|(fingerprint, suspect)| suspect.record(now, *fingerprint)).collect()
    }

    /// Digest of the repair records, equal for two nodes with the same findings.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let hashes = self.repaired().map(|(fingerprint, suspect)| {
            let record = SuspectRecord { age_millis: 0, ..suspect.record(suspect.blamed_at, *fingerprint) };
            let mut first = [0; 8];
            first.copy_from_slice(&blake3::hash(&bitcode::encode(&record)).as_bytes()[..8]);
            u64::from_le_bytes(first)
        });
        hashes.fold(0, |sum, hash| sum ^ hash)
    }

    /// Records of the quarantined fingerprints.
    #[must_use]
    pub fn quarantined(&self, now: Instant) -> Vec<SuspectRecord> {
        let refused = self.suspects.iter().filter(|(fingerprint, _)| {
            self.fingerprint_suspicion_level(now, fingerprint) == SuspicionLevel::Quarantined
        });
        refused.map(|(fingerprint, suspect)| suspect.record(now, *fingerprint)).collect()
    }

    fn repaired(&self) -> impl Iterator<Item = (&RequestFingerprint, &Suspect)> {
        self.suspects.iter().filter(|(_, suspect)| suspect.crashes() >= MIN_REPAIRED_CRASHES)
    }

    fn is_expired(&self, now: Instant, blamed_at: Instant) -> bool {
        now.saturating_duration_since(blamed_at) >= self.settings.lifetime
    }

    /// Drops expired suspects and, above the capacity, those with the fewest crashes, the oldest first.
    fn evict(&mut self, now: Instant) {
        let lifetime = self.settings.lifetime;
        self.suspects.retain(|_, suspect| now.saturating_duration_since(suspect.blamed_at) < lifetime);
        while self.suspects.len() > self.settings.capacity {
            let least =
                self.suspects.iter().min_by_key(|(_, suspect)| (suspect.crashes(), suspect.blamed_at));
            let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) else { return };
            self.suspects.remove(&fingerprint);
        }
    }
}
