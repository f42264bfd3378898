//! Starts the processes of a soak, each behind its own proxies, and injects faults into them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::{Instant, sleep, sleep_until};
use umberpond_standins::backend;
use umberpond_standins::platform::FaultChange;

use super::proxy::{FaultProxy, Impairment};
use super::schedule::{Fault, FaultKind, ScheduledSignal};
use super::signals::{SentSignal, Signal};
use crate::demo::http::Peer;
use crate::demo::layout::{BACK_ENDS, EDGE, Placement, SECOND_EDGE};
use crate::demo::node::NodeProcess;
use crate::demo::programs::Programs;
use crate::demo::settings::{AdvertiseTable, NodeEnvironment};
use crate::demo::standins::{Standin, change_faults};
use crate::error::XtaskError;
use crate::supervise::ScratchDirectory;

/// Default number of nodes with a back end: two of archive, one of solver, and billing both in allowed zones
/// and in one that is not.
pub const DEFAULT_NODES: usize = 7;
/// Maximum number of nodes with a back end.
pub const MAX_NODES: usize = BACK_ENDS.len();
/// Timeout of a graceful stop, longer than the grace period in the settings.
const STOP_LIMIT: Duration = Duration::from_secs(12);
/// Delay that [`FaultKind::Delay`] adds.
const DELAY: Duration = Duration::from_millis(150);
/// Delay that a slow store adds, in milliseconds.
const STORE_DELAY_MILLIS: u64 = 700;
/// Number of responses that the store loses in one fault.
const LOST_RESPONSES: u64 = 3;
/// Number of bytes after which a back end truncates its responses.
const CUT_AFTER_BYTES: usize = 300;
/// Interval between polls of the nodes' versions.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A node, its back end, and the proxies in front of its listeners and in front of the store.
#[derive(Debug)]
pub struct SoakNode {
    placement: Placement,
    back_end: Option<Standin>,
    outbound: FaultProxy,
    inbound: FaultProxy,
    control: FaultProxy,
    store: FaultProxy,
    process: Option<NodeProcess>,
    process_count: u32,
    logs: Vec<PathBuf>,
}

impl SoakNode {
    async fn new(
        programs: &Programs,
        placement: Placement,
        store: &Standin,
        scratch: &ScratchDirectory,
    ) -> Result<Self, XtaskError> {
        let back_end = if placement.service == EDGE.service {
            None
        } else {
            Some(Standin::back_end(programs, &placement, scratch).await?)
        };
        let store_proxy = FaultProxy::start().await?;
        store_proxy.set_target(Some(store.address));
        Ok(Self {
            placement,
            back_end,
            outbound: FaultProxy::start().await?,
            inbound: FaultProxy::start().await?,
            control: FaultProxy::start().await?,
            store: store_proxy,
            process: None,
            process_count: 0,
            logs: Vec::new(),
        })
    }

    /// Starts the node's process, unless one is running.
    async fn start(&mut self, programs: &Programs, scratch: &ScratchDirectory) -> Result<(), XtaskError> {
        if self.process.is_some() {
            return Ok(());
        }
        let environment = NodeEnvironment {
            store: self.store.listen_address,
            back_end: self.back_end.as_ref().map(|back_end| back_end.address),
            advertise: Some(AdvertiseTable {
                inbound: self.inbound.listen_address,
                control: self.control.listen_address,
            }),
            restarts: self.process_count,
            seal_key_file: None,
        };
        let node = NodeProcess::start(&programs.umberpond, self.placement, environment, scratch).await?;
        self.process_count += 1;
        self.outbound.set_target(Some(node.addresses.outbound));
        self.inbound.set_target(Some(node.addresses.inbound));
        self.control.set_target(Some(node.addresses.control));
        self.logs.push(node.process.log().to_owned());
        self.process = Some(node);
        Ok(())
    }

    /// Removes the running process and closes the proxies in front of its listeners.
    fn take_process(&mut self) -> Option<NodeProcess> {
        let process = self.process.take()?;
        self.close_proxies();
        Some(process)
    }

    fn close_proxies(&self) {
        self.outbound.set_target(None);
        self.inbound.set_target(None);
        self.control.set_target(None);
    }

    async fn change_back_end(&self, change: backend::FaultChange) -> Result<(), XtaskError> {
        match &self.back_end {
            Some(back_end) => back_end.change_faults(&change).await,
            None => Ok(()),
        }
    }

    fn set_impairment(&self, impairment: Impairment) {
        self.inbound.set_impairment(impairment);
        self.control.set_impairment(impairment);
    }

    async fn start_fault(&mut self, kind: FaultKind) -> Result<(), XtaskError> {
        match kind {
            FaultKind::Kill => {
                if let Some(mut node) = self.take_process() {
                    node.process.kill()?;
                    node.process.wait_for_exit(STOP_LIMIT).await?;
                }
            }
            FaultKind::PlannedStop => {
                if let Some(mut node) = self.process.take() {
                    node.process.terminate()?;
                    node.process.wait_for_exit(STOP_LIMIT).await?;
                    self.close_proxies();
                }
            }
            FaultKind::Pause => {
                if let Some(node) = &self.process {
                    node.process.pause()?;
                }
            }
            FaultKind::Silence => self.set_impairment(Impairment {
                blocks_requests: true,
                blocks_responses: true,
                ..Impairment::default()
            }),
            FaultKind::CutTowards => {
                self.set_impairment(Impairment { blocks_requests: true, ..Impairment::default() })
            }
            FaultKind::CutBack => {
                self.set_impairment(Impairment { blocks_responses: true, ..Impairment::default() })
            }
            FaultKind::Delay => self.set_impairment(Impairment { delay: DELAY, ..Impairment::default() }),
            FaultKind::Reset => {
                self.inbound.reset_all();
                self.control.reset_all();
            }
            FaultKind::StoreCut => self.store.set_impairment(Impairment {
                blocks_requests: true,
                blocks_responses: true,
                ..Impairment::default()
            }),
            FaultKind::StoreReset => self.store.reset_all(),
            FaultKind::Reload => {
                if let Some(node) = &self.process {
                    node.process.hang_up()?;
                }
            }
            FaultKind::BackEndRefuses => {
                let change = backend::FaultChange { refuse: Some(true), ..backend::FaultChange::default() };
                self.change_back_end(change).await?;
            }
            FaultKind::BackEndCuts => {
                let cut_after_bytes = Some(Some(CUT_AFTER_BYTES));
                let change = backend::FaultChange { cut_after_bytes, ..backend::FaultChange::default() };
                self.change_back_end(change).await?;
            }
            _ => {}
        }
        Ok(())
    }

    async fn end_fault(
        &mut self,
        kind: FaultKind,
        programs: &Programs,
        scratch: &ScratchDirectory,
    ) -> Result<(), XtaskError> {
        match kind {
            FaultKind::Kill | FaultKind::PlannedStop => self.start(programs, scratch).await?,
            FaultKind::Pause => {
                if let Some(node) = &self.process {
                    node.process.resume()?;
                }
            }
            FaultKind::Silence | FaultKind::CutTowards | FaultKind::CutBack | FaultKind::Delay => {
                self.set_impairment(Impairment::default())
            }
            FaultKind::StoreCut => self.store.set_impairment(Impairment::default()),
            FaultKind::BackEndRefuses => {
                let change = backend::FaultChange { refuse: Some(false), ..backend::FaultChange::default() };
                self.change_back_end(change).await?;
            }
            FaultKind::BackEndCuts => {
                let change =
                    backend::FaultChange { cut_after_bytes: Some(None), ..backend::FaultChange::default() };
                self.change_back_end(change).await?;
            }
            _ => {}
        }
        Ok(())
    }
}

/// All processes of a soak.
#[derive(Debug)]
pub struct SoakMesh<'a> {
    programs: &'a Programs,
    scratch: &'a ScratchDirectory,
    store: Standin,
    /// The nodes that faults are injected into; the second edge node is the last. Each has its own lock, so
    /// that a long fault on one node does not delay faults on others.
    nodes: Vec<tokio::sync::Mutex<SoakNode>>,
    /// Name and address of each node's back end, if it has one.
    back_ends: Vec<Option<(&'static str, SocketAddr)>>,
    /// The edge node, to which callers and operators send their requests. No fault is injected into it
    /// directly.
    edge: SoakNode,
    /// Signals that back ends have sent.
    signals: Mutex<Vec<SentSignal>>,
}

impl<'a> SoakMesh<'a> {
    /// Starts every process.
    ///
    /// # Errors
    /// Fails when a process does not become ready in time.
    pub async fn start(
        programs: &'a Programs,
        back_ends: usize,
        scratch: &'a ScratchDirectory,
    ) -> Result<Self, XtaskError> {
        let store = Standin::platform(programs, scratch).await?;
        let mut nodes = Vec::with_capacity(back_ends + 1);
        let mut back_end_addresses = Vec::with_capacity(back_ends + 1);
        for placement in BACK_ENDS.into_iter().take(back_ends).chain([SECOND_EDGE]) {
            let mut node = SoakNode::new(programs, placement, &store, scratch).await?;
            node.start(programs, scratch).await?;
            let back_end = node.back_end.as_ref();
            back_end_addresses.push(back_end.map(|back_end| (node.placement.name, back_end.address)));
            nodes.push(tokio::sync::Mutex::new(node));
        }
        let mut edge = SoakNode::new(programs, EDGE, &store, scratch).await?;
        edge.start(programs, scratch).await?;
        Ok(Self {
            programs,
            scratch,
            store,
            nodes,
            back_ends: back_end_addresses,
            edge,
            signals: Mutex::default(),
        })
    }

    /// The edge node, to which callers and operators send their requests.
    ///
    /// # Errors
    /// Never: its process runs until the end of the soak.
    pub fn edge(&self) -> Result<&NodeProcess, XtaskError> {
        self.edge.process.as_ref().ok_or(XtaskError::TimedOut { condition: "the edge node runs" })
    }

    /// Waits until a fault is due, starts it and ends it again. Faults of the same node run one after
    /// another.
    ///
    /// # Errors
    /// Fails when a process can't be signalled, started or stopped, or a stand-in does not respond.
    pub async fn inject(&self, fault: Fault) -> Result<(), XtaskError> {
        sleep(Duration::from_millis(fault.at_millis)).await;
        let mut node = self.nodes[fault.node].lock().await;
        node.start_fault(fault.kind).await?;
        self.change_store(fault.kind, true).await?;
        sleep(Duration::from_millis(fault.millis)).await;
        self.change_store(fault.kind, false).await?;
        node.end_fault(fault.kind, self.programs, self.scratch).await
    }

    /// Makes the back end of the node `index` send these signals, one after another. Faults of the node go on
    /// meanwhile.
    ///
    /// # Errors
    /// Fails when the back end does not respond.
    pub async fn send_signals(&self, index: usize, signals: &[ScheduledSignal]) -> Result<(), XtaskError> {
        let begun = Instant::now();
        let Some((name, address)) = self.back_ends[index] else { return Ok(()) };
        let back_end = Peer { name, address };
        for scheduled in signals {
            sleep_until(begun + Duration::from_millis(scheduled.at_millis)).await;
            self.send_signal(&back_end, *scheduled).await?;
        }
        Ok(())
    }

    async fn send_signal(&self, back_end: &Peer<'_>, scheduled: ScheduledSignal) -> Result<(), XtaskError> {
        change_faults(back_end, &begin_of(scheduled.signal)).await?;
        let from = Instant::now();
        sleep(Duration::from_millis(scheduled.millis)).await;
        let until = Instant::now();
        let ends = scheduled.signal != Signal::Leaving;
        if ends {
            let request_limit = Some(None);
            let change = backend::FaultChange { request_limit, ..backend::FaultChange::default() };
            change_faults(back_end, &change).await?;
        }
        let sent = SentSignal {
            back_end: back_end.name.to_owned(),
            signal: scheduled.signal,
            from,
            until: ends.then_some(until),
        };
        self.signals.lock().push(sent);
        Ok(())
    }

    /// Signals that back ends have sent.
    pub fn signals(&self) -> Vec<SentSignal> {
        self.signals.lock().clone()
    }

    async fn change_store(&self, kind: FaultKind, is_start: bool) -> Result<(), XtaskError> {
        let change = match kind {
            FaultKind::StoreDown => FaultChange { down: Some(is_start), ..FaultChange::default() },
            FaultKind::StoreOverloaded => {
                FaultChange { overloaded: Some(is_start), ..FaultChange::default() }
            }
            FaultKind::StoreSlow => {
                let delay_millis = Some(if is_start { STORE_DELAY_MILLIS } else { 0 });
                FaultChange { delay_millis, ..FaultChange::default() }
            }
            FaultKind::StoreLosesAnswers => {
                let lose_answers = Some(if is_start { LOST_RESPONSES } else { 0 });
                FaultChange { lose_answers, ..FaultChange::default() }
            }
            _ => return Ok(()),
        };
        self.store.change_faults(&change).await
    }

    /// Waits up to `limit` until every node has the same version in force, and returns the nodes that lack
    /// the newest.
    pub async fn wait_until_converged(&self, limit: Duration) -> Vec<String> {
        let deadline = Instant::now() + limit;
        loop {
            let versions = self.versions().await;
            let newest = versions.iter().filter_map(|(_, version)| *version).max();
            let behind: Vec<String> = versions
                .into_iter()
                .filter(|(_, version)| *version != newest)
                .map(|(name, _)| name)
                .collect();
            if behind.is_empty() || Instant::now() > deadline {
                return behind;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn versions(&self) -> Vec<(String, Option<u64>)> {
        let mut versions = Vec::new();
        for node in &self.nodes {
            let node = node.lock().await;
            versions.push(version_of(&node).await);
        }
        versions.push(version_of(&self.edge).await);
        versions
    }

    /// Address of the second edge node, whose process faults stop and restart. It is the proxy's address, so
    /// it stays the same across restarts.
    ///
    /// # Errors
    /// Never: that node exists from the start.
    pub async fn second_edge(&self) -> Result<SocketAddr, XtaskError> {
        let node =
            self.nodes.last().ok_or(XtaskError::TimedOut { condition: "the second edge node exists" })?;
        Ok(node.lock().await.outbound.listen_address)
    }

    /// Ledgers of all back ends, with the time at which each back end started.
    ///
    /// # Errors
    /// Fails when a back end does not respond.
    pub async fn ledgers(&self) -> Result<Vec<(Instant, backend::Ledger)>, XtaskError> {
        let mut ledgers = Vec::new();
        for node in &self.nodes {
            if let Some(back_end) = &node.lock().await.back_end {
                ledgers.push((back_end.started_at, back_end.ledger().await?));
            }
        }
        Ok(ledgers)
    }

    /// Log files of all node processes, including earlier ones.
    pub async fn logs(&self) -> Vec<PathBuf> {
        let mut logs = self.edge.logs.clone();
        for node in &self.nodes {
            logs.extend(node.lock().await.logs.iter().cloned());
        }
        logs
    }
}

/// The order to a back end to send a signal. The health checks of one that leaves succeed, since a false response must
/// not bring it requests either.
fn begin_of(signal: Signal) -> backend::FaultChange {
    match signal {
        Signal::Limited(thousandths) => {
            backend::FaultChange { request_limit: Some(Some(thousandths)), ..backend::FaultChange::default() }
        }
        Signal::Leaving => backend::FaultChange {
            leaving: Some(true),
            health_lies: Some(true),
            ..backend::FaultChange::default()
        },
    }
}

async fn version_of(node: &SoakNode) -> (String, Option<u64>) {
    let version = match &node.process {
        Some(process) => process.active_version().await.ok().flatten(),
        None => None,
    };
    (node.placement.name.to_owned(), version)
}
