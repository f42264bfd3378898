//! Configuration content held by a node, and what its children need of it.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::sync::Arc;

use umberpond_config::{Delta, Scope, Snapshot};
use umberpond_model::{ContentHash, NodeName, ServiceName, Version, VersionRecord};
use umberpond_versions::{ComposedStep, Resize, StepError, VersionStore, Whole};

use crate::interface::{AcceptedVersion, WholeVersion};
use crate::scoped_view::{ScopedView, ViewCache};
use crate::{Held, Transfer, WitnessSets};

/// What a child has been sent, as far as its parent knows.
#[derive(Debug, Clone, Default)]
pub(crate) enum Sent {
    /// Nothing, or something unknown here.
    #[default]
    Nothing,
    /// What the child said it holds.
    Claimed(Held),
    /// A version and its content in the child's scope.
    Known(Version, Arc<ScopedView>),
}

impl Sent {
    /// Version that the child holds.
    pub(crate) const fn version(&self) -> Option<Version> {
        match self {
            Self::Nothing => None,
            Self::Claimed(held) => Some(held.version),
            Self::Known(version, _) => Some(*version),
        }
    }
}

/// What brings a child forward.
#[derive(Debug, Clone)]
pub(crate) enum Forward {
    /// The content stays as it is up to a newer version.
    Unchanged(Version),
    /// The change from what it holds.
    Step(Arc<ComposedStep>),
    /// What it holds is of no use here: everything is needed.
    NeedsWhole,
}

/// Versions held, with the witness sets in force.
#[derive(Debug)]
pub(crate) struct Chain {
    own_scope: Scope,
    store: VersionStore,
    /// Hash of the newest held content in the store's scope.
    held: Option<Held>,
    sets: Arc<WitnessSets>,
    views: ViewCache,
}

impl Chain {
    /// A chain of a node that calls others on behalf of `callers`; it holds nothing.
    pub(crate) fn new(callers: BTreeSet<ServiceName>) -> Self {
        let own_scope = Scope::Callers(callers);
        Self {
            store: VersionStore::new(own_scope.clone()),
            own_scope,
            held: None,
            sets: Arc::default(),
            views: ViewCache::default(),
        }
    }

    pub(crate) const fn store(&self) -> &VersionStore {
        &self.store
    }

    pub(crate) const fn held(&self) -> Option<Held> {
        self.held
    }

    pub(crate) fn held_version(&self) -> Option<Version> {
        self.held.map(|held| held.version)
    }

    pub(crate) const fn sets(&self) -> &Arc<WitnessSets> {
        &self.sets
    }

    /// Whether `node` is a witness of a version that may not be committed yet.
    pub(crate) fn names_witness(&self, node: &NodeName) -> bool {
        self.sets.current.contains(node) || self.sets.previous.contains(node)
    }

    /// Holds everything from now on, or only the own scope. What is in force isn't touched.
    pub(crate) fn hold_everything(&mut self, everything: bool) {
        let scope = if everything { Scope::Full } else { self.own_scope.clone() };
        match self.store.resize_scope(scope) {
            Resize::Unchanged => {}
            Resize::NeedsWhole => self.held = None,
            Resize::Restricted => {
                let newest = self.store.held();
                let content = newest.and_then(|version| self.store.snapshot_at(version));
                self.held = newest
                    .zip(content.map(|content| content.content_hash()))
                    .map(|(version, hash)| Held { version, hash });
            }
        }
        self.views = ViewCache::default();
    }

    /// Services that routes of the own scope lead to, in the newest held content.
    pub(crate) fn called_services(&self) -> BTreeSet<ServiceName> {
        let newest = self.store.held().and_then(|version| self.store.snapshot_at(version));
        let Some(content) = newest.or_else(|| self.store.active_snapshot()) else {
            return BTreeSet::new();
        };
        let Scope::Callers(callers) = &self.own_scope else { return BTreeSet::new() };
        let routes = content.routes.values();
        let called = routes.filter(|route| route.callers.iter().any(|caller| callers.contains(caller)));
        called.map(|route| route.service.clone()).collect()
    }

    /// Takes the next accepted version of the platform in.
    pub(crate) fn on_accepted(&mut self, accepted: &AcceptedVersion) -> Result<(), StepError> {
        let record = &accepted.record;
        if self.held.is_none() && record.version == Version::GENESIS.next() {
            let snapshot = accepted.delta.apply(&Snapshot::default());
            self.take_whole(record.version, snapshot, record.snapshot)?;
        } else {
            let from = Version(record.version.0.saturating_sub(1));
            let delta = accepted.delta.clone();
            self.on_step(&ComposedStep { from, to: record.version, delta, hash: record.snapshot })?;
        }
        self.take_sets(record);
        Ok(())
    }

    /// Takes a whole configuration of the platform in.
    pub(crate) fn on_whole_version(&mut self, whole: &WholeVersion) -> Result<(), StepError> {
        let record = &whole.record;
        self.take_whole(record.version, whole.snapshot.clone(), record.snapshot)?;
        self.take_sets(record);
        Ok(())
    }

    /// Takes the witness sets from a record. They are not worked out from the sets known before: after an operator's
    /// replacement of lost witnesses the set before may have no say, and that is only in the record.
    fn take_sets(&mut self, record: &VersionRecord) {
        let sets = WitnessSets {
            since: record.witnesses_since,
            current: record.witnesses.clone(),
            previous: record.previous_witnesses.clone(),
        };
        if *self.sets != sets {
            self.sets = Arc::new(sets);
        }
    }

    /// Takes content of another node in.
    pub(crate) fn on_transfer(&mut self, transfer: &Transfer) -> Result<(), StepError> {
        match transfer {
            Transfer::Step(step) => self.on_step(step),
            Transfer::Whole { version, content, hash } => {
                self.take_whole(*version, content.apply(&Snapshot::default()), *hash)
            }
        }
    }

    /// Notes that the held content stands for `to` as well.
    pub(crate) fn on_unchanged(&mut self, to: Version) -> Result<(), StepError> {
        let Some(held) = self.held else {
            return Err(StepError::Gap { held: None, from: to });
        };
        self.on_step(&ComposedStep { from: held.version, to, delta: Delta::default(), hash: held.hash })
    }

    /// Takes newer witness sets in. Tells whether they were newer.
    pub(crate) fn on_sets(&mut self, sets: &Arc<WitnessSets>) -> bool {
        let is_newer = sets.since > self.sets.since;
        if is_newer {
            self.sets = Arc::clone(sets);
        }
        is_newer
    }

    /// Raises the commit index. Tells whether it grew.
    pub(crate) fn on_committed(&mut self, version: Version) -> bool {
        let grew = version > self.store.committed();
        self.store.on_committed(version);
        grew
    }

    /// Takes a proved floor.
    pub(crate) fn on_floor(&mut self, floor: Version) {
        self.store.on_floor_proof(floor);
    }

    /// The next version to put in force, in the own scope.
    pub(crate) fn take_activation(&mut self) -> Option<(Version, Arc<Snapshot>)> {
        let (version, snapshot) = self.store.take_activation()?;
        if *self.store.scope() == self.own_scope {
            return Some((version, snapshot));
        }
        let view = self.views.get(&self.own_scope, version, &snapshot);
        Some((version, Arc::clone(view.snapshot())))
    }

    /// Version that a child should hold now. Nodes that hold everything are sent the newest version; leaves only
    /// committed ones, which saves them a message a version: they could not put it in force earlier anyway.
    pub(crate) fn target(&self, everything: bool) -> Option<Version> {
        let held = self.held_version()?;
        if everything || held <= self.store.committed() {
            return Some(held);
        }
        let committed = self.store.committed();
        if self.store.snapshot_at(committed).is_some() {
            return Some(committed);
        }
        self.store.active()
    }

    /// What brings a child in `scope` from what it holds to `target`; none if it is there already.
    pub(crate) fn forward(&mut self, sent: &mut Sent, scope: &Scope, target: Version) -> Option<Forward> {
        if let Sent::Claimed(held) = *sent {
            if held.version >= target {
                return None;
            }
            *sent = self.resolve(held, scope);
        }
        let Sent::Known(from, before) = sent else { return Some(Forward::NeedsWhole) };
        if *from >= target {
            return None;
        }
        let Some(after) = self.view(scope, target) else { return Some(Forward::NeedsWhole) };
        let from = std::mem::replace(from, target);
        let before = std::mem::replace(before, Arc::clone(&after));
        if before.hash() == after.hash() {
            return Some(Forward::Unchanged(target));
        }
        let delta = self.views.delta_between(scope, (from, &before), (target, &after));
        Some(Forward::Step(delta))
    }

    /// Everything of `target` in `scope`; `sent` is set accordingly.
    pub(crate) fn whole(&mut self, sent: &mut Sent, scope: &Scope, target: Version) -> Option<Transfer> {
        let view = self.view(scope, target)?;
        let content = Arc::new(Delta::between(&Snapshot::default(), view.snapshot()));
        let transfer = Transfer::Whole { version: target, content, hash: view.hash() };
        *sent = Sent::Known(target, view);
        Some(transfer)
    }

    /// What a child holds, if this node still has that version and its content agrees.
    fn resolve(&mut self, held: Held, scope: &Scope) -> Sent {
        match self.view(scope, held.version) {
            Some(view) if view.hash() == held.hash => Sent::Known(held.version, view),
            _ => Sent::Nothing,
        }
    }

    fn view(&mut self, scope: &Scope, version: Version) -> Option<Arc<ScopedView>> {
        let snapshot = self.content_at(version)?;
        if *scope == Scope::Full && self.held_version() == Some(version) {
            let hash = self.held?.hash;
            return Some(Arc::new(ScopedView::known(snapshot, hash)));
        }
        Some(self.views.get(scope, version, &snapshot))
    }

    fn content_at(&self, version: Version) -> Option<Arc<Snapshot>> {
        if let Some(snapshot) = self.store.snapshot_at(version) {
            return Some(Arc::clone(snapshot));
        }
        let active = self.store.active().filter(|active| *active == version);
        active.and_then(|_| self.store.active_snapshot().cloned())
    }

    fn on_step(&mut self, step: &ComposedStep) -> Result<(), StepError> {
        self.store.on_composed(step)?;
        self.held = Some(Held { version: step.to, hash: step.hash });
        if *self.store.scope() == Scope::Full {
            self.views.on_step(step);
        }
        Ok(())
    }

    fn take_whole(
        &mut self,
        version: Version,
        snapshot: Snapshot,
        hash: ContentHash,
    ) -> Result<(), StepError> {
        self.store.on_whole(Whole { version, hash, snapshot })?;
        self.held = Some(Held { version, hash });
        self.views = ViewCache::default();
        Ok(())
    }
}
