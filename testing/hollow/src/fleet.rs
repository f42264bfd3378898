//! The hollow nodes of one process, spread over the threads of the runtime.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use umberpond_model::{Incarnation, Version};
use umberpond_net::TcpNetwork;
use umberpond_node::settings::{
    AdvertisedAddresses, BackEndConfig, DEFAULT_CHECK_INTERVAL, DEFAULT_DRAIN_TIMEOUT,
    DEFAULT_FAILURES_TO_UNREADY, Limits, ListenAddresses, LogConfig,
};
use umberpond_node::{ControlNode, Environment, NodeConfig};
use umberpond_telemetry::{Direction, Telemetry};

use crate::activation_log::{ActivationLog, unix_millis};
use crate::{
    FleetPlan, FleetReport, HollowError, NodeReport, Place, ProcessUsage, Progress, Sample, StartedFleet,
    StartedNode,
};

const MICROS_PER_MILLI: u64 = 1_000;

/// Running hollow nodes. Dropping them ends them at once.
#[derive(Debug)]
pub struct Fleet {
    nodes: Vec<HollowNode>,
    samples: Vec<Sample>,
}

#[derive(Debug)]
struct HollowNode {
    number: usize,
    node: ControlNode,
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

    /// Where the nodes listen.
    #[must_use]
    pub fn started(&self) -> StartedFleet {
        let started = self.nodes.iter();
        let started = started
            .map(|node| StartedNode { number: node.number, control: node.node.addresses().control })
            .collect();
        StartedFleet { started }
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
        let environment = Environment {
            network: Arc::new(TcpNetwork),
            seed: number as u64,
            incarnation: Incarnation(unix_millis() * MICROS_PER_MILLI),
            started: Instant::now(),
            telemetry: telemetry.clone(),
        };
        let config = node_config(plan, number, place)?;
        let node = ControlNode::start(config, environment).await;
        let node = node.map_err(|source| HollowError::Start { number, source })?;
        Ok(Self { number, node, log, telemetry })
    }

    fn control_bytes(&self) -> u64 {
        let metrics = self.telemetry.metrics();
        metrics.control_bytes(Direction::In) + metrics.control_bytes(Direction::Out)
    }

    fn report(&self) -> NodeReport {
        NodeReport { number: self.number, activations: self.log.activations(), failures: self.log.failures() }
    }
}

/// Settings of a hollow node. The back end only says that it is no edge; nothing ever connects to it.
fn node_config(plan: &FleetPlan, number: usize, place: Place) -> Result<NodeConfig, HollowError> {
    let address = place.address;
    Ok(NodeConfig {
        node: place.node,
        service: place.service,
        locality: place.locality,
        localities: plan.places.topology()?,
        listen: ListenAddresses { inbound: None, outbound: address, admin: address, control: address },
        advertise: AdvertisedAddresses::default(),
        back_end: Some(BackEndConfig {
            address,
            check_interval: DEFAULT_CHECK_INTERVAL,
            failures_to_unready: DEFAULT_FAILURES_TO_UNREADY,
        }),
        platform: plan.platform,
        seeds: plan.seeds_of(number),
        seal_key: None,
        limits: Limits::default(),
        log: LogConfig::default(),
        drain_timeout: DEFAULT_DRAIN_TIMEOUT,
        recording_entries: 0,
    })
}
