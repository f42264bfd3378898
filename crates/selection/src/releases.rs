//! Assigns requests to releases of a service's back ends during a rollout.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};
use umberpond_model::{NodeName, ReleaseName};

use crate::endpoint::Endpoint;

/// All requests, in thousandths.
const ALL_PERMILLE: u16 = 1000;
/// Fewest back ends of the target release that get requests during a canary stage: a mean over fewer reflects
/// their individual speed more than the release.
const MIN_CANARIES: usize = 4;
/// Back ends of the target release that get requests during a canary stage, as a multiple of its share of the
/// requests. Fewer would show its behavior under load sooner, but make a good release look bad if they happen
/// to be slow back ends.
const CANARY_FACTOR: f64 = 2.0;
/// How long a release without a known rollout gets no requests while an established release can serve them. A
/// rollout is usually received within two seconds, and a store outage is usually over by the end of this
/// time.
const UNPLANNED_RELEASE_HOLD: Duration = Duration::from_secs(8);

/// A release and its share of the service's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseShare {
    /// The release.
    pub target: ReleaseName,
    /// Share of the requests that go to it, in thousandths.
    pub permille: u16,
}

/// Group of back ends that a request is assigned to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseGroup {
    /// Back ends of the release that is being rolled out.
    Target,
    /// Back ends of all other releases.
    Others,
}

/// Release state of one service.
#[derive(Debug, Default)]
pub(crate) struct Releases {
    share: Option<ReleaseShare>,
    /// Fraction of a request that the target is owed. It starts at a random value, so that nodes don't all
    /// begin with the same group. Requests are distributed evenly rather than at random, so that the shares
    /// also hold over few requests.
    target_credit: f64,
    canaries: BTreeSet<NodeName>,
    /// Releases that were present before any other, or that a rollout has completed.
    established: BTreeSet<ReleaseName>,
    /// Since when a release is present that is not established.
    unplanned_since: Option<Instant>,
}

impl Releases {
    /// Sets the target release and its share.
    pub(crate) fn set_share(&mut self, share: ReleaseShare, random: &mut impl Rng) {
        let is_same_target = self.share.as_ref().is_some_and(|before| before.target == share.target);
        if !is_same_target {
            self.target_credit = random.random();
        }
        match share.permille {
            ALL_PERMILLE => self.established = BTreeSet::from([share.target.clone()]),
            0 => {
                self.established.remove(&share.target);
            }
            _ => {}
        }
        self.share = Some(share);
    }

    /// Updates established releases and canaries from the current endpoints.
    pub(crate) fn on_endpoints<'a>(
        &mut self,
        now: Instant,
        endpoints: impl Iterator<Item = &'a Endpoint> + Clone,
    ) {
        let present: BTreeSet<&ReleaseName> =
            endpoints.clone().filter_map(|endpoint| endpoint.release.as_ref()).collect();
        let is_any_established = present.iter().any(|release| self.established.contains(*release));
        if !is_any_established && self.share.is_none() {
            self.established.extend(present.iter().map(|release| (*release).clone()));
        }
        let is_planned = |release: &ReleaseName| {
            self.established.contains(release)
                || self.share.as_ref().is_some_and(|share| share.target == *release)
        };
        let is_unplanned = present.iter().any(|release| !is_planned(release));
        self.unplanned_since = is_unplanned.then(|| self.unplanned_since.unwrap_or(now));
        self.choose_canaries(endpoints);
    }

    fn choose_canaries<'a>(&mut self, endpoints: impl Iterator<Item = &'a Endpoint>) {
        let Some(share) = &self.share else {
            self.canaries.clear();
            return;
        };
        let of_target = endpoints.filter(|endpoint| endpoint.release.as_ref() == Some(&share.target));
        let mut ranked: Vec<(u64, &NodeName)> =
            of_target.map(|endpoint| (rank(&endpoint.node), &endpoint.node)).collect();
        ranked.sort_unstable();
        let wanted = canary_count(share.permille, ranked.len());
        self.canaries = ranked.into_iter().take(wanted).map(|(_, node)| node.clone()).collect();
    }

    /// Assigns one request to a group.
    pub(crate) fn assign(&mut self) -> ReleaseGroup {
        let Some(share) = &self.share else { return ReleaseGroup::Others };
        self.target_credit += f64::from(share.permille) / f64::from(ALL_PERMILLE);
        if self.target_credit < 1.0 {
            return ReleaseGroup::Others;
        }
        self.target_credit -= 1.0;
        ReleaseGroup::Target
    }

    /// Whether a request assigned to `group` may go to `endpoint`.
    pub(crate) fn allows(&self, now: Instant, group: ReleaseGroup, endpoint: &Endpoint) -> bool {
        let Some(share) = &self.share else { return self.is_established(now, endpoint) };
        let is_target = endpoint.release.as_ref() == Some(&share.target);
        match (share.permille, group) {
            // The release of a process that has just started may not be known yet, and no other release gets
            // requests.
            (ALL_PERMILLE, _) => is_target || endpoint.release.is_none(),
            (0, _) | (_, ReleaseGroup::Others) => !is_target && endpoint.release.is_some(),
            (_, ReleaseGroup::Target) => is_target && self.canaries.contains(&endpoint.node),
        }
    }

    fn is_established(&self, now: Instant, endpoint: &Endpoint) -> bool {
        let Some(release) = &endpoint.release else { return true };
        let is_held = |since: Instant| now.saturating_duration_since(since) < UNPLANNED_RELEASE_HOLD;
        self.established.contains(release) || !self.unplanned_since.is_some_and(is_held)
    }
}

fn canary_count(permille: u16, count: usize) -> usize {
    if permille >= ALL_PERMILLE {
        return count;
    }
    #[allow(clippy::cast_precision_loss, reason = "a count of nodes")]
    let wanted = count as f64 * CANARY_FACTOR * f64::from(permille) / f64::from(ALL_PERMILLE);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "at most twice the count")]
    let wanted = wanted.ceil() as usize;
    wanted.max(MIN_CANARIES)
}

/// Position of a node in an order that is the same on all nodes and independent of names and locations.
fn rank(node: &NodeName) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(node.as_str().as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}
