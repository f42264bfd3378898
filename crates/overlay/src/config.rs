//! Settings of the overlay core.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use umberpond_model::{Millis, ServiceName};

/// What a node must know before it starts.
#[derive(Debug, Clone)]
pub struct OverlayConfig {
    /// Control addresses at which other nodes may be found; several, of any zone. The own address is skipped.
    pub seeds: Vec<SocketAddr>,
    /// Services on whose behalf this node calls others: the service of its back end, or those of an edge's callers.
    pub callers: BTreeSet<ServiceName>,
    /// Durations.
    pub timing: Timing,
    /// Counts.
    pub limits: Limits,
}

impl OverlayConfig {
    /// Settings with the default durations and counts.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>, callers: BTreeSet<ServiceName>) -> Self {
        Self { seeds, callers, timing: Timing::default(), limits: Limits::default() }
    }
}

/// Durations of the overlay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Least time between two updates on one connection. The first change after a pause is sent at once.
    pub batch_interval: Millis,
    /// A connection on which nothing was sent for this long carries a heartbeat.
    pub heartbeat: Millis,
    /// A connection on which nothing arrived for this long is closed. Above `heartbeat` by the longest delay that
    /// is no failure; low enough for a standby to take over within ten seconds.
    pub idle_timeout: Millis,
    /// A handshake that takes longer is given up.
    pub handshake_timeout: Millis,
    /// First bound of the random wait after a failed connection; it doubles with each failure.
    pub backoff_base: Millis,
    /// Last bound of the random wait after a failed connection.
    pub backoff_cap: Millis,
    /// A lost peer that hasn't come back for this long is suspected.
    pub suspect_after: Millis,
    /// A node without a parent for this long may take a role by its own view of the zone.
    pub orphan_after: Millis,
    /// A higher role by rank is taken after this time.
    pub promote_after: Millis,
    /// A lower role by rank is taken after this time; long, so that churn at the border of two roles settles.
    pub demote_after: Millis,
    /// Least time between two progress reports to the parent.
    pub report_interval: Millis,
    /// Least time between two progress summaries to other readers of the own zone.
    pub summary_interval: Millis,
    /// Least time between two progress summaries to readers of other zones. What they show of this zone is late by
    /// up to this and `summary_interval`, never ahead.
    pub far_summary_interval: Millis,
    /// A floor question without an answer is asked again after this time.
    pub floor_retry: Millis,
    /// Least time between the beginnings of two floor rounds of a reader; questions that come between are joined.
    pub floor_round_interval: Millis,
    /// A floor round that the witnesses haven't ended asks the platform after this time.
    pub floor_round_timeout: Millis,
    /// Mean time between two comparisons of endpoint digests with a random reader.
    pub anti_entropy: Millis,
    /// A reader that hears of a newer version waits this long for its own watch before it asks the teller.
    pub pull_delay: Millis,
    /// Time for which a node whose whole transfer was put off should wait.
    pub transfer_retry: Millis,
    /// A whole transfer that isn't acknowledged for this long no longer counts as running.
    pub transfer_timeout: Millis,
    /// Time between two attempts to get a reader lease.
    pub lease_retry: Millis,
    /// A record that has been gone or suspected for this long is forgotten.
    pub forget_after: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            batch_interval: Millis(100),
            heartbeat: Millis(5_000),
            idle_timeout: Millis(7_000),
            handshake_timeout: Millis(2_000),
            backoff_base: Millis(200),
            backoff_cap: Millis(5_000),
            suspect_after: Millis(3_000),
            orphan_after: Millis(1_500),
            promote_after: Millis(500),
            demote_after: Millis(10_000),
            report_interval: Millis(1_000),
            summary_interval: Millis(2_000),
            far_summary_interval: Millis(5_000),
            floor_retry: Millis(2_000),
            floor_round_interval: Millis(250),
            floor_round_timeout: Millis(700),
            anti_entropy: Millis(10_000),
            pull_delay: Millis(200),
            transfer_retry: Millis(500),
            transfer_timeout: Millis(10_000),
            lease_retry: Millis(3_000),
            forget_after: Millis(600_000),
        }
    }
}

/// Counts of the overlay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Readers of a zone. Two, so that one may fail without a pause.
    pub readers_per_zone: usize,
    /// Nodes for each relay of a zone.
    pub nodes_per_relay: usize,
    /// Relays below one relay or reader. A relay sends every change to each of them, so this sets its bytes.
    pub relay_arity: usize,
    /// Most children of one node; further ones are sent elsewhere.
    pub max_children: usize,
    /// Whole transfers that one parent sends at once.
    pub max_transfers: usize,
    /// Updates sent to a child and not yet acknowledged; at this count newer state is merged until it catches up.
    pub send_window: u32,
    /// Endpoint records in one update.
    pub max_records: usize,
    /// Candidates for parents that a node is told.
    pub max_candidates: usize,
    /// A tree deeper than this is taken for a loop.
    pub max_depth: u8,
    /// Nodes that lag, named in one progress report.
    pub max_laggards: usize,
    /// Versions counted apart in one progress report; older ones are joined.
    pub max_report_versions: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            readers_per_zone: 2,
            nodes_per_relay: 16,
            relay_arity: 4,
            max_children: 40,
            max_transfers: 4,
            send_window: 16,
            max_records: 256,
            max_candidates: 4,
            max_depth: 12,
            max_laggards: 8,
            max_report_versions: 8,
        }
    }
}
