//! What the parts of the operators' API share.

use std::sync::Arc;

use umberpond_acceptance::Acceptor;
use umberpond_daemon::RunningDaemon;
use umberpond_store::ObjectStore;

/// What the parts of the API share.
pub(super) struct AdminShared {
    pub(super) daemon: Arc<RunningDaemon>,
    pub(super) store: Arc<dyn ObjectStore>,
    pub(super) acceptor: Acceptor,
}
