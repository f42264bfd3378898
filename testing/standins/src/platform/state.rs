//! The platform's whole state behind one lock, and the signals to its watches.

use std::sync::Arc;

use parking_lot::{Mutex, MutexGuard};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::counters::{CounterReport, Counters};
use super::faults::{DEFAULT_WATCH_WINDOW, FaultChange, Faults};
use super::leases::Leases;
use super::machines::{Machine, Machines};
use super::store::Store;

/// What lies under the lock.
#[derive(Debug)]
pub struct Locked {
    /// Objects and their recent changes.
    pub store: Store,
    /// Leases.
    pub leases: Leases,
    /// The machine list as readers see it.
    pub machines: Machines,
    /// Faults in force.
    pub faults: Faults,
    /// Counts of requests and readers.
    pub counters: Counters,
}

/// The state shared by all requests.
#[derive(Debug)]
pub struct State {
    locked: Mutex<Locked>,
    changes: watch::Sender<u64>,
    cuts: watch::Sender<u64>,
}

impl State {
    /// An empty platform without faults.
    pub fn new() -> Self {
        let locked = Locked {
            store: Store::new(DEFAULT_WATCH_WINDOW),
            leases: Leases::default(),
            machines: Machines::default(),
            faults: Faults::default(),
            counters: Counters::default(),
        };
        Self { locked: Mutex::new(locked), changes: watch::Sender::new(0), cuts: watch::Sender::new(0) }
    }

    /// Locks the state; never held across an await.
    pub fn locked(&self) -> MutexGuard<'_, Locked> {
        self.locked.lock()
    }

    /// A receiver that is told of each change of any object.
    pub fn subscribe_changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// A receiver that is told when all watches are cut.
    pub fn subscribe_cuts(&self) -> watch::Receiver<u64> {
        self.cuts.subscribe()
    }

    /// Wakes the watches after a change.
    pub fn notify_change(&self) {
        let revision = self.locked().store.revision();
        self.changes.send_replace(revision);
    }

    /// Carries out an order to fail or to mend.
    pub fn change_faults(&self, change: &FaultChange) {
        {
            let mut locked = self.locked();
            locked.faults.update(change);
            if let Some(window) = change.watch_window {
                locked.store.set_watch_window(window);
            }
            if change.lapse_leases {
                locked.leases.lapse_all();
            }
        }
        if change.cut_watches || change.down == Some(true) {
            self.cuts.send_modify(|cuts| *cuts += 1);
        }
    }

    /// Replaces the machine list; readers see it after the lag in force.
    pub fn set_machines(self: &Arc<Self>, machines: Vec<Machine>) {
        let (update, lag) = {
            let mut locked = self.locked();
            (locked.machines.next_update(), locked.faults.machine_lag)
        };
        if lag.is_zero() {
            self.show_machines(update, &machines);
            return;
        }
        let state = Arc::clone(self);
        tokio::spawn(async move {
            sleep(lag).await;
            state.show_machines(update, &machines);
        });
    }

    /// The counters now.
    pub fn counters(&self) -> CounterReport {
        let now = Instant::now();
        let mut locked = self.locked();
        let holders = locked.leases.holders(now);
        locked.counters.report(now, holders)
    }

    fn show_machines(&self, update: u64, machines: &[Machine]) {
        {
            let mut locked = self.locked();
            let Locked { store, machines: shown, .. } = &mut *locked;
            shown.apply(update, machines, store);
        }
        self.notify_change();
    }
}
