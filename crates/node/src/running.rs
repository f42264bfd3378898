//! A node that runs: its status, its planned stop, and its end at once.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use ractor::ActorRef;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use umberpond_model::EndpointStatus;
use umberpond_overlay::OverlayStatus;
use umberpond_overlay::interface::PlatformRequest;
use umberpond_proxy::{DrainHandle, DrainReport, ShutdownSignal, shutdown_channel};
use umberpond_telemetry::Event;

use crate::admin::api::Readiness;
use crate::overlay::OverlayMessage;
use crate::own_status;
use crate::platform::PlatformMessage;
use crate::shared::{NodeAddresses, NodeShared};
use crate::tasks::TaskGroup;

/// Time in which the last records and the release of the lease leave the node.
const FAREWELL_TIME: Duration = Duration::from_millis(300);

/// Time that the listeners have to count what they cut.
const CUT_REPORT_TIME: Duration = Duration::from_millis(500);

/// The servers of the request path and how they end.
pub(crate) struct Servers {
    tasks: TaskGroup,
    handle: DrainHandle,
    signal: ShutdownSignal,
    state: Arc<watch::Sender<ServerState>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct ServerState {
    running: usize,
    report: DrainReport,
}

impl Servers {
    pub(crate) fn new(tasks: &TaskGroup) -> Self {
        let (handle, signal) = shutdown_channel();
        Self {
            tasks: tasks.clone(),
            handle,
            signal,
            state: Arc::new(watch::Sender::new(ServerState::default())),
        }
    }

    /// The shutdown that the servers follow.
    pub(crate) fn signal(&self) -> ShutdownSignal {
        self.signal.clone()
    }

    /// Runs one server and adds its report to the sum when it ends.
    pub(crate) fn run(&self, server: impl Future<Output = DrainReport> + Send + 'static) {
        self.state.send_modify(|state| state.running += 1);
        let state = Arc::clone(&self.state);
        self.tasks.spawn(async move {
            let report = server.await;
            state.send_modify(|state| {
                state.running -= 1;
                state.report.finished += report.finished;
                state.report.refused += report.refused;
                state.report.cut += report.cut;
            });
        });
    }

    async fn ended(&self) -> DrainReport {
        let mut state = self.state.subscribe();
        match state.wait_for(|state| state.running == 0).await {
            Ok(state) => state.report,
            Err(_) => self.report(),
        }
    }

    fn report(&self) -> DrainReport {
        self.state.borrow().report
    }
}

/// The control actors.
pub(crate) struct Actors {
    overlay: ActorRef<OverlayMessage>,
    platform: ActorRef<PlatformMessage>,
    ends: Mutex<Vec<(&'static str, JoinHandle<()>)>>,
}

impl Actors {
    pub(crate) fn new(
        overlay: ActorRef<OverlayMessage>,
        overlay_task: JoinHandle<()>,
        platform: ActorRef<PlatformMessage>,
        platform_task: JoinHandle<()>,
    ) -> Self {
        let ends = Mutex::new(vec![("overlay", overlay_task), ("platform", platform_task)]);
        Self { overlay, platform, ends }
    }

    pub(crate) fn kill(&self) {
        self.overlay.kill();
        self.platform.kill();
        for (_, task) in self.ends.lock().iter() {
            task.abort();
        }
    }

    /// Waits until one of the actors has ended; tells its name. For one caller.
    async fn any_ended(&self) -> &'static str {
        let ends = std::mem::take(&mut *self.ends.lock());
        let ends = ends.into_iter().map(|(name, task)| {
            Box::pin(async move {
                let _ = task.await;
                name
            })
        });
        futures_util::future::select_all(ends).await.0
    }
}

/// A node that runs. Dropping it ends the node at once, as [`RunningNode::kill`] does.
pub struct RunningNode {
    shared: Arc<NodeShared>,
    tasks: TaskGroup,
    actors: Actors,
    servers: Servers,
}

impl std::fmt::Debug for RunningNode {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("RunningNode").field("node", &self.shared.config.node).finish_non_exhaustive()
    }
}

impl RunningNode {
    pub(crate) const fn new(
        shared: Arc<NodeShared>,
        tasks: TaskGroup,
        actors: Actors,
        servers: Servers,
    ) -> Self {
        Self { shared, tasks, actors, servers }
    }

    /// Addresses listened at.
    #[must_use]
    pub fn addresses(&self) -> NodeAddresses {
        self.shared.addresses
    }

    /// Whether the node takes requests.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        self.shared.readiness()
    }

    /// Status of the node's endpoint.
    #[must_use]
    pub fn endpoint_status(&self) -> EndpointStatus {
        self.shared.proxy.endpoint_status()
    }

    /// State of the overlay; `None` if the actor does not answer in time.
    pub async fn status(&self) -> Option<Arc<OverlayStatus>> {
        self.shared.overlay_status().await
    }

    /// Waits until a control actor ends against plan; the process must then leave. For one caller.
    pub async fn failed(&self) {
        let actor = self.actors.any_ended().await;
        let reason = "it ended against plan".to_owned();
        self.shared.environment.telemetry.emit(Event::ActorFailed { actor, reason });
    }

    /// A planned stop: tells everybody that the node drains, refuses new work, finishes what is in flight, and
    /// ends the node. What is in flight after the drain timeout is cut and counted.
    pub async fn drain(&self) -> DrainReport {
        let shared = &self.shared;
        let telemetry = &shared.environment.telemetry;
        let began = Instant::now();
        let limit = shared.config.drain_timeout;
        shared.draining.send_replace(true);
        telemetry.emit(Event::DrainStarted { timeout_millis: millis(limit) });
        own_status::announce(shared, EndpointStatus::Draining);
        self.servers.handle.drain();
        let report = match timeout(limit, self.servers.ended()).await {
            Ok(report) => {
                telemetry.emit(Event::DrainFinished { waited_millis: millis(began.elapsed()) });
                report
            }
            Err(_) => {
                let report = self.cut().await;
                telemetry.emit(Event::DrainTimedOut { cut: report.cut });
                report
            }
        };
        self.say_farewell().await;
        self.kill();
        report
    }

    /// Cuts what is in flight and leaves at once; tells what was cut.
    pub async fn stop_at_once(&self) -> DrainReport {
        let report = self.cut().await;
        self.shared.environment.telemetry.emit(Event::StoppedAtOnce { cut: report.cut });
        self.kill();
        report
    }

    async fn cut(&self) -> DrainReport {
        self.servers.handle.kill();
        match timeout(CUT_REPORT_TIME, self.servers.ended()).await {
            Ok(report) => report,
            Err(_) => self.servers.report(),
        }
    }

    /// Lets the last record and the reader lease go.
    async fn say_farewell(&self) {
        own_status::announce(&self.shared, EndpointStatus::Gone);
        let release = PlatformMessage::Request(PlatformRequest::ReleaseReaderLease);
        let has_lease = self.status().await.is_some_and(|status| status.has_lease);
        if has_lease {
            // An actor that is gone holds no lease for long.
            let _ = self.actors.platform.send_message(release);
        }
        sleep(FAREWELL_TIME).await;
    }

    /// Ends every task and actor at once, as a kill of the process would.
    pub fn kill(&self) {
        self.servers.handle.kill();
        self.tasks.abort_all();
        self.actors.kill();
    }
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        self.kill();
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
