//! Content as the scopes of children see it, kept from version to version.
//!
//! A step that touches nothing of a scope leaves the view of that scope, and its hash, as they were: the view is carried
//! over to the newer version without a look at the content.

use std::collections::BTreeMap;
use std::sync::Arc;

use umberpond_config::{Scope, Snapshot, TouchedScopes};
use umberpond_model::{ContentHash, Version};

/// Most steps remembered; more than pass between two looks at one scope while updates flow.
const MAX_STEPS: usize = 128;

/// Most views kept: more than the distinct scopes below one relay. The one looked at longest ago goes first.
const MAX_VIEWS: usize = 256;

/// Content in one scope and its hash. Copies share the content.
#[derive(Debug, Clone)]
pub struct ScopedView {
    /// The content.
    pub snapshot: Arc<Snapshot>,
    /// Content hash in the scope.
    pub hash: ContentHash,
}

impl ScopedView {
    fn of(content: &Snapshot, scope: &Scope) -> Self {
        let snapshot = Arc::new(content.restrict(scope));
        let hash = snapshot.content_hash();
        Self { snapshot, hash }
    }
}

/// A step of the whole content.
#[derive(Debug)]
struct TouchingStep {
    to: Version,
    touched: TouchedScopes,
}

/// Views by scope, each at the newest version asked for.
#[derive(Debug, Default)]
pub(crate) struct ScopedViews {
    views: BTreeMap<Scope, (Version, ScopedView)>,
    /// Steps by the version they build on.
    steps: BTreeMap<Version, TouchingStep>,
}

impl ScopedViews {
    /// Remembers whom a step of the whole content touches.
    pub(crate) fn on_step(&mut self, from: Version, to: Version, touched: TouchedScopes) {
        self.steps.insert(from, TouchingStep { to, touched });
        while self.steps.len() > MAX_STEPS {
            self.steps.pop_first();
        }
    }

    /// Forgets everything.
    pub(crate) fn clear(&mut self) {
        self.views.clear();
        self.steps.clear();
    }

    /// The view of `content`, which is the whole content of `version`.
    pub(crate) fn get(&mut self, scope: &Scope, version: Version, content: &Snapshot) -> ScopedView {
        let known = self.views.get(scope);
        let carried = known.filter(|(at, _)| self.is_untouched(scope, *at, version));
        let view = carried.map_or_else(|| ScopedView::of(content, scope), |(_, view)| view.clone());
        if known.is_none_or(|(at, _)| *at <= version) {
            self.keep(scope, version, view.clone());
        }
        view
    }

    /// Whether `scope` sees the same at both versions, as far as the remembered steps tell.
    pub(crate) fn is_untouched(&self, scope: &Scope, from: Version, to: Version) -> bool {
        let mut at = from;
        while at < to {
            let Some(step) = self.steps.get(&at) else { return false };
            if step.touched.contains(scope) {
                return false;
            }
            at = step.to;
        }
        at == to
    }

    fn keep(&mut self, scope: &Scope, version: Version, view: ScopedView) {
        self.views.insert(scope.clone(), (version, view));
        if self.views.len() > MAX_VIEWS {
            let oldest = self.views.iter().min_by_key(|(_, (at, _))| *at).map(|(scope, _)| scope.clone());
            oldest.and_then(|scope| self.views.remove(&scope));
        }
    }
}
