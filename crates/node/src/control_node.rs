//! A node without a request path: the same overlay and platform actors as the daemon's, and nothing that listens but
//! for control connections. Scale runs hold hundreds of them in one process.

use std::sync::Arc;

use umberpond_model::EndpointStatus;

use crate::NodeConfig;
use crate::control_listener;
use crate::environment::Environment;
use crate::own_status;
use crate::running::Actors;
use crate::shared::{NodeAddresses, NodeShared};
use crate::start::{StartError, listen, start_control};
use crate::tasks::TaskGroup;

/// A node that takes part in control only. Dropping it ends it at once, as a kill of the process would.
pub struct ControlNode {
    shared: Arc<NodeShared>,
    tasks: TaskGroup,
    actors: Actors,
}

impl std::fmt::Debug for ControlNode {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("ControlNode").field("node", &self.shared.config.node).finish_non_exhaustive()
    }
}

impl ControlNode {
    /// Starts a node. Of the listeners in `config` only the control listener is opened, and its address stands for
    /// the others; the back end is never asked, and counts as ready once a configuration is in force.
    ///
    /// # Errors
    /// Returns [`StartError`] if the listener or an actor could not be started.
    pub async fn start(config: NodeConfig, environment: Environment) -> Result<Self, StartError> {
        let listener = listen(&environment, "control", config.listen.control).await?;
        let control = listener.local_addr();
        let addresses = NodeAddresses { inbound: None, outbound: control, admin: control, control };
        let tasks = TaskGroup::default();
        let (shared, actors) = start_control(config, &environment, addresses, &tasks).await?;
        tasks.spawn(control_listener::accept(listener, shared.overlay.clone(), environment.telemetry));
        tasks.spawn(announce_once_configured(Arc::clone(&shared)));
        Ok(Self { shared, tasks, actors })
    }

    /// Addresses of the node; all are that of the control listener.
    #[must_use]
    pub fn addresses(&self) -> NodeAddresses {
        self.shared.addresses
    }

    /// Ends every task and actor at once.
    pub fn kill(&self) {
        self.tasks.abort_all();
        self.actors.kill();
    }
}

impl Drop for ControlNode {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn announce_once_configured(shared: Arc<NodeShared>) {
    let mut active = shared.activation.active();
    if active.wait_for(Option::is_some).await.is_ok() {
        own_status::announce(&shared, EndpointStatus::Ready);
    }
}
