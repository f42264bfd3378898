//! What runs where in the demo: Gridwell in three of its four halls.

use std::net::SocketAddr;

use umberpond_model::{LocalityRule, RegionName, ServiceName, ZoneName};
use umberpond_standins::AllowedLocalities;

use crate::error::XtaskError;

/// Region of the demo.
pub const REGION: &str = "eu-north";

/// All zones of the region, also those without a node in the demo.
pub const ZONES: [&str; 4] = ["hall-1", "hall-2", "hall-3", "hall-4"];

/// Service in whose name the callers enter.
pub const CALLER_SERVICE: &str = "web";

/// Loopback address with any free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// One node to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Name of the node, and of its back end.
    pub name: &'static str,
    /// Service of the back end, or of the callers at an edge.
    pub service: &'static str,
    /// Zone it runs in.
    pub zone: &'static str,
}

const fn back_end(name: &'static str, service: &'static str, zone: &'static str) -> Placement {
    Placement { name, service, zone }
}

/// The node where callers enter.
pub const EDGE: Placement = Placement { name: "web-1", service: CALLER_SERVICE, zone: "hall-1" };

/// A second node where callers enter, for runs in which such nodes end too.
pub const SECOND_EDGE: Placement = Placement { name: "web-2", service: CALLER_SERVICE, zone: "hall-2" };

/// Every node beside a back end. `billing-4` runs where the bundle allows no billing, and so must never get work.
pub const BACK_ENDS: [Placement; 12] = [
    back_end("archive-1", "archive", "hall-1"),
    back_end("solver-1", "solver", "hall-2"),
    back_end("archive-3", "archive", "hall-3"),
    back_end("billing-1", "billing", "hall-1"),
    back_end("billing-2", "billing", "hall-2"),
    back_end("billing-3", "billing", "hall-1"),
    back_end("billing-4", "billing", "hall-3"),
    back_end("archive-2", "archive", "hall-2"),
    back_end("archive-4", "archive", "hall-1"),
    back_end("solver-2", "solver", "hall-2"),
    back_end("solver-3", "solver", "hall-3"),
    back_end("solver-4", "solver", "hall-3"),
];

/// Node that is stopped as planned.
pub const DRAINED: &str = "solver-2";

/// Node that is killed.
pub const KILLED: &str = "archive-2";

/// Where the example bundle allows each service. Kept apart from the bundle on purpose: the check must not read the
/// same file as the daemon.
///
/// # Errors
/// Never, as the names follow the naming rule.
pub fn allowed_localities() -> Result<AllowedLocalities, XtaskError> {
    let region = RegionName::new(REGION)?;
    let rule = |zone: Option<ZoneName>| LocalityRule { region: region.clone(), zone };
    let mut allowed = AllowedLocalities::new();
    for service in ["archive", "solver"] {
        allowed.insert(ServiceName::new(service)?, vec![rule(None)]);
    }
    let billing_zones = [ZoneName::new("hall-1")?, ZoneName::new("hall-2")?];
    let billing_rules = billing_zones.into_iter().map(|zone| rule(Some(zone))).collect();
    allowed.insert(ServiceName::new("billing")?, billing_rules);
    Ok(allowed)
}
