//! Recent snapshots of a relay, from which one delta is composed for a child that fell behind.

use std::collections::BTreeMap;
use std::sync::Arc;

use umberpond_config::{Delta, Scope, Snapshot, TouchedScopes};
use umberpond_model::Version;

use crate::ComposedStep;
use crate::scoped_view::{ScopedView, ScopedViews};

/// Most recent versions that a relay keeps. At ten times the average rate of 0.6 changes a second this spans
/// about 20 seconds; a child that is further behind takes a whole transfer.
const MAX_VERSIONS: usize = 128;

/// Most composed deltas kept for reuse until the next version comes; children of one service share one.
const MAX_COMPOSED: usize = 256;

/// Recent snapshots, sharing their entries, and the deltas composed from them for the newest version.
#[derive(Debug, Default)]
pub(crate) struct History {
    snapshots: BTreeMap<Version, Arc<Snapshot>>,
    composed: BTreeMap<(Version, Scope), Arc<ComposedStep>>,
    views: ScopedViews,
}

impl History {
    /// Adds the newest snapshot and forgets what falls out of the window.
    pub(crate) fn push(&mut self, version: Version, snapshot: Arc<Snapshot>) {
        self.composed.clear();
        self.snapshots.insert(version, snapshot);
        while self.snapshots.len() > MAX_VERSIONS {
            self.snapshots.pop_first();
        }
    }

    /// Notes the delta that leads from the newest snapshot to the one that is pushed next.
    pub(crate) fn on_delta(&mut self, from: Version, to: Version, delta: &Delta, after: &Snapshot) {
        if let Some(before) = self.snapshots.get(&from) {
            self.views.on_step(from, to, TouchedScopes::of(delta, before, after));
        }
    }

    /// Forgets everything.
    pub(crate) fn clear(&mut self) {
        self.snapshots.clear();
        self.composed.clear();
        self.views.clear();
    }

    /// The snapshot of `version`, if it is still kept.
    pub(crate) fn get(&self, version: Version) -> Option<&Arc<Snapshot>> {
        self.snapshots.get(&version)
    }

    /// The snapshot of `version` as `scope` sees it, if it is still kept.
    pub(crate) fn view(&mut self, scope: &Scope, version: Version) -> Option<ScopedView> {
        let content = self.snapshots.get(&version)?;
        Some(self.views.get(scope, version, content))
    }

    /// One delta from `from` to the newest version, as `scope` sees it.
    pub(crate) fn step_from(&mut self, from: Version, scope: &Scope) -> Option<Arc<ComposedStep>> {
        let key = (from, scope.clone());
        if let Some(step) = self.composed.get(&key) {
            return Some(Arc::clone(step));
        }
        let step = Arc::new(self.compose(from, scope)?);
        if self.composed.len() < MAX_COMPOSED {
            self.composed.insert(key, Arc::clone(&step));
        }
        Some(step)
    }

    fn compose(&mut self, from: Version, scope: &Scope) -> Option<ComposedStep> {
        let to = *self.snapshots.last_key_value()?.0;
        if to <= from || !self.snapshots.contains_key(&from) {
            return None;
        }
        if self.views.is_untouched(scope, from, to) {
            let hash = self.view(scope, to)?.hash;
            return Some(ComposedStep { from, to, delta: Delta::default(), hash });
        }
        let before = self.view(scope, from)?;
        let after = self.view(scope, to)?;
        let delta = Delta::between(&before.snapshot, &after.snapshot);
        Some(ComposedStep { from, to, delta, hash: after.hash })
    }
}
