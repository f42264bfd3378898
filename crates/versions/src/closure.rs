//! The closure check that a node repeats before it holds a snapshot.

use umberpond_config::{Route, Snapshot};

/// Whether every route of `snapshot` finds its service and its secrets in `snapshot`.
pub(crate) fn is_closed(snapshot: &Snapshot) -> bool {
    snapshot.routes.values().all(|route| is_route_closed(snapshot, route))
}

fn is_route_closed(snapshot: &Snapshot, route: &Route) -> bool {
    let has_service = snapshot.services.contains_key(&route.service);
    let has_secrets =
        route.credentials.iter().all(|credential| snapshot.secrets.contains_key(&credential.secret));
    has_service && has_secrets
}
