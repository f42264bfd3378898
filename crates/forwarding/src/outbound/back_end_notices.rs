//! What back ends have said about new requests in the responses that this node has forwarded to callers.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use umberpond_model::{BackEndProcess, NodeName, RequestRate};
use umberpond_scheduling::AdvertisedLimit;

use crate::upstream::BackEndSignals;

/// Maximum number of back ends whose notices are kept.
const MAX_NOTICES: usize = 4096;

/// What one back-end process has said.
#[derive(Debug, Clone)]
struct Notice {
    process: BackEndProcess,
    limit: AdvertisedLimit,
    is_leaving: bool,
}

impl Notice {
    fn new(process: &BackEndProcess) -> Self {
        Self { process: process.clone(), limit: AdvertisedLimit::default(), is_leaving: false }
    }
}

/// Changes that one response has made to the notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NoticeChange {
    pub(super) limit_before: Option<RequestRate>,
    pub(super) limit: Option<RequestRate>,
    /// Whether the back end has said for the first time that it is about to shut down.
    pub(super) has_begun_to_leave: bool,
}

/// The notices of all back ends. They outlive the endpoints, so that they still hold when the node beside a back
/// end has restarted and knows nothing about it.
#[derive(Debug, Default)]
pub(super) struct BackEndNotices {
    /// By node beside the back end.
    notices: BTreeMap<NodeName, Notice>,
    /// The nodes in the order in which their notices were added.
    added: VecDeque<NodeName>,
}

impl BackEndNotices {
    /// Applies a response of `process` beside `node` to a request that was sent at `sent_at`.
    pub(super) fn on_response(
        &mut self,
        now: Instant,
        sent_at: Instant,
        node: &NodeName,
        process: &BackEndProcess,
        signals: BackEndSignals,
    ) -> NoticeChange {
        // Only the node beside a back end without identity can tell when the next process has replaced it.
        let is_leaving = signals.is_leaving && process.is_named();
        let mut notice = self.notice(node, process).cloned().unwrap_or_else(|| Notice::new(process));
        let limit_before = notice.limit.rate();
        notice.limit.on_response(now, sent_at, signals.limit);
        let has_begun_to_leave = is_leaving && !notice.is_leaving;
        notice.is_leaving |= is_leaving;
        let change = NoticeChange { limit_before, limit: notice.limit.rate(), has_begun_to_leave };
        if notice.is_leaving || notice.limit.rate().is_some() {
            self.store(node, notice);
        } else {
            self.remove(node);
        }
        change
    }

    /// Whether no back end has said anything.
    pub(super) fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// Request limit that `process` has advertised.
    pub(super) fn limit(&self, node: &NodeName, process: &BackEndProcess) -> Option<RequestRate> {
        self.notice(node, process)?.limit.rate()
    }

    /// Whether `process` has said that it is about to shut down.
    pub(super) fn is_leaving(&self, node: &NodeName, process: &BackEndProcess) -> bool {
        self.notice(node, process).is_some_and(|notice| notice.is_leaving)
    }

    /// Whether any back end has said that it is about to shut down.
    pub(super) fn has_leaving(&self) -> bool {
        self.notices.values().any(|notice| notice.is_leaving)
    }

    fn notice(&self, node: &NodeName, process: &BackEndProcess) -> Option<&Notice> {
        self.notices.get(node).filter(|notice| notice.process.may_equal(process))
    }

    fn remove(&mut self, node: &NodeName) {
        if self.notices.remove(node).is_some() {
            self.added.retain(|added| added != node);
        }
    }

    fn store(&mut self, node: &NodeName, notice: Notice) {
        if self.notices.insert(node.clone(), notice).is_some() {
            return;
        }
        self.added.push_back(node.clone());
        if self.added.len() > MAX_NOTICES
            && let Some(oldest) = self.added.pop_front()
        {
            self.notices.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests;
