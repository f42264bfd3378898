//! Deterministic simulation of a cluster, with fault schedules and invariant checkers.
//!
//! The real daemon runs over [`SimNetwork`](umberpond_virtual_network::SimNetwork) on tokio's paused clock.
//! Events are recorded in a [`history::History`], and the checkers are pure functions over it. A run is
//! reproducible from its seed.

pub mod checkers;
pub mod cluster;
pub mod history;
pub mod schedule;
