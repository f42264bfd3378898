//! Reads the configuration from the store while this node has the reader role.

use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use ractor::rpc::CallResult;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Instant, sleep};
use umberpond_distribution::{ReaderContext, ReaderRole, ReaderSettings, reader_role};
use umberpond_model::{NodeName, StoreRevision};
use umberpond_telemetry::{Event, Telemetry};

use super::message::ConfigurationMessage;
use super::source::{ConfigurationSource, SourceError, Sourced, Waited};
use crate::membership::{MembershipMessage, StoreView};

/// Interval at which a node determines its reader role.
const ROLE_INTERVAL: Duration = Duration::from_millis(250);
/// The same interval shortly after the start, when callers may be waiting for the first configuration.
const STARTUP_ROLE_INTERVAL: Duration = Duration::from_millis(20);
/// Time after the start during which the shorter interval applies.
const STARTUP_PHASE: Duration = Duration::from_secs(2);
/// Maximum time that one call waits for a change.
const MAX_WAIT: Duration = Duration::from_millis(700);
/// Initial backoff after a failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Timeout for the reply of the membership actor.
const ACTOR_TIMEOUT: Duration = Duration::from_millis(500);

/// Arguments of the reader task.
pub(crate) struct ReaderTask {
    pub(crate) source: Arc<dyn ConfigurationSource>,
    pub(crate) settings: ReaderSettings,
    pub(crate) configuration: ActorRef<ConfigurationMessage>,
    pub(crate) membership: ActorRef<MembershipMessage>,
    pub(crate) telemetry: Telemetry,
    pub(crate) seed: u64,
}

/// Reads the store until the task is aborted.
pub(crate) async fn read_store(task: ReaderTask) {
    let mut reader = Reader {
        random: SmallRng::seed_from_u64(task.seed),
        task,
        position: None,
        is_reader: false,
        failure: None,
        started_at: Instant::now(),
        backoff: INITIAL_BACKOFF,
        is_available: true,
    };
    loop {
        reader.step().await;
    }
}

struct Reader {
    task: ReaderTask,
    random: SmallRng,
    /// Position in the store's history up to which this node has read.
    position: Option<StoreRevision>,
    is_reader: bool,
    started_at: Instant,
    /// When the last call failed, and the backoff after it for a reader whose backoff factor is 1; absent
    /// after a successful call.
    failure: Option<(Instant, Duration)>,
    backoff: Duration,
    is_available: bool,
}

impl Reader {
    async fn step(&mut self) {
        let role = own_role(&self.task.membership, &self.task.settings).await;
        self.report_role(role.is_some());
        let Some(role) = role else {
            self.position = None;
            sleep(self.role_interval()).await;
            return;
        };
        // The role is determined again during the backoff, so that a node whose backoff factor falls
        // meanwhile waits no longer than its new role requires.
        if let Some(left) = self.remaining_backoff(role) {
            sleep(left.min(self.role_interval())).await;
            return;
        }
        match self.read_next().await {
            Ok(()) => self.on_available(),
            Err(error) => self.on_failed(error),
        }
    }

    fn role_interval(&self) -> Duration {
        if self.started_at.elapsed() < STARTUP_PHASE { STARTUP_ROLE_INTERVAL } else { ROLE_INTERVAL }
    }

    /// Remaining backoff after a failed call; absent if it has passed.
    fn remaining_backoff(&self, role: ReaderRole) -> Option<Duration> {
        let (failed_at, backoff) = self.failure?;
        let left = (backoff * role.backoff_factor).saturating_sub(failed_at.elapsed());
        (!left.is_zero()).then_some(left)
    }

    fn report_role(&mut self, is_reader: bool) {
        if is_reader == self.is_reader {
            return;
        }
        self.is_reader = is_reader;
        let role = "store-reader";
        self.task.telemetry.metrics().set_role(role, is_reader);
        self.task.telemetry.emit(if is_reader {
            Event::RoleGained { role }
        } else {
            Event::RoleLost { role }
        });
    }

    /// Reads the whole configuration the first time and after a failed call, and waits for changes after that.
    async fn read_next(&mut self) -> Result<(), SourceError> {
        let Some(position) = self.position else { return self.read_full().await };
        let waited = self.task.source.wait(position, MAX_WAIT).await;
        match self.count_call("wait", waited)? {
            Waited::Changed(sourced, position) => {
                self.position = Some(position);
                self.forward_update(position, Some(*sourced));
                Ok(())
            }
            Waited::Unchanged(position) => {
                self.forward_update(position, None);
                self.check_for_missed_change(position).await
            }
            Waited::Lost => {
                self.task.telemetry.emit(Event::WatchLost { position: position.number });
                self.read_full().await
            }
        }
    }

    /// Reads the whole configuration again if the store's position has advanced, because the wait may have
    /// missed a change.
    async fn check_for_missed_change(&mut self, position: StoreRevision) -> Result<(), SourceError> {
        let current = self.task.source.position().await;
        let current = self.count_call("position", current)?;
        if current > position {
            return self.read_full().await;
        }
        self.position = Some(position);
        Ok(())
    }

    async fn read_full(&mut self) -> Result<(), SourceError> {
        let read = self.task.source.read().await;
        let (sourced, position) = self.count_call("read", read)?;
        self.position = Some(position);
        self.forward_update(position, sourced);
        Ok(())
    }

    /// Counts a call to the store by its outcome and returns the result.
    fn count_call<T>(
        &self,
        operation: &'static str,
        result: Result<T, SourceError>,
    ) -> Result<T, SourceError> {
        let outcome = match &result {
            Ok(_) => "answered",
            Err(SourceError::Unavailable { .. }) => "unavailable",
            Err(SourceError::Unreadable { .. }) => "unreadable",
        };
        self.task.telemetry.metrics().platform_request(operation, outcome);
        result
    }

    fn forward_update(&self, position: StoreRevision, sourced: Option<Sourced>) {
        let _ = self.task.membership.send_message(MembershipMessage::StoreResponded(position.era));
        if let Some(sourced) = sourced {
            let _ = self.task.configuration.send_message(ConfigurationMessage::Sourced(Box::new(sourced)));
        }
    }

    fn on_available(&mut self) {
        self.failure = None;
        self.backoff = INITIAL_BACKOFF;
        if !self.is_available {
            self.is_available = true;
            self.task.telemetry.emit(Event::PlatformAvailable {});
        }
    }

    fn on_failed(&mut self, error: SourceError) {
        // The changes since this position may have become more than one response can contain.
        self.position = None;
        match error {
            SourceError::Unavailable { reason } => {
                if self.is_available {
                    self.is_available = false;
                    self.task.telemetry.emit(Event::PlatformUnavailable { operation: "read", reason });
                }
            }
            SourceError::Unreadable { reason } => {
                let object = "configuration".to_owned();
                self.task.telemetry.emit(Event::ObjectUnreadable { object, reason });
            }
        }
        let backoff = self.backoff.mul_f64(0.5 + 0.5 * self.random.random::<f64>());
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.failure = Some((Instant::now(), backoff));
    }
}

/// Whether this node has the reader role, given the other nodes that its membership knows.
pub(crate) async fn is_store_reader(
    membership: &ActorRef<MembershipMessage>,
    settings: &ReaderSettings,
) -> bool {
    own_role(membership, settings).await.is_some()
}

async fn own_role(membership: &ActorRef<MembershipMessage>, settings: &ReaderSettings) -> Option<ReaderRole> {
    let reply = membership.call(MembershipMessage::StoreView, Some(ACTOR_TIMEOUT)).await;
    let Ok(CallResult::Success(view)) = reply else { return None };
    let StoreView { own, others, silent_for, has_store_contact, has_joined } = view;
    let others: Vec<&NodeName> = others.iter().collect();
    let role =
        reader_role(settings, ReaderContext { own: &own, others: &others, silent_for, has_store_contact });
    role.filter(|_| has_joined)
}
