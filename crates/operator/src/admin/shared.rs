//! State shared by the handlers of the operator API.

use std::sync::Arc;

use umberpond_acceptance::Acceptor;
use umberpond_daemon::RunningDaemon;
use umberpond_store::ObjectStore;

/// State shared by the handlers of the operator API.
pub(super) struct AdminShared {
    pub(super) daemon: Arc<RunningDaemon>,
    pub(super) store: Arc<dyn ObjectStore>,
    pub(super) acceptor: Acceptor,
}
