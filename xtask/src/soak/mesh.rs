//! The processes of a soak, each behind proxies of its own.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use umberpond_standins::backend;
use umberpond_standins::platform::FaultChange;

use super::proxy::{FaultProxy, Interference};
use super::schedule::{Fault, FaultKind};
use crate::demo::layout::{BACK_ENDS, EDGE, Placement, SECOND_EDGE};
use crate::demo::node::NodeProcess;
use crate::demo::programs::Programs;
use crate::demo::settings::{AdvertiseTable, Surroundings};
use crate::demo::standins::Standin;
use crate::error::XtaskError;
use crate::supervise::ScratchDirectory;

/// Nodes with a back end if nothing else is said: archive twice, solver once, billing where it may be served and where it may not.
pub const DEFAULT_NODES: usize = 7;
/// Most nodes with a back end.
pub const MOST_NODES: usize = BACK_ENDS.len();
/// Longest time of a planned stop, above the grace in the settings.
const STOP_LIMIT: Duration = Duration::from_secs(12);
/// Time added by a delay.
const DELAY: Duration = Duration::from_millis(150);
/// Milliseconds that a slow store adds.
const STORE_DELAY_MILLIS: u64 = 700;
/// Answers that the store loses in one fault.
const LOST_ANSWERS: u64 = 3;
/// Bytes after which a back end's answers break off.
const CUT_AFTER_BYTES: usize = 300;
/// Time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A node, its back end, and the proxies before its listeners and before the store.
#[derive(Debug)]
pub struct SoakNode {
    placement: Placement,
    back_end: Option<Standin>,
    outbound: FaultProxy,
    inbound: FaultProxy,
    control: FaultProxy,
    store: FaultProxy,
    process: Option<NodeProcess>,
    lives: u32,
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
        let before_store = FaultProxy::start().await?;
        before_store.set_target(Some(store.address));
        Ok(Self {
            placement,
            back_end,
            outbound: FaultProxy::start().await?,
            inbound: FaultProxy::start().await?,
            control: FaultProxy::start().await?,
            store: before_store,
            process: None,
            lives: 0,
            logs: Vec::new(),
        })
    }

    /// Starts a process, unless one runs.
    async fn start(&mut self, programs: &Programs, scratch: &ScratchDirectory) -> Result<(), XtaskError> {
        if self.process.is_some() {
            return Ok(());
        }
        let surroundings = Surroundings {
            store: self.store.front,
            back_end: self.back_end.as_ref().map(|back_end| back_end.address),
            advertise: Some(AdvertiseTable { inbound: self.inbound.front, control: self.control.front }),
            life: self.lives,
            seal_key_file: None,
        };
        let node = NodeProcess::start(&programs.umberpond, self.placement, surroundings, scratch).await?;
        self.lives += 1;
        self.outbound.set_target(Some(node.addresses.outbound));
        self.inbound.set_target(Some(node.addresses.inbound));
        self.control.set_target(Some(node.addresses.control));
        self.logs.push(node.process.log().to_owned());
        self.process = Some(node);
        Ok(())
    }

    /// Takes the running process out; nothing reaches it through the proxies any more.
    fn take(&mut self) -> Option<NodeProcess> {
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

    fn interfere(&self, interference: Interference) {
        self.inbound.interfere(interference);
        self.control.interfere(interference);
    }

    async fn begin(&mut self, kind: FaultKind) -> Result<(), XtaskError> {
        match kind {
            FaultKind::Kill => {
                if let Some(mut node) = self.take() {
                    node.process.kill()?;
                    node.process.wait_for_end(STOP_LIMIT).await?;
                }
            }
            FaultKind::PlannedStop => {
                if let Some(mut node) = self.process.take() {
                    node.process.terminate()?;
                    node.process.wait_for_end(STOP_LIMIT).await?;
                    self.close_proxies();
                }
            }
            FaultKind::Pause => {
                if let Some(node) = &self.process {
                    node.process.pause()?;
                }
            }
            FaultKind::Silence => self.interfere(Interference {
                blocks_requests: true,
                blocks_answers: true,
                ..Interference::default()
            }),
            FaultKind::CutTowards => {
                self.interfere(Interference { blocks_requests: true, ..Interference::default() })
            }
            FaultKind::CutBack => {
                self.interfere(Interference { blocks_answers: true, ..Interference::default() })
            }
            FaultKind::Delay => self.interfere(Interference { delay: DELAY, ..Interference::default() }),
            FaultKind::Reset => {
                self.inbound.reset_all();
                self.control.reset_all();
            }
            FaultKind::StoreCut => self.store.interfere(Interference {
                blocks_requests: true,
                blocks_answers: true,
                ..Interference::default()
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

    async fn end(
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
                self.interfere(Interference::default())
            }
            FaultKind::StoreCut => self.store.interfere(Interference::default()),
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
    /// The nodes that faults hit, the second one where callers enter last; each has a lock of its own, so that a long fault holds up no other.
    nodes: Vec<tokio::sync::Mutex<SoakNode>>,
    /// The node where callers and operators enter; nothing is done to it but through the others.
    edge: SoakNode,
}

impl<'a> SoakMesh<'a> {
    /// Starts every process.
    ///
    /// # Errors
    /// Fails when one does not get ready.
    pub async fn start(
        programs: &'a Programs,
        back_ends: usize,
        scratch: &'a ScratchDirectory,
    ) -> Result<Self, XtaskError> {
        let store = Standin::platform(programs, scratch).await?;
        let mut nodes = Vec::with_capacity(back_ends + 1);
        for placement in BACK_ENDS.into_iter().take(back_ends).chain([SECOND_EDGE]) {
            let mut node = SoakNode::new(programs, placement, &store, scratch).await?;
            node.start(programs, scratch).await?;
            nodes.push(tokio::sync::Mutex::new(node));
        }
        let mut edge = SoakNode::new(programs, EDGE, &store, scratch).await?;
        edge.start(programs, scratch).await?;
        Ok(Self { programs, scratch, store, nodes, edge })
    }

    /// The node where callers and operators enter.
    ///
    /// # Errors
    /// Never, as its process is not ended before the soak is.
    pub fn edge(&self) -> Result<&NodeProcess, XtaskError> {
        self.edge.process.as_ref().ok_or(XtaskError::TimedOut { condition: "the edge runs" })
    }

    /// Plays one fault from its begin to its end. Faults of one node come one after another.
    ///
    /// # Errors
    /// Fails when a process can't be signalled, started or ended.
    pub async fn play(&self, fault: Fault) -> Result<(), XtaskError> {
        sleep(Duration::from_millis(fault.at_millis)).await;
        let mut node = self.nodes[fault.node].lock().await;
        node.begin(fault.kind).await?;
        self.change_store(fault.kind, true).await?;
        sleep(Duration::from_millis(fault.millis)).await;
        self.change_store(fault.kind, false).await?;
        node.end(fault.kind, self.programs, self.scratch).await
    }

    async fn change_store(&self, kind: FaultKind, is_begin: bool) -> Result<(), XtaskError> {
        let change = match kind {
            FaultKind::StoreDown => FaultChange { down: Some(is_begin), ..FaultChange::default() },
            FaultKind::StoreOverloaded => {
                FaultChange { overloaded: Some(is_begin), ..FaultChange::default() }
            }
            FaultKind::StoreSlow => {
                let delay_millis = Some(if is_begin { STORE_DELAY_MILLIS } else { 0 });
                FaultChange { delay_millis, ..FaultChange::default() }
            }
            FaultKind::StoreLosesAnswers => {
                let lose_answers = Some(if is_begin { LOST_ANSWERS } else { 0 });
                FaultChange { lose_answers, ..FaultChange::default() }
            }
            _ => return Ok(()),
        };
        self.store.change_faults(&change).await
    }

    /// Waits until every node has the same version in force, at most for `limit`; tells those that lack it.
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

    /// Where callers enter at the node whose process the faults end and start anew; the address stays.
    ///
    /// # Errors
    /// Never, as that node is there from the start.
    pub async fn second_edge(&self) -> Result<SocketAddr, XtaskError> {
        let node = self.nodes.last().ok_or(XtaskError::TimedOut { condition: "the second edge is there" })?;
        Ok(node.lock().await.outbound.front)
    }

    /// What all back ends ran, and when each of them had started.
    ///
    /// # Errors
    /// Fails when one does not answer.
    pub async fn ledgers(&self) -> Result<Vec<(Instant, backend::Ledger)>, XtaskError> {
        let mut ledgers = Vec::new();
        for node in &self.nodes {
            if let Some(back_end) = &node.lock().await.back_end {
                ledgers.push((back_end.started_at, back_end.ledger().await?));
            }
        }
        Ok(ledgers)
    }

    /// Log files of all processes that ran.
    pub async fn logs(&self) -> Vec<PathBuf> {
        let mut logs = self.edge.logs.clone();
        for node in &self.nodes {
            logs.extend(node.lock().await.logs.iter().cloned());
        }
        logs
    }
}

async fn version_of(node: &SoakNode) -> (String, Option<u64>) {
    let version = match &node.process {
        Some(process) => process.active_version().await.ok().flatten(),
        None => None,
    };
    (node.placement.name.to_owned(), version)
}
