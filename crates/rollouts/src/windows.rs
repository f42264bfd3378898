//! What the two releases have answered lately, by route.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use umberpond_model::NodeName;

use crate::evidence::{ReleaseEvidence, RouteTally};

/// Answers of one release on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Answers {
    pub(crate) good: u32,
    pub(crate) bad: u32,
    /// Good answers of back ends that were not cold, and the sum of their times.
    pub(crate) timed: u32,
    pub(crate) timed_millis: u64,
}

impl Answers {
    pub(crate) const fn count(self) -> u32 {
        self.good + self.bad
    }

    pub(crate) fn add(&mut self, other: Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.timed += other.timed;
        self.timed_millis += other.timed_millis;
    }

    /// Mean time of a good answer in milliseconds; absent without any.
    pub(crate) fn mean_millis(self) -> Option<f64> {
        #[allow(clippy::cast_precision_loss, reason = "a sum of times of some seconds")]
        let sum = self.timed_millis as f64;
        (self.timed > 0).then(|| sum / f64::from(self.timed))
    }
}

/// Which of the two releases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Side {
    /// The one to which requests are moved.
    Target,
    /// All others.
    Others,
}

/// New answers since the last report of each node.
pub(crate) type Arrived = BTreeMap<(u32, Side), Answers>;

/// Follows the reports of all nodes and keeps what is recent.
#[derive(Debug)]
pub(crate) struct AnswerWindows {
    length: Duration,
    reported: BTreeMap<NodeName, ReleaseEvidence>,
    recent: VecDeque<(Instant, Arrived)>,
    arrived: Arrived,
}

impl AnswerWindows {
    pub(crate) const fn new(length: Duration) -> Self {
        Self { length, reported: BTreeMap::new(), recent: VecDeque::new(), arrived: Arrived::new() }
    }

    /// Takes in a report; an older one than that held changes nothing.
    pub(crate) fn on_evidence(&mut self, side: Side, evidence: ReleaseEvidence) {
        let before = self.reported.get(&evidence.node);
        let is_same_life = before.is_some_and(|before| before.instance == evidence.instance);
        let is_later = before.is_none_or(|before| !is_same_life || before.number < evidence.number);
        if !is_later {
            return;
        }
        // The first report of a back end tells what came before the rollout, unless it belongs to the target.
        let is_counted = is_same_life || side == Side::Target;
        if is_counted {
            for tally in &evidence.routes {
                let known = before.filter(|_| is_same_life).and_then(|before| route_of(before, tally.route));
                let answers = difference(*tally, known.unwrap_or_default(), evidence.is_cold);
                self.arrived.entry((tally.route, side)).or_default().add(answers);
            }
        }
        self.reported.insert(evidence.node.clone(), evidence);
    }

    /// What has arrived since this was asked last; it counts as recent from `now` on.
    pub(crate) fn take_arrived(&mut self, now: Instant) -> Arrived {
        let arrived = std::mem::take(&mut self.arrived);
        self.recent.push_back((now, arrived.clone()));
        let is_old = |at: Instant| now.saturating_duration_since(at) > self.length;
        while self.recent.front().is_some_and(|(at, _)| is_old(*at)) {
            self.recent.pop_front();
        }
        arrived
    }

    /// Recent answers of one release by route.
    pub(crate) fn recent(&self, side: Side) -> BTreeMap<u32, Answers> {
        let mut sums: BTreeMap<u32, Answers> = BTreeMap::new();
        for (_, arrived) in &self.recent {
            for ((route, of), answers) in arrived {
                if *of == side {
                    sums.entry(*route).or_default().add(*answers);
                }
            }
        }
        sums
    }

    /// The last report of a node.
    pub(crate) fn last_of(&self, node: &NodeName) -> Option<&ReleaseEvidence> {
        self.reported.get(node)
    }
}

fn route_of(evidence: &ReleaseEvidence, route: u32) -> Option<RouteTally> {
    evidence.routes.iter().find(|tally| tally.route == route).copied()
}

fn difference(tally: RouteTally, known: RouteTally, is_cold: bool) -> Answers {
    let good = tally.good.saturating_sub(known.good);
    Answers {
        good,
        bad: tally.bad.saturating_sub(known.bad),
        timed: if is_cold { 0 } else { good },
        timed_millis: if is_cold { 0 } else { tally.good_millis.saturating_sub(known.good_millis) },
    }
}
