//! Recent responses of the target and of the other releases, by route.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use umberpond_model::NodeName;

use crate::evidence::{ReleaseEvidence, RouteTally};

/// Responses of one group of releases on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ResponseCounts {
    pub(crate) good: u32,
    pub(crate) bad: u32,
    /// Successful responses of warm back ends, and the sum of their times.
    pub(crate) timed: u32,
    pub(crate) timed_millis: u64,
}

impl ResponseCounts {
    pub(crate) const fn count(self) -> u32 {
        self.good + self.bad
    }

    pub(crate) fn add(&mut self, other: Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.timed += other.timed;
        self.timed_millis += other.timed_millis;
    }

    /// Mean time of a successful response of a warm back end, in milliseconds.
    pub(crate) fn mean_millis(self) -> Option<f64> {
        #[allow(clippy::cast_precision_loss, reason = "a sum of times of some seconds")]
        let sum = self.timed_millis as f64;
        (self.timed > 0).then(|| sum / f64::from(self.timed))
    }
}

/// The target release or all others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum ReleaseGroup {
    /// The release that requests are shifted to.
    Target,
    /// All other releases.
    Others,
}

/// New responses, as the difference between successive reports, by route and group.
pub(crate) type NewResponses = BTreeMap<(u32, ReleaseGroup), ResponseCounts>;

/// Turns the cumulative reports of all nodes into recent response counts.
#[derive(Debug)]
pub(crate) struct ResponseWindows {
    length: Duration,
    reported: BTreeMap<NodeName, ReleaseEvidence>,
    recent: VecDeque<(Instant, NewResponses)>,
    new_responses: NewResponses,
}

impl ResponseWindows {
    pub(crate) const fn new(length: Duration) -> Self {
        Self {
            length,
            reported: BTreeMap::new(),
            recent: VecDeque::new(),
            new_responses: NewResponses::new(),
        }
    }

    /// Processes a report. Ignores a report that is older than the latest one of the node.
    pub(crate) fn on_evidence(&mut self, group: ReleaseGroup, evidence: ReleaseEvidence) {
        let before = self.reported.get(&evidence.node);
        let is_same_process = before.is_some_and(|before| before.instance == evidence.instance);
        let is_later = before.is_none_or(|before| !is_same_process || before.number < evidence.number);
        if !is_later {
            return;
        }
        // The first report of a back end covers responses before the rollout, unless it belongs to the
        // target.
        let is_counted = is_same_process || group == ReleaseGroup::Target;
        if is_counted {
            for tally in &evidence.routes {
                let known =
                    before.filter(|_| is_same_process).and_then(|before| route_of(before, tally.route));
                let responses = new_counts(*tally, known.unwrap_or_default(), evidence.is_cold);
                self.new_responses.entry((tally.route, group)).or_default().add(responses);
            }
        }
        self.reported.insert(evidence.node.clone(), evidence);
    }

    /// Returns the new responses since the last call; they count as recent from `now` on.
    pub(crate) fn take_new_responses(&mut self, now: Instant) -> NewResponses {
        let new_responses = std::mem::take(&mut self.new_responses);
        self.recent.push_back((now, new_responses.clone()));
        let is_old = |at: Instant| now.saturating_duration_since(at) > self.length;
        while self.recent.front().is_some_and(|(at, _)| is_old(*at)) {
            self.recent.pop_front();
        }
        new_responses
    }

    /// Recent responses of one group by route.
    pub(crate) fn recent(&self, group: ReleaseGroup) -> BTreeMap<u32, ResponseCounts> {
        let mut totals: BTreeMap<u32, ResponseCounts> = BTreeMap::new();
        for (_, new_responses) in &self.recent {
            for ((route, of), responses) in new_responses {
                if *of == group {
                    totals.entry(*route).or_default().add(*responses);
                }
            }
        }
        totals
    }

    /// The latest report of a node.
    pub(crate) fn last_report(&self, node: &NodeName) -> Option<&ReleaseEvidence> {
        self.reported.get(node)
    }
}

fn route_of(evidence: &ReleaseEvidence, route: u32) -> Option<RouteTally> {
    evidence.routes.iter().find(|tally| tally.route == route).copied()
}

fn new_counts(tally: RouteTally, known: RouteTally, is_cold: bool) -> ResponseCounts {
    let good = tally.good.saturating_sub(known.good);
    ResponseCounts {
        good,
        bad: tally.bad.saturating_sub(known.bad),
        timed: if is_cold { 0 } else { good },
        timed_millis: if is_cold { 0 } else { tally.good_millis.saturating_sub(known.good_millis) },
    }
}
