//! Snapshots that a node holds, and the next one that it may put in force.
//!
//! Invariants:
//! 1. Versions in force only grow, and none is put in force twice.
//! 2. A version is put in force only if it is committed and a floor has been proved that it reaches.
//! 3. Every held snapshot hashes to what its sender announced and is closed.
//! 4. A refused transfer changes nothing.
//! 5. Waiting snapshots are bounded. When the bound is passed, one between the lowest and the newest is dropped:
//!    the one whose neighbours lie closest together. The lowest stays, so that commits that trail far behind the
//!    newest version still lead to activations.

use std::collections::BTreeMap;
use std::sync::Arc;

use umberpond_config::{Delta, Scope, Snapshot};
use umberpond_model::{ContentHash, Version};

use crate::history::History;
use crate::{ComposedStep, ScopedView, StepError, Whole};

/// Most snapshots that wait for their commit, the newest included.
const MAX_WAITING: usize = 32;

/// What a change of scope asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resize {
    /// The scope is as it was.
    Unchanged,
    /// The held snapshots were cut down to the new scope; no transfer is needed.
    Restricted,
    /// Nothing is held any more in the new scope: a whole transfer is needed. What is in force stays in force.
    NeedsWhole,
}

/// Snapshots of one node in its scope.
#[derive(Debug)]
pub struct VersionStore {
    scope: Scope,
    /// Held snapshots above the one in force, and always the newest one.
    waiting: BTreeMap<Version, Arc<Snapshot>>,
    active: Option<(Version, Arc<Snapshot>)>,
    /// Scope in which the version in force was held when it was put in force.
    active_scope: Scope,
    committed: Version,
    floor: Option<Version>,
    history: History,
}

impl VersionStore {
    /// A store that holds nothing. With [`Scope::Full`] it also keeps what [`VersionStore::step_from`] needs.
    #[must_use]
    pub fn new(scope: Scope) -> Self {
        Self {
            active_scope: scope.clone(),
            scope,
            waiting: BTreeMap::new(),
            active: None,
            committed: Version::GENESIS,
            floor: None,
            history: History::default(),
        }
    }

    /// The scope in which snapshots are held.
    #[must_use]
    pub const fn scope(&self) -> &Scope {
        &self.scope
    }

    /// Newest version held; none before the first whole transfer and after a widened scope.
    #[must_use]
    pub fn held(&self) -> Option<Version> {
        self.waiting.last_key_value().map(|(version, _)| *version)
    }

    /// Version in force.
    #[must_use]
    pub fn active(&self) -> Option<Version> {
        self.active.as_ref().map(|(version, _)| *version)
    }

    /// Snapshot in force.
    #[must_use]
    pub fn active_snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.active.as_ref().map(|(_, snapshot)| snapshot)
    }

    /// Whether the snapshot in force covers the scope in which the store holds now. After a change of scope it
    /// doesn't, and nothing may be cut from it for others.
    #[must_use]
    pub fn active_is_in_scope(&self) -> bool {
        self.active_scope == self.scope
    }

    /// Commit index, as far as it is known here.
    #[must_use]
    pub const fn committed(&self) -> Version {
        self.committed
    }

    /// Proved floor; none until the first proof of this process.
    #[must_use]
    pub const fn floor(&self) -> Option<Version> {
        self.floor
    }

    /// Whether a version that reaches the floor is in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.active().zip(self.floor).is_some_and(|(active, floor)| active >= floor)
    }

    /// Count of snapshots that wait for their commit; bounded.
    #[must_use]
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a whole snapshot in place of everything held.
    ///
    /// # Errors
    /// [`StepError::Stale`] if it is not newer than what is held, or older than what is in force;
    /// [`StepError::HashMismatch`] and [`StepError::NotClosed`] if the content isn't sound.
    pub fn on_whole(&mut self, whole: Whole) -> Result<(), StepError> {
        self.check_newer(whole.version)?;
        check_hash(whole.version, whole.hash, &whole.snapshot)?;
        let closed = whole.snapshot.check_closed_for(&self.scope);
        closed.map_err(|cause| StepError::NotClosed { to: whole.version, cause })?;
        self.hold(whole.version, Arc::new(whole.snapshot));
        Ok(())
    }

    /// Takes the delta that leads from the version before `version` to `version`.
    ///
    /// # Errors
    /// As [`VersionStore::on_composed`].
    pub fn on_step(
        &mut self,
        version: Version,
        delta: &Delta,
        expected_hash: ContentHash,
    ) -> Result<(), StepError> {
        let from = Version(version.0.saturating_sub(1));
        self.apply(from, version, delta, expected_hash)
    }

    /// Takes a delta that leads over one or more versions.
    ///
    /// # Errors
    /// [`StepError::Stale`] if it leads to nothing newer, [`StepError::Gap`] if its base isn't the newest held
    /// version, [`StepError::HashMismatch`] and [`StepError::NotClosed`] if the result isn't sound.
    pub fn on_composed(&mut self, step: &ComposedStep) -> Result<(), StepError> {
        self.apply(step.from, step.to, &step.delta, step.hash)
    }

    /// Raises the commit index; a lower value changes nothing.
    pub fn on_committed(&mut self, version: Version) {
        self.committed = self.committed.max(version);
    }

    /// Takes a proved floor; a lower one than before changes nothing.
    pub fn on_floor_proof(&mut self, version: Version) {
        self.floor = self.floor.max(Some(version));
    }

    /// The newest held version that is committed, reaches the proved floor and is above the one in force. It
    /// counts as in force from now on.
    pub fn take_activation(&mut self) -> Option<(Version, Arc<Snapshot>)> {
        let floor = self.floor?;
        let (version, snapshot) = self.waiting.range(..=self.committed).next_back()?;
        if *version < floor || self.active().is_some_and(|active| *version <= active) {
            return None;
        }
        let activation = (*version, Arc::clone(snapshot));
        self.active = Some(activation.clone());
        self.active_scope = self.scope.clone();
        self.drop_settled();
        Some(activation)
    }

    /// The snapshot of `version` in the store's scope, if it is still kept.
    #[must_use]
    pub fn snapshot_at(&self, version: Version) -> Option<&Arc<Snapshot>> {
        self.waiting.get(&version).or_else(|| self.history.get(version))
    }

    /// One delta that brings a child in `scope` from version `from` to the newest held version. None if `from` is
    /// no longer kept (the child needs a whole transfer), is not behind, or if this store isn't a relay's.
    pub fn step_from(&mut self, from: Version, scope: &Scope) -> Option<Arc<ComposedStep>> {
        self.history.step_from(from, scope)
    }

    /// The content of `version` as a child in `scope` sees it, with its hash. Costs next to nothing where no step
    /// since the last look touched the scope. None if `version` is no longer kept, or if this store isn't a relay's.
    pub fn view(&mut self, scope: &Scope, version: Version) -> Option<ScopedView> {
        self.history.view(scope, version)
    }

    /// The newest held version as a whole transfer for a child in `scope`. None if nothing is held, or if this
    /// store isn't a relay's.
    #[must_use]
    pub fn whole_for(&self, scope: &Scope) -> Option<Whole> {
        if self.scope != Scope::Full {
            return None;
        }
        let (version, snapshot) = self.waiting.last_key_value()?;
        let snapshot = snapshot.restrict(scope);
        Some(Whole { version: *version, hash: snapshot.content_hash(), snapshot })
    }

    /// Changes the scope, when the node becomes a relay or stops being one. The snapshot in force isn't touched.
    pub fn resize_scope(&mut self, scope: Scope) -> Resize {
        if scope == self.scope {
            return Resize::Unchanged;
        }
        let was_full = self.scope == Scope::Full;
        self.scope = scope;
        self.history.clear();
        if !was_full {
            self.waiting.clear();
            return Resize::NeedsWhole;
        }
        for snapshot in self.waiting.values_mut() {
            *snapshot = Arc::new(snapshot.restrict(&self.scope));
        }
        Resize::Restricted
    }

    fn apply(
        &mut self,
        from: Version,
        to: Version,
        delta: &Delta,
        expected_hash: ContentHash,
    ) -> Result<(), StepError> {
        self.check_newer(to)?;
        let base = self.waiting.last_key_value().filter(|(held, _)| **held == from);
        let Some((_, base)) = base else {
            return Err(StepError::Gap { held: self.held(), from });
        };
        let result = delta.apply(base);
        check_hash(to, expected_hash, &result)?;
        // The base is closed: nothing is held that isn't.
        let closed = result.check_delta(delta, &self.scope);
        closed.map_err(|cause| StepError::NotClosed { to, cause })?;
        if self.scope == Scope::Full {
            self.history.on_delta(from, to, delta, &result);
        }
        self.hold(to, Arc::new(result));
        Ok(())
    }

    /// A version must be above what is held. With nothing held (a widened scope), the one in force may come again.
    fn check_newer(&self, to: Version) -> Result<(), StepError> {
        if let Some(held) = self.held().filter(|held| to <= *held) {
            return Err(StepError::Stale { held, to });
        }
        if let Some(active) = self.active().filter(|active| to < *active) {
            return Err(StepError::Stale { held: active, to });
        }
        Ok(())
    }

    fn hold(&mut self, version: Version, snapshot: Arc<Snapshot>) {
        if self.scope == Scope::Full {
            self.history.push(version, Arc::clone(&snapshot));
        }
        self.waiting.insert(version, snapshot);
        self.drop_settled();
        if self.waiting.len() > MAX_WAITING {
            self.drop_most_crowded();
        }
    }

    /// Drops snapshots that can't be put in force any more; the newest stays as the base of the next delta.
    fn drop_settled(&mut self) {
        let Some(newest) = self.held() else { return };
        let lowest_useful = self.floor.max(self.active().map(Version::next)).unwrap_or(Version::GENESIS);
        self.waiting.retain(|version, _| *version == newest || *version >= lowest_useful);
    }

    fn drop_most_crowded(&mut self) {
        let versions: Vec<Version> = self.waiting.keys().copied().collect();
        let most_crowded =
            versions.windows(3).min_by_key(|window| window[2].0 - window[0].0).map(|window| window[1]);
        if let Some(version) = most_crowded {
            self.waiting.remove(&version);
        }
    }
}

fn check_hash(to: Version, expected: ContentHash, snapshot: &Snapshot) -> Result<(), StepError> {
    let found = snapshot.content_hash();
    if found == expected { Ok(()) } else { Err(StepError::HashMismatch { to, expected, found }) }
}
