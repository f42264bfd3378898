//! Reads the store, as long as this node is one of those that do.

use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use ractor::rpc::CallResult;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Instant, sleep};
use umberpond_distribution::{ReaderContext, ReaderRole, ReaderSettings, reader_role};
use umberpond_model::NodeName;
use umberpond_telemetry::{Event, Telemetry};

use super::message::ConfigurationMessage;
use super::source::{ConfigurationSource, Position, SourceError, Waited};
use crate::membership::{MembershipMessage, StoreView};

/// Time between two looks whether this node reads.
const ROLE_INTERVAL: Duration = Duration::from_millis(250);
/// The same while this process is young: callers may be waiting for its first configuration.
const FIRST_ROLE_INTERVAL: Duration = Duration::from_millis(20);
/// Time from its start for which a process is young.
const YOUNG_FOR: Duration = Duration::from_secs(2);
/// Longest wait for a change in one call.
const LONGEST_WAIT: Duration = Duration::from_millis(700);
/// Shortest pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Longest time that the membership takes to answer.
const ACTOR_TIME: Duration = Duration::from_millis(500);

/// What the reading task needs.
pub(crate) struct ReaderTask {
    pub(crate) source: Arc<dyn ConfigurationSource>,
    pub(crate) settings: ReaderSettings,
    pub(crate) configuration: ActorRef<ConfigurationMessage>,
    pub(crate) membership: ActorRef<MembershipMessage>,
    pub(crate) telemetry: Telemetry,
    pub(crate) seed: u64,
}

/// Reads the store without end.
pub(crate) async fn read_store(task: ReaderTask) {
    let mut reader = Reader {
        random: SmallRng::seed_from_u64(task.seed),
        task,
        position: None,
        is_reader: false,
        failure: None,
        started_at: Instant::now(),
        pause: FIRST_PAUSE,
        is_available: true,
    };
    loop {
        reader.step().await;
    }
}

struct Reader {
    task: ReaderTask,
    random: SmallRng,
    /// Place in the store's history up to which everything is known.
    position: Option<Position>,
    is_reader: bool,
    started_at: Instant,
    /// When the last call failed, and the pause after it of a first reader; absent after a call that was answered.
    failure: Option<(Instant, Duration)>,
    pause: Duration,
    is_available: bool,
}

impl Reader {
    async fn step(&mut self) {
        let turn = turn_of_own(&self.task.membership, &self.task.settings).await;
        self.tell_role(turn.is_some());
        let Some(turn) = turn else {
            self.position = None;
            sleep(self.role_interval()).await;
            return;
        };
        // The turn is found out anew while it waits: a node that becomes one of the first readers goes on at once.
        if let Some(left) = self.pause_left(turn) {
            sleep(left.min(self.role_interval())).await;
            return;
        }
        match self.read_on().await {
            Ok(()) => self.on_available(),
            Err(error) => self.on_failed(error),
        }
    }

    fn role_interval(&self) -> Duration {
        if self.started_at.elapsed() < YOUNG_FOR { FIRST_ROLE_INTERVAL } else { ROLE_INTERVAL }
    }

    /// What is left of the pause after a failed call.
    fn pause_left(&self, turn: ReaderRole) -> Option<Duration> {
        let (failed_at, pause) = self.failure?;
        let left = (pause * turn.backoff_factor).saturating_sub(failed_at.elapsed());
        (!left.is_zero()).then_some(left)
    }

    fn tell_role(&mut self, is_reader: bool) {
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

    /// Reads everything the first time, and what has changed from then on.
    async fn read_on(&mut self) -> Result<(), SourceError> {
        let Some(position) = self.position else { return self.read_whole().await };
        let waited = self.task.source.wait(position, LONGEST_WAIT).await;
        match self.counted("wait", waited)? {
            Waited::Changed(sourced, position) => {
                self.position = Some(position);
                self.heard(Some(*sourced));
                Ok(())
            }
            Waited::Unchanged(position) => {
                self.heard(None);
                self.confirm(position).await
            }
            Waited::Lost => {
                self.task.telemetry.emit(Event::WatchLost { position: position.0 });
                self.read_whole().await
            }
        }
    }

    /// A wait may have missed a change: if history has moved on, everything is read anew.
    async fn confirm(&mut self, position: Position) -> Result<(), SourceError> {
        let present = self.task.source.position().await;
        let present = self.counted("position", present)?;
        if present > position {
            return self.read_whole().await;
        }
        self.position = Some(position);
        Ok(())
    }

    async fn read_whole(&mut self) -> Result<(), SourceError> {
        let read = self.task.source.read().await;
        let (sourced, position) = self.counted("read", read)?;
        self.position = Some(position);
        self.heard(sourced);
        Ok(())
    }

    /// Counts a call to the store by what came of it.
    fn counted<T>(&self, operation: &'static str, result: Result<T, SourceError>) -> Result<T, SourceError> {
        let outcome = match &result {
            Ok(_) => "answered",
            Err(SourceError::Unavailable { .. }) => "unavailable",
            Err(SourceError::Unreadable { .. }) => "unreadable",
        };
        self.task.telemetry.metrics().platform_request(operation, outcome);
        result
    }

    fn heard(&self, sourced: Option<super::source::Sourced>) {
        let _ = self.task.membership.send_message(MembershipMessage::StoreHeard);
        if let Some(sourced) = sourced {
            let _ = self.task.configuration.send_message(ConfigurationMessage::Sourced(Box::new(sourced)));
        }
    }

    fn on_available(&mut self) {
        self.failure = None;
        self.pause = FIRST_PAUSE;
        if !self.is_available {
            self.is_available = true;
            self.task.telemetry.emit(Event::PlatformAvailable {});
        }
    }

    fn on_failed(&mut self, error: SourceError) {
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
        let pause = self.pause.mul_f64(0.5 + 0.5 * self.random.random::<f64>());
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        self.failure = Some((Instant::now(), pause));
    }
}

/// Whether this node is one of those that read the store, as its membership sees the others.
pub(crate) async fn finds_itself_reader(
    membership: &ActorRef<MembershipMessage>,
    settings: &ReaderSettings,
) -> bool {
    turn_of_own(membership, settings).await.is_some()
}

async fn turn_of_own(
    membership: &ActorRef<MembershipMessage>,
    settings: &ReaderSettings,
) -> Option<ReaderRole> {
    let asked = membership.call(MembershipMessage::StoreView, Some(ACTOR_TIME)).await;
    let Ok(CallResult::Success(view)) = asked else { return None };
    let StoreView { own, others, silent_for, has_store_contact, has_joined } = view;
    let others: Vec<&NodeName> = others.iter().collect();
    let turn =
        reader_role(settings, ReaderContext { own: &own, others: &others, silent_for, has_store_contact });
    turn.filter(|_| has_joined)
}
