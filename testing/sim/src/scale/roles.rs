//! Figures of a scale run by role.

use std::collections::BTreeMap;

use serde::Serialize;
use umberpond_overlay::Role;

use super::hollow::{BYTES_WINDOW, HollowNode};

const MICROS_PER_SECOND: f64 = 1_000_000.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// What the nodes of one role took.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct RoleFigures {
    /// Nodes that have the role at the end of the run.
    pub nodes: usize,
    /// Control bytes a second, sent and received, mean over nodes and time.
    pub mean_bytes_per_second: f64,
    /// The same of the busiest node in its busiest ten seconds.
    pub busiest_bytes_per_second: f64,
    /// Processor time of the core, in microseconds a second of virtual time; sockets and encoding not included.
    pub core_micros_per_second: f64,
}

/// Figures by role, at the end of `measured_seconds`.
#[expect(clippy::cast_precision_loss, reason = "figures for people")]
pub(super) fn by_role(nodes: &[HollowNode], measured_seconds: f64) -> BTreeMap<Role, RoleFigures> {
    let mut figures: BTreeMap<Role, RoleFigures> = BTreeMap::new();
    for node in nodes {
        let Some(core) = &node.core else { continue };
        let role = figures.entry(core.status().role).or_default();
        let busiest = node.bytes.busiest_window as f64 / (BYTES_WINDOW.0 as f64 / MILLIS_PER_SECOND);
        role.nodes += 1;
        role.mean_bytes_per_second += node.bytes.total as f64 / measured_seconds;
        role.busiest_bytes_per_second = role.busiest_bytes_per_second.max(busiest);
        role.core_micros_per_second += node.core_time.as_secs_f64() * MICROS_PER_SECOND / measured_seconds;
    }
    for role in figures.values_mut() {
        role.mean_bytes_per_second /= role.nodes as f64;
        role.core_micros_per_second /= role.nodes as f64;
    }
    figures
}
