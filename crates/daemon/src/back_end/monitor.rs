//! Carries out what follows from a word of the back end: first here, then told to all other nodes.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use ractor::ActorRef;
use tokio::time::{Instant, sleep};
use umberpond_forwarding::{BackEnd, Inbound};
use umberpond_membership::BackEndRecord;
use umberpond_model::{BackEndProcess, ServiceName};
use umberpond_telemetry::{Event, Telemetry};

use super::announcement::Announcement;
use super::lives::{BackEndLives, Effect};
use crate::configuration::Activation;
use crate::membership::MembershipMessage;

/// Time between two questions to a back end that has to be confirmed.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);
/// Questions asked before the next word of the back end is awaited.
const CONFIRM_QUESTIONS: u32 = 40;

/// Follows the back end beside this node.
pub struct BackEndMonitor {
    lives: Mutex<BackEndLives>,
    inbound: Arc<Inbound>,
    activation: Arc<Activation>,
    membership: ActorRef<MembershipMessage>,
    telemetry: Telemetry,
}

impl std::fmt::Debug for BackEndMonitor {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("BackEndMonitor").field("lives", &*self.lives.lock()).finish_non_exhaustive()
    }
}

impl BackEndMonitor {
    pub(crate) fn new(
        may_be_leaving: bool,
        inbound: Arc<Inbound>,
        activation: Arc<Activation>,
        membership: ActorRef<MembershipMessage>,
        telemetry: Telemetry,
    ) -> Arc<Self> {
        let lives = Mutex::new(BackEndLives::new(may_be_leaving));
        Arc::new(Self { lives, inbound, activation, membership, telemetry })
    }

    /// Takes in an announcement. When this returns, a leave that it tells is in force on this node.
    pub fn announce(self: &Arc<Self>, announcement: &Announcement) {
        let effect = self.lives.lock().on_announcement(now(), announcement);
        self.carry_out(effect);
        self.keep_cold_pace();
        self.tell_warm_later();
    }

    /// Takes in that `life` ends. When this returns, that is in force on this node.
    pub fn withdraw(self: &Arc<Self>, life: &BackEndProcess) {
        let effect = self.lives.lock().on_withdrawn(life);
        self.carry_out(effect);
    }

    /// What is told to other nodes of the back end.
    #[must_use]
    pub fn record(&self) -> Option<BackEndRecord> {
        self.lives.lock().record(now())
    }

    /// Takes in that the back end has just said, asked by this process, that it is well.
    pub(crate) fn confirm(self: &Arc<Self>, back_end: BackEnd) {
        let effect = self.lives.lock().on_confirmed(now(), back_end);
        self.carry_out(effect);
    }

    /// Takes in that `life` has said, asked by this process, that it is cold for so long.
    pub(crate) fn on_cold(self: &Arc<Self>, life: &BackEndProcess, cold_for: Duration) {
        if cold_for.is_zero() {
            return;
        }
        self.lives.lock().on_cold(now(), life, cold_for);
        self.keep_cold_pace();
        self.tell_others();
        self.tell_warm_later();
    }

    /// Hands the back end requests at the pace of a cold one as long as it is known to be.
    fn keep_cold_pace(&self) {
        let cold_for = self.lives.lock().cold_for(now());
        if !cold_for.is_zero() {
            self.inbound.on_cold(cold_for);
        }
    }

    /// Takes in that the back end can't be reached.
    pub(crate) fn unreachable(self: &Arc<Self>, life: &BackEndProcess) {
        let effect = self.lives.lock().on_unreachable(life);
        if effect != Effect::None {
            let reason = "it can't be reached".to_owned();
            self.telemetry.emit(Event::BackEndUnhealthy { reason });
        }
        self.carry_out(effect);
    }

    /// Path under which the back end of `service` tells whether it is well.
    pub(crate) fn health_path(&self, service: &ServiceName) -> Option<String> {
        self.activation.health_path(service)
    }

    /// Requests that a back end of `service` works on at once by the configuration in force, if it says so.
    pub(crate) fn configured_slots(&self, service: &ServiceName) -> Option<u32> {
        self.activation.slots(service)
    }

    /// The half that reaches the back end.
    pub(crate) const fn inbound(&self) -> &Arc<Inbound> {
        &self.inbound
    }

    fn carry_out(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::None => return,
            Effect::Open(back_end) => {
                self.tell("ready", "it is well");
                self.inbound.open(back_end);
                self.activation.on_back_end_changed();
            }
            Effect::Close(reason) => {
                self.tell("closed", reason.words());
                self.inbound.close();
            }
            Effect::Confirm(back_end) => {
                self.tell(
                    "to-be-confirmed",
                    "it could not be reached, or an earlier process may have closed it",
                );
                self.inbound.close();
                tokio::spawn(Arc::clone(self).confirm_later(back_end));
            }
        }
        self.tell_others();
    }

    fn tell(&self, state: &'static str, reason: &'static str) {
        let lives = self.lives.lock();
        let Some((back_end, sequence)) = lives.present() else { return };
        let (instance, service) = (back_end.life.to_string(), back_end.service.to_string());
        drop(lives);
        self.telemetry.emit(Event::BackEndStateChanged { instance, service, state, reason, sequence });
    }

    fn tell_others(&self) {
        let record = self.lives.lock().record(now());
        let _ = self.membership.send_message(MembershipMessage::BackEnd(record));
    }

    /// Tells the others once the back end is no longer slow from its start.
    fn tell_warm_later(self: &Arc<Self>) {
        let cold_for = self.lives.lock().cold_for(now());
        if cold_for.is_zero() {
            return;
        }
        let monitor = Arc::clone(self);
        tokio::spawn(async move {
            sleep(cold_for + Duration::from_millis(1)).await;
            monitor.tell_others();
        });
    }

    /// Asks the back end until it says that it is well.
    async fn confirm_later(self: Arc<Self>, back_end: BackEnd) {
        for _question in 0..CONFIRM_QUESTIONS {
            if let Some(path) = self.health_path(&back_end.service) {
                let health = self.inbound.probe_health(back_end.address, &path).await;
                match health.and_then(|health| health.instance.map(|instance| (instance, health.cold_for))) {
                    Some((instance, cold_for)) if instance == back_end.life.instance => {
                        let life = back_end.life.clone();
                        self.confirm(back_end);
                        self.on_cold(&life, cold_for);
                        return;
                    }
                    // Another back end is there, whose own word is awaited: this one does not come back.
                    Some(_another) => return,
                    None => {}
                }
            }
            sleep(CONFIRM_INTERVAL).await;
        }
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
