//! Placement of the demo's processes: the Gridwell services in three of the region's four zones.

use std::net::SocketAddr;

use umberpond_model::{LocalityRule, RegionName, ServiceName, ZoneName};
use umberpond_standins::AllowedLocalities;

use crate::error::XtaskError;

/// Region of the demo.
pub const REGION: &str = "eu-north";

/// All zones of the region, also those without a node in the demo.
pub const ZONES: [&str; 4] = ["hall-1", "hall-2", "hall-3", "hall-4"];

/// Service that the callers belong to.
pub const CALLER_SERVICE: &str = "web";

/// Loopback address with port 0, so that the system picks a free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// One node to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Name of the node, and of its back end.
    pub name: &'static str,
    /// Service of the back end, or of the callers at an edge node.
    pub service: &'static str,
    /// Zone it runs in.
    pub zone: &'static str,
}

const fn back_end(name: &'static str, service: &'static str, zone: &'static str) -> Placement {
    Placement { name, service, zone }
}

/// The edge node, to which callers send their requests.
pub const EDGE: Placement = Placement { name: "web-1", service: CALLER_SERVICE, zone: "hall-1" };

/// A second edge node, for runs that also stop and kill edge nodes.
pub const SECOND_EDGE: Placement = Placement { name: "web-2", service: CALLER_SERVICE, zone: "hall-2" };

/// Every node with a back end. `billing-4` runs in a zone where the bundle does not allow billing, and must
/// never receive a request.
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

/// Node that the demo drains and stops with SIGTERM.
pub const DRAINED_NODE: &str = "solver-2";

/// Node that the demo kills with SIGKILL.
pub const KILLED_NODE: &str = "archive-2";

/// Localities in which the example bundle allows each service. They are written out here rather than read
/// from the bundle, so that the check does not share its input with the daemon.
///
/// # Errors
/// Never: all names here are valid.
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
