//! The owner's life cycle, and observers that doubt it.

use std::net::SocketAddr;

use quickcheck::quickcheck;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberpond_endpoints::{
    EndpointTable, LifeCycleError, OwnRecord, Refutation, SUSPECT_AFTER, SuspicionTimer, suspect,
};
use umberpond_model::{
    EndpointRecord, EndpointStatus, Incarnation, Locality, Millis, NodeName, RegionName, Timestamp, ZoneName,
};

fn owner() -> OwnRecord {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let zone = ZoneName::new("a").unwrap();
    OwnRecord::new(EndpointRecord {
        node: NodeName::new("n0").unwrap(),
        service: None,
        locality: Locality { region: RegionName::new("north").unwrap(), zone },
        inbound: address,
        control: address,
        incarnation: Incarnation(5),
        sequence: 0,
        status: EndpointStatus::Starting,
        suspect: false,
    })
}

#[test]
fn the_status_only_moves_forward_within_an_incarnation() {
    let mut owner = owner();
    let ready = owner.set_status(EndpointStatus::Ready).unwrap().unwrap();
    assert_eq!(owner.set_status(EndpointStatus::Ready), Ok(None));
    let draining = owner.set_status(EndpointStatus::Draining).unwrap().unwrap();
    assert!(draining.order() > ready.order());
    let refused = owner.set_status(EndpointStatus::Ready);
    let (from, to) = (EndpointStatus::Draining, EndpointStatus::Ready);
    assert_eq!(refused, Err(LifeCycleError::Backwards { from, to }));
    assert_eq!(owner.record(), &draining);
    assert!(owner.begin_incarnation(Incarnation(5)).is_err());
    let restarted = owner.begin_incarnation(Incarnation(6)).unwrap();
    assert_eq!(restarted.status, EndpointStatus::Starting);
    assert!(restarted.order() > draining.order());
}

#[test]
fn an_owner_refutes_a_doubt_and_yields_to_a_later_process() {
    let mut owner = owner();
    let record = owner.set_status(EndpointStatus::Ready).unwrap().unwrap();
    assert_eq!(owner.on_heard(&record), Refutation::Unneeded);
    let Refutation::Refuted(answer) = owner.on_heard(&suspect(&record)) else { panic!("not refuted") };
    assert!(answer.order() > suspect(&record).order() && answer.takes_new_work());
    assert_eq!(owner.on_heard(&suspect(&record)), Refutation::Unneeded);
    let later = EndpointRecord { incarnation: Incarnation(6), ..record };
    assert_eq!(owner.on_heard(&later), Refutation::Superseded { by: Incarnation(6) });
}

#[test]
fn an_observer_waits_and_forgets_owners_that_show_up_elsewhere() {
    let lost_at = Timestamp(10);
    let mut owner = owner();
    let known = owner.record().clone();
    let mut timer = SuspicionTimer::new();
    timer.on_lost(lost_at, &known);
    assert_eq!(timer.next_due(), Some(lost_at + SUSPECT_AFTER));
    assert!(timer.take_due(lost_at + Millis(SUSPECT_AFTER.0 - 1)).is_empty());
    assert_eq!(timer.take_due(lost_at + SUSPECT_AFTER), vec![known.node.clone()]);
    assert_eq!(timer.next_due(), None);
    timer.on_lost(lost_at, &known);
    timer.on_record(&known);
    assert!(timer.next_due().is_some(), "the record known at the loss is no sign of life");
    timer.on_record(&owner.announce());
    assert_eq!(timer.next_due(), None);
}

/// A paused owner that comes back among many observers, with records crossed and doubled on their way. Every record
/// once written is delivered to everyone in the end, as the digests make sure.
struct Run {
    owner: OwnRecord,
    tables: Vec<EndpointTable>,
    written: Vec<EndpointRecord>,
}

impl Run {
    fn deliver(&mut self, record: &EndpointRecord, to: usize) {
        self.tables[to].merge(Timestamp(0), record.clone());
    }

    fn owner_hears(&mut self, record: &EndpointRecord) {
        if let Refutation::Refuted(answer) = self.owner.on_heard(record) {
            self.written.push(*answer);
        }
    }

    fn observer_doubts(&mut self, observer: usize) {
        if let Some(known) = self.tables[observer].get(&self.owner.record().node).cloned() {
            self.written.push(suspect(&known));
            self.deliver(&suspect(&known), observer);
        }
    }
}

quickcheck! {
    fn many_observers_and_a_paused_owner_converge(seed: u64, steps: u8) -> bool {
        const OBSERVERS: usize = 5;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut owner = owner();
        let written = vec![owner.set_status(EndpointStatus::Ready).unwrap().unwrap()];
        let mut run = Run { owner, tables: vec![EndpointTable::new(); OBSERVERS], written };
        for _ in 0..steps {
            let record = run.written[rng.random_range(0..run.written.len())].clone();
            let observer = rng.random_range(0..OBSERVERS);
            match rng.random_range(0..4) {
                0 => run.observer_doubts(observer),
                1 => run.owner_hears(&record),
                _ => run.deliver(&record, observer),
            }
        }
        let mut delivered = 0;
        while delivered < run.written.len() {
            let record = run.written[delivered].clone();
            (0..OBSERVERS).for_each(|observer| run.deliver(&record, observer));
            run.owner_hears(&record);
            delivered += 1;
        }
        let node = run.owner.record().node.clone();
        run.tables.iter().all(|table| table.get(&node) == Some(run.owner.record()))
            && run.owner.record().takes_new_work()
    }
}
