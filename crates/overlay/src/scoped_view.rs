//! Content as a child's scope sees it, computed once for all children of one scope.
//!
//! Most versions touch few scopes. A step that names nothing of a scope leaves the view of that scope as it was, so
//! the view is carried over to the new version without looking at the whole content.

use std::collections::BTreeMap;
use std::sync::Arc;

use umberpond_config::{Delta, Scope, Snapshot};
use umberpond_model::{ContentHash, Version};
use umberpond_versions::ComposedStep;

/// Most recent steps remembered; more than pass between two looks at one scope while updates flow.
const MAX_STEPS: usize = 32;

/// Most views kept: more than the distinct scopes below one relay.
const MAX_VIEWS: usize = 128;

/// Most composed deltas kept for the present version.
const MAX_DELTAS: usize = 64;

/// Content in one scope and its hash.
#[derive(Debug)]
pub(crate) struct ScopedView {
    snapshot: Arc<Snapshot>,
    hash: ContentHash,
}

impl ScopedView {
    /// A view whose hash is known already.
    pub(crate) const fn known(snapshot: Arc<Snapshot>, hash: ContentHash) -> Self {
        Self { snapshot, hash }
    }

    pub(crate) const fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    pub(crate) const fn hash(&self) -> ContentHash {
        self.hash
    }

    fn of(content: &Snapshot, scope: &Scope) -> Self {
        let snapshot = Arc::new(content.restrict(scope));
        let hash = snapshot.content_hash();
        Self { snapshot, hash }
    }
}

/// Key of a composed delta: scope, version it builds on and version that results.
type DeltaKey = (Scope, Version, Version);

/// Views by scope, each at the version asked for last.
#[derive(Debug, Default)]
pub(crate) struct ViewCache {
    views: BTreeMap<Scope, (Version, Arc<ScopedView>)>,
    /// Steps by the version they build on.
    steps: BTreeMap<Version, (Version, Delta)>,
    deltas: BTreeMap<DeltaKey, Arc<ComposedStep>>,
}

impl ViewCache {
    /// Remembers a step of the whole content.
    pub(crate) fn on_step(&mut self, step: &ComposedStep) {
        self.steps.insert(step.from, (step.to, step.delta.clone()));
        self.deltas.clear();
        while self.steps.len() > MAX_STEPS {
            self.steps.pop_first();
        }
    }

    /// The view of `content`, which is the whole content of `version`.
    pub(crate) fn get(&mut self, scope: &Scope, version: Version, content: &Snapshot) -> Arc<ScopedView> {
        let carried = self.views.get(scope).and_then(|(at, view)| {
            self.is_untouched(scope, *at, version, &view.snapshot).then(|| Arc::clone(view))
        });
        let view = carried.unwrap_or_else(|| Arc::new(ScopedView::of(content, scope)));
        let is_newest = self.views.get(scope).is_none_or(|(at, _)| *at <= version);
        if is_newest && (self.views.len() < MAX_VIEWS || self.views.contains_key(scope)) {
            self.views.insert(scope.clone(), (version, Arc::clone(&view)));
        }
        view
    }

    /// The delta between two views of one scope, shared by all children that need the same one.
    pub(crate) fn delta_between(
        &mut self,
        scope: &Scope,
        (from, before): (Version, &ScopedView),
        (to, after): (Version, &ScopedView),
    ) -> Arc<ComposedStep> {
        let key = (scope.clone(), from, to);
        if let Some(step) = self.deltas.get(&key) {
            return Arc::clone(step);
        }
        let whole_step = self.steps.get(&from).filter(|(next, _)| *scope == Scope::Full && *next == to);
        let delta = match whole_step {
            Some((_, delta)) => delta.clone(),
            None => Delta::between(&before.snapshot, &after.snapshot),
        };
        let step = Arc::new(ComposedStep { from, to, delta, hash: after.hash });
        if self.deltas.len() < MAX_DELTAS {
            self.deltas.insert(key, Arc::clone(&step));
        }
        step
    }

    /// Whether no step between two versions touches what `scope` sees.
    fn is_untouched(&self, scope: &Scope, from: Version, to: Version, view: &Snapshot) -> bool {
        let mut at = from;
        while at < to {
            let Some((next, delta)) = self.steps.get(&at) else { return false };
            if touches(delta, scope, view) {
                return false;
            }
            at = *next;
        }
        at == to
    }
}

/// Whether a delta may change what `scope` sees, given what it sees now. May err on the side of yes.
fn touches(delta: &Delta, scope: &Scope, view: &Snapshot) -> bool {
    let Scope::Callers(callers) = scope else { return true };
    if delta.topology.is_some() {
        return true;
    }
    let service =
        delta.services.keys().any(|name| view.services.contains_key(name) || callers.contains(name));
    let secret = delta.secrets.keys().any(|name| view.secrets.contains_key(name));
    let route = delta.routes.iter().any(|(name, route)| {
        let is_called = route.as_ref().is_some_and(|route| !route.callers.is_disjoint(callers));
        is_called || view.routes.contains_key(name)
    });
    service || secret || route
}
