//! Which release of a service's back ends gets a request, while its requests are moved from one release to another.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};
use umberpond_model::{NodeName, ReleaseName};

use crate::endpoint::Endpoint;

/// Thousandths of all requests.
const ALL_PERMILLE: u16 = 1000;
/// Fewest back ends of the target that get requests while it is tried out: a mean over fewer tells their speed more than
/// that of the release.
const FEWEST_CANARIES: usize = 4;
/// Back ends of the target that get requests while it is tried out, as a multiple of its share of requests. Fewer would show
/// sooner how it does under load, but a good one of slow back ends would look bad.
const CANARY_FACTOR: f64 = 2.0;
/// How long a release of which no rollout tells gets no requests while one that was there before can serve them. A rollout is
/// heard of within some two seconds, and a store that is away for a while is back by then.
const UNPLANNED_HOLD: Duration = Duration::from_secs(8);

/// The share of one release in the requests of its service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseShare {
    /// The release.
    pub target: ReleaseName,
    /// Thousandths of the requests that go to it.
    pub permille: u16,
}

/// The back ends that may get one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseGroup {
    /// Those of the release to which requests are being moved.
    Target,
    /// Those of all other releases.
    Others,
}

/// What is known of the releases of one service.
#[derive(Debug, Default)]
pub(crate) struct Releases {
    share: Option<ReleaseShare>,
    /// Part of a request that the target is owed. It starts at random, so that nodes don't all begin with the same one, and
    /// requests are dealt evenly instead of drawn, so that the shares hold over few requests too.
    owed: f64,
    canaries: BTreeSet<NodeName>,
    /// Releases that were there before any other, or that a rollout has brought in.
    established: BTreeSet<ReleaseName>,
    /// Since when a release that is not established is there.
    unplanned_since: Option<Instant>,
}

impl Releases {
    /// Sets the share of a release.
    pub(crate) fn set_share(&mut self, share: ReleaseShare, random: &mut impl Rng) {
        let is_same_target = self.share.as_ref().is_some_and(|before| before.target == share.target);
        if !is_same_target {
            self.owed = random.random();
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

    /// Takes in which back ends there are.
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
        let wanted = wanted_canaries(share.permille, ranked.len());
        self.canaries = ranked.into_iter().take(wanted).map(|(_, node)| node.clone()).collect();
    }

    /// Deals one request to a release.
    pub(crate) fn deal(&mut self) -> ReleaseGroup {
        let Some(share) = &self.share else { return ReleaseGroup::Others };
        self.owed += f64::from(share.permille) / f64::from(ALL_PERMILLE);
        if self.owed < 1.0 {
            return ReleaseGroup::Others;
        }
        self.owed -= 1.0;
        ReleaseGroup::Target
    }

    /// Whether a request dealt to `group` may go to `endpoint`.
    pub(crate) fn allows(&self, now: Instant, group: ReleaseGroup, endpoint: &Endpoint) -> bool {
        let Some(share) = &self.share else { return self.is_established(now, endpoint) };
        let is_target = endpoint.release.as_ref() == Some(&share.target);
        match (share.permille, group) {
            // Of a process that has just started it may not be known yet, and no other release gets requests.
            (ALL_PERMILLE, _) => is_target || endpoint.release.is_none(),
            (0, _) | (_, ReleaseGroup::Others) => !is_target && endpoint.release.is_some(),
            (_, ReleaseGroup::Target) => is_target && self.canaries.contains(&endpoint.node),
        }
    }

    fn is_established(&self, now: Instant, endpoint: &Endpoint) -> bool {
        let Some(release) = &endpoint.release else { return true };
        let is_held = |since: Instant| now.saturating_duration_since(since) < UNPLANNED_HOLD;
        self.established.contains(release) || !self.unplanned_since.is_some_and(is_held)
    }
}

fn wanted_canaries(permille: u16, count: usize) -> usize {
    if permille >= ALL_PERMILLE {
        return count;
    }
    #[allow(clippy::cast_precision_loss, reason = "a count of nodes")]
    let wanted = count as f64 * CANARY_FACTOR * f64::from(permille) / f64::from(ALL_PERMILLE);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "at most twice the count")]
    let wanted = wanted.ceil() as usize;
    wanted.max(FEWEST_CANARIES)
}

/// Place of a node in an order that is the same on all nodes and follows neither names nor places.
fn rank(node: &NodeName) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(node.as_str().as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}
