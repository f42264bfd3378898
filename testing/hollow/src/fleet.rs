//! The hollow nodes of one process, spread over the threads of the runtime.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use umberpond_daemon::settings::{
    AdvertisedAddresses, DEFAULT_GRACE, ListenAddresses, LogConfig, NodeConfig,
};
use umberpond_daemon::{Daemon, Environment, Extensions, RunningDaemon};
use umberpond_forwarding::Dialect;
use umberpond_model::Version;
use umberpond_net::{Network, TcpNetwork};
use umberpond_operator::{ChainSource, StoreDirectory};
use umberpond_selection::RetryBudgetSettings;
use umberpond_store::{ClientSettings, GateLimits, ObjectStore, PlatformClient, PlatformGate};
use umberpond_telemetry::{Direction, Telemetry};

use crate::activation_log::{ActivationLog, unix_millis};
use crate::{
    FleetPlan, FleetReport, HollowError, NodeReport, Place, ProcessUsage, Progress, Sample, StartedFleet,
};

/// Running hollow nodes. Dropping them ends them at once.
#[derive(Debug)]
pub struct Fleet {
    nodes: Vec<HollowNode>,
    samples: Vec<Sample>,
}

#[derive(Debug)]
struct HollowNode {
    number: usize,
    _daemon: RunningDaemon,
    log: Arc<ActivationLog>,
    telemetry: Telemetry,
}

impl Fleet {
    /// Starts the nodes of `plan` one after the other, over the time that it gives.
    ///
    /// # Errors
    /// Fails when the plan has no place for a node, or a node can't be started.
    pub async fn start(plan: &FleetPlan) -> Result<Self, HollowError> {
        let count = u32::try_from(plan.count.max(1)).unwrap_or(u32::MAX);
        let pause = Duration::from_millis(plan.start_millis) / count;
        let mut nodes = Vec::with_capacity(plan.count);
        for number in plan.first..plan.first + plan.count {
            nodes.push(HollowNode::start(plan, number).await?);
            sleep(pause).await;
        }
        Ok(Self { nodes, samples: Vec::new() })
    }

    /// Which nodes run.
    #[must_use]
    pub fn started(&self) -> StartedFleet {
        StartedFleet { started: self.nodes.iter().map(|node| node.number).collect() }
    }

    /// How far the nodes are.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let active: Vec<Option<Version>> = self.nodes.iter().map(|node| node.log.newest()).collect();
        let lowest = active.iter().min().copied().flatten();
        Progress {
            configured: active.iter().flatten().count(),
            lowest_active: lowest.map_or(0, |version| version.0),
        }
    }

    /// Notes processor time, memory and control bytes.
    ///
    /// # Errors
    /// Fails when `/proc` can't be read.
    pub fn take_sample(&mut self) -> Result<(), HollowError> {
        let usage = ProcessUsage::own().map_err(HollowError::Usage)?;
        let control_bytes = self.nodes.iter().map(HollowNode::control_bytes).collect();
        self.samples.push(Sample { at_unix_millis: unix_millis(), usage, control_bytes });
        Ok(())
    }

    /// Control bytes of each node at the last sample.
    #[must_use]
    pub fn last_control_bytes(&self) -> &[u64] {
        self.samples.last().map_or(&[], |sample| &sample.control_bytes)
    }

    /// Ends the nodes and tells what was measured.
    #[must_use]
    pub fn finish(self) -> FleetReport {
        let nodes = self.nodes.iter().map(HollowNode::report).collect();
        FleetReport { nodes, samples: self.samples }
    }
}

impl HollowNode {
    async fn start(plan: &FleetPlan, number: usize) -> Result<Self, HollowError> {
        let place = plan.places.place(number)?;
        let log = Arc::new(ActivationLog::default());
        let observer: Arc<ActivationLog> = Arc::clone(&log);
        let telemetry = Telemetry::to_observer(observer);
        let network: Arc<dyn Network> = Arc::new(TcpNetwork);
        let config = node_config(plan, place)?;
        let gate = PlatformGate::new(GateLimits::default());
        let client = PlatformClient::new(Arc::clone(&network), plan.store, gate, ClientSettings::default());
        let store: Arc<dyn ObjectStore> = Arc::new(client.named(config.node.clone()));
        let extensions = Extensions {
            source: Arc::new(ChainSource::new(Arc::clone(&store))),
            directory: Arc::new(StoreDirectory::new(store)),
            dialect: Dialect::OWN,
        };
        let environment = Environment { network, seed: number as u64, telemetry: telemetry.clone() };
        let daemon = Daemon::start(config, environment, extensions).await;
        let daemon = daemon.map_err(|source| HollowError::Start { number, source })?;
        Ok(Self { number, _daemon: daemon, log, telemetry })
    }

    fn control_bytes(&self) -> u64 {
        let metrics = self.telemetry.metrics();
        metrics.control_bytes(Direction::In) + metrics.control_bytes(Direction::Out)
    }

    fn report(&self) -> NodeReport {
        NodeReport { number: self.number, activations: self.log.activations(), failures: self.log.failures() }
    }
}

/// Settings of a hollow node.
fn node_config(plan: &FleetPlan, place: Place) -> Result<NodeConfig, HollowError> {
    let address = place.address;
    Ok(NodeConfig {
        node: place.node,
        service: place.service,
        is_first_start: true,
        locality: place.locality,
        topology: plan.places.topology()?,
        listen: ListenAddresses {
            inbound: address,
            outbound: address,
            admin: address,
            control: address,
            registration: Some(address),
        },
        advertise: AdvertisedAddresses::default(),
        back_end: None,
        store: plan.store,
        seal_key: None,
        retry_budget: RetryBudgetSettings::default(),
        log: LogConfig::default(),
        grace: DEFAULT_GRACE,
    })
}
