//! What the node beside a back end has seen of its answers.

use std::collections::BTreeMap;
use std::time::Duration;

use bitcode::{Decode, Encode};
use umberpond_model::{NodeName, ReleaseName, ServiceName};

/// Most routes counted apart at one back end: more would not fit into a datagram. The rest is counted together.
const MAX_ROUTES: usize = 12;
/// Key under which the answers of all further routes are counted.
const OTHER_ROUTES: u32 = 0;

/// Answers of one route since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct RouteTally {
    /// Hash of the route's name; all nodes use the same.
    pub route: u32,
    /// Answers that are no failures.
    pub good: u32,
    /// Answers that the back end gave as failures.
    pub bad: u32,
    /// Sum of the times that the back end took for the good ones, in milliseconds.
    pub good_millis: u64,
}

/// Counts the answers of one back end.
#[derive(Debug, Default)]
pub struct AnswerTally {
    routes: BTreeMap<u32, RouteTally>,
}

impl AnswerTally {
    /// Takes in an answer of the route whose name has this hash.
    pub fn record(&mut self, route: u32, is_good: bool, served_in: Duration) {
        let is_counted_apart = self.routes.contains_key(&route) || self.routes.len() < MAX_ROUTES;
        let route = if is_counted_apart { route } else { OTHER_ROUTES };
        let tally = self.routes.entry(route).or_insert(RouteTally { route, ..RouteTally::default() });
        if is_good {
            tally.good = tally.good.saturating_add(1);
            tally.good_millis += u64::try_from(served_in.as_millis()).unwrap_or(0);
        } else {
            tally.bad = tally.bad.saturating_add(1);
        }
    }

    /// The counts so far.
    #[must_use]
    pub fn routes(&self) -> Vec<RouteTally> {
        self.routes.values().copied().collect()
    }

    /// Starts anew: another back end stands in the place of the one before.
    pub fn clear(&mut self) {
        self.routes.clear();
    }
}

/// What one node reports to the coordinators of a rollout. Counts go up from the start of the back end's life, so that a lost
/// or doubled report does no harm.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ReleaseEvidence {
    /// The node.
    pub node: NodeName,
    /// Identity of its back end's present life.
    pub instance: String,
    /// Count of the reports of this process.
    pub number: u64,
    /// Service of the back end.
    pub service: ServiceName,
    /// Its release.
    pub release: ReleaseName,
    /// Whether it is slow because it has just started.
    pub is_cold: bool,
    /// Whether the node lets no request through to it because of a plan.
    pub is_closed: bool,
    /// Requests that it works on or that wait for it.
    pub in_flight: u32,
    /// Answers by route.
    pub routes: Vec<RouteTally>,
}
