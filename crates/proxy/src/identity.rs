//! Who this node is, as it says on the request path.

use std::collections::BTreeSet;

use umberpond_model::{Incarnation, Locality, NodeName, ServiceName};

/// Identity of a node on the request path.
#[derive(Debug, Clone)]
pub struct NodeIdentity {
    /// Name of the node.
    pub node: NodeName,
    /// Where it runs.
    pub locality: Locality,
    /// Start count of this process.
    pub incarnation: Incarnation,
    /// Service of the local back end; absent at an edge.
    pub service: Option<ServiceName>,
    /// Services on whose behalf local callers send requests; a route must list one of them.
    pub callers: BTreeSet<ServiceName>,
}
