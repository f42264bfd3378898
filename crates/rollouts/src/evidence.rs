//! Response counts of one back end, and the report that carries them to the coordinators.

use std::collections::BTreeMap;
use std::time::Duration;

use bitcode::{Decode, Encode};
use umberpond_model::{NodeName, ReleaseName, ServiceName};

/// Maximum number of routes with their own counters at one back end, so that a report fits into a datagram.
/// All further routes share one counter.
const MAX_ROUTES: usize = 12;
/// Key of the counter that all further routes share.
const OTHER_ROUTES: u32 = 0;

/// Responses of one route since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct RouteTally {
    /// Hash of the route's name, the same on all nodes.
    pub route: u32,
    /// Successful responses.
    pub good: u32,
    /// Failed responses of the back end.
    pub bad: u32,
    /// Total back-end time of the successful responses, in milliseconds.
    pub good_millis: u64,
}

/// Counts the responses of one back end by route.
#[derive(Debug, Default)]
pub struct ResponseTally {
    routes: BTreeMap<u32, RouteTally>,
}

impl ResponseTally {
    /// Counts a response on the route whose name has the hash `route`.
    pub fn record(&mut self, route: u32, is_good: bool, back_end_time: Duration) {
        let has_own_counter = self.routes.contains_key(&route) || self.routes.len() < MAX_ROUTES;
        let route = if has_own_counter { route } else { OTHER_ROUTES };
        let tally = self.routes.entry(route).or_insert(RouteTally { route, ..RouteTally::default() });
        if is_good {
            tally.good = tally.good.saturating_add(1);
            tally.good_millis += u64::try_from(back_end_time.as_millis()).unwrap_or(0);
        } else {
            tally.bad = tally.bad.saturating_add(1);
        }
    }

    /// The counts so far.
    #[must_use]
    pub fn routes(&self) -> Vec<RouteTally> {
        self.routes.values().copied().collect()
    }

    /// Resets all counts, when another back end process has replaced the previous one.
    pub fn clear(&mut self) {
        self.routes.clear();
    }
}

/// Report of one node to the coordinators of a rollout. Counts are cumulative since the start of the back end
/// process, so that lost and duplicate reports do no harm.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ReleaseEvidence {
    /// The node.
    pub node: NodeName,
    /// Identity of its current back end process.
    pub instance: String,
    /// Sequence number of the report within this process of the node.
    pub number: u64,
    /// Service of the back end.
    pub service: ServiceName,
    /// Release of the back end.
    pub release: ReleaseName,
    /// Whether the back end is cold, so that its times are not comparable.
    pub is_cold: bool,
    /// Whether the node blocks all requests to the back end because of a plan.
    pub is_closed: bool,
    /// Requests that run at the back end or wait for it.
    pub in_flight: u32,
    /// Response counts by route.
    pub routes: Vec<RouteTally>,
}
