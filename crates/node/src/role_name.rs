//! Names of the control roles, as they stand in metrics, events and status.

use umberpond_overlay::Role;

/// Name of `role`.
pub(crate) const fn role_name(role: Role) -> &'static str {
    match role {
        Role::Leaf => "leaf",
        Role::Witness => "witness",
        Role::Relay => "relay",
        Role::Reader => "reader",
    }
}
