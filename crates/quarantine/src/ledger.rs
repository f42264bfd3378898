//! All findings that a node holds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::finding::{CrashId, Finding, SuspectRecord};
use crate::fingerprint::{RequestFingerprint, RequestKey};
use crate::settings::QuarantineSettings;
use crate::standing::SuspicionLevel;
use crate::suspect::Suspect;

/// Ends from which on a fingerprint is told again to nodes that may have missed it. A single one is told once: most of those are of requests that ran beside.
const REPAIRED_CRASHES: usize = 2;

/// What came of joining what another node knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Fingerprints of which something is new here.
    pub changed: Vec<RequestFingerprint>,
    /// Fingerprints of which more is known here than was told.
    pub sender_outdated: Vec<RequestFingerprint>,
}

/// The findings about requests that may end back ends. Two ledgers that have heard the same, in whatever order, hold the same.
#[derive(Debug)]
pub struct SuspectLedger {
    settings: QuarantineSettings,
    suspects: BTreeMap<RequestFingerprint, Suspect>,
}

impl SuspectLedger {
    /// Without findings.
    #[must_use]
    pub const fn new(settings: QuarantineSettings) -> Self {
        Self { settings, suspects: BTreeMap::new() }
    }

    /// Whether nothing was ever found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// How a request is treated.
    #[must_use]
    pub fn standing(&self, now: Instant, key: &RequestKey) -> SuspicionLevel {
        let standings = key.fingerprints().into_iter().map(|fingerprint| self.standing_of(now, &fingerprint));
        standings.max().unwrap_or(SuspicionLevel::Clear)
    }

    /// How whatever has this fingerprint is treated.
    #[must_use]
    pub fn standing_of(&self, now: Instant, fingerprint: &RequestFingerprint) -> SuspicionLevel {
        let Some(suspect) = self.suspects.get(fingerprint) else { return SuspicionLevel::Clear };
        let crashes = suspect.crashes();
        if crashes == 0 || self.is_over(now, suspect.blamed_at) {
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

    /// Ends that a request is blamed for.
    #[must_use]
    pub fn crashes(&self, key: &RequestKey) -> usize {
        let crashes =
            key.fingerprints().into_iter().map(|fingerprint| self.fingerprint_crash_count(&fingerprint));
        crashes.max().unwrap_or(0)
    }

    /// Ends that whatever has this fingerprint is blamed for.
    #[must_use]
    pub fn fingerprint_crash_count(&self, fingerprint: &RequestFingerprint) -> usize {
        self.suspects.get(fingerprint).map_or(0, Suspect::crashes)
    }

    /// Takes in that a back end has ended while `requests` ran there; gives those that are blamed.
    ///
    /// One end has one cause. Those that were blamed most before explain it, and nothing else that ran there is blamed: what ran beside a request that ends each back end is
    /// blamed once at most. Of several that are equally close to being refused none is: they are kept apart from then on, and the next end tells.
    pub fn blame(&mut self, now: Instant, crash: CrashId, requests: &[RequestKey]) -> Vec<RequestKey> {
        let most = requests.iter().map(|key| self.crashes(key)).max().unwrap_or(0);
        let blamed: Vec<RequestKey> =
            requests.iter().filter(|key| self.crashes(key) == most).copied().collect();
        let contents: BTreeSet<RequestFingerprint> = blamed.iter().map(|key| key.content).collect();
        if contents.len() > 1 && most + 1 >= self.settings.crashes {
            return Vec::new();
        }
        for fingerprint in blamed.iter().flat_map(RequestKey::fingerprints) {
            let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect::new(now));
            suspect.join(crash, Finding::Blamed);
            suspect.blamed_at = now;
        }
        self.forget(now);
        blamed
    }

    /// Takes in that a back end has answered a request: it does not end each one that runs it. Gives the fingerprints that were blamed until now.
    pub fn clear(&mut self, key: &RequestKey) -> Vec<RequestFingerprint> {
        let fingerprints = key.fingerprints().into_iter();
        fingerprints.filter(|fingerprint| self.lift(fingerprint)).collect()
    }

    /// Clears whatever has this fingerprint; tells whether it was blamed until now.
    pub fn lift(&mut self, fingerprint: &RequestFingerprint) -> bool {
        self.suspects.get_mut(fingerprint).is_some_and(Suspect::clear)
    }

    /// Joins what another node, or the store, tells.
    pub fn join(&mut self, now: Instant, records: &[SuspectRecord]) -> MergeOutcome {
        let mut joined = MergeOutcome::default();
        for record in records {
            let age = Duration::from_millis(u64::from(record.age_millis));
            let blamed_at = now.checked_sub(age).unwrap_or(now);
            if self.is_over(now, blamed_at) {
                continue;
            }
            let known = self.suspects.get(&record.fingerprint);
            if known.is_some_and(|suspect| suspect.knows_more_than(&record.findings)) {
                joined.sender_outdated.push(record.fingerprint);
            }
            if known.is_some_and(|suspect| suspect.knows(&record.findings)) {
                continue;
            }
            let suspect = self.suspects.entry(record.fingerprint).or_insert_with(|| Suspect::new(blamed_at));
            let mut is_news = false;
            for (crash, finding) in &record.findings {
                is_news |= suspect.join(*crash, *finding);
            }
            if is_news {
                suspect.blamed_at = suspect.blamed_at.max(blamed_at);
                joined.changed.push(record.fingerprint);
            }
        }
        self.forget(now);
        joined
    }

    /// What is known of `fingerprints`.
    #[must_use]
    pub fn records(&self, now: Instant, fingerprints: &[RequestFingerprint]) -> Vec<SuspectRecord> {
        let known = fingerprints
            .iter()
            .filter_map(|fingerprint| Some((fingerprint, self.suspects.get(fingerprint)?)));
        known.map(|(fingerprint, suspect)| suspect.record(now, *fingerprint)).collect()
    }

    /// What a node has to know that may have missed what was told.
    #[must_use]
    pub fn repair_records(&self, now: Instant) -> Vec<SuspectRecord> {
        self.repaired().map(|(fingerprint, suspect)| suspect.record(now, *fingerprint)).collect()
    }

    /// Sum of these, the same for two nodes that know the same.
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

    /// The fingerprints that are refused, with all that is known of them.
    #[must_use]
    pub fn quarantined(&self, now: Instant) -> Vec<SuspectRecord> {
        let refused = self
            .suspects
            .iter()
            .filter(|(fingerprint, _)| self.standing_of(now, fingerprint) == SuspicionLevel::Quarantined);
        refused.map(|(fingerprint, suspect)| suspect.record(now, *fingerprint)).collect()
    }

    fn repaired(&self) -> impl Iterator<Item = (&RequestFingerprint, &Suspect)> {
        self.suspects.iter().filter(|(_, suspect)| suspect.crashes() >= REPAIRED_CRASHES)
    }

    fn is_over(&self, now: Instant, blamed_at: Instant) -> bool {
        now.saturating_duration_since(blamed_at) >= self.settings.lifetime
    }

    /// Drops what is too old, and what matters least if there is too much.
    fn forget(&mut self, now: Instant) {
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
