//! Slots, the queue by class, immediate refusals, draining and the adaptive number of slots.

mod support;

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Wake, Waker};
use std::time::Duration;

use support::{CLASSES, admitted, attempt, open_gate, queued};
use umberpond_admission::{
    Admission, AdmissionSettings, Attempt, Completion, GateStatus, Refusal, RefusalReason,
};
use umberpond_config::RequestClass::{Internal, Reporting, Status, Transaction};
use umberpond_model::{Millis, Timestamp};

const NOW: Timestamp = Timestamp(100);
const SERVED: Completion = Completion::Served { service_time: Duration::from_millis(100) };

fn settings(slots: u32, queue: usize) -> AdmissionSettings {
    AdmissionSettings { slots, queue, ..Default::default() }
}

fn refused(gate: &Admission, now: Timestamp, attempt: &Attempt) -> Refusal {
    gate.admit(now, attempt).expect_err("refused")
}

#[test]
fn free_slots_go_to_the_most_important_class_first_in_first_out() {
    let gate = open_gate(settings(1, 10));
    let running = admitted(&gate, NOW, &attempt(0, Reporting));
    let arrivals = [Reporting, Internal, Status, Transaction, Internal, Reporting];
    let mut waiting: Vec<_> =
        (1..).zip(arrivals).map(|(id, class)| (id, queued(&gate, NOW, &attempt(id, class)))).collect();
    let mut order = Vec::new();
    running.finish(NOW, Completion::Broken);
    while let Some(index) =
        (0..waiting.len()).find(|index| gate.view().running == 1 && *index < waiting.len())
    {
        let next = (index..waiting.len()).find_map(|index| Some((index, waiting[index].1.try_take()?)));
        let (index, verdict) = next.expect("one request has the slot");
        order.push(waiting.remove(index).0);
        verdict.expect("granted").finish(NOW, Completion::Broken);
    }
    assert_eq!(order, [2, 5, 4, 3, 1, 6]);
}

#[test]
fn a_full_queue_sheds_the_lowest_class_and_says_so_at_once() {
    let gate = open_gate(settings(1, 2));
    let _running = admitted(&gate, NOW, &attempt(0, Internal));
    let mut first = queued(&gate, NOW, &attempt(1, Reporting));
    let mut second = queued(&gate, NOW, &attempt(2, Transaction));
    let refusal = refused(&gate, NOW, &attempt(3, Reporting));
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    assert!(refusal.retry_after >= Millis(1_000) && refusal.proves_not_executed());

    let _third = queued(&gate, NOW, &attempt(4, Internal));
    assert_eq!(first.try_take().expect("decided").expect_err("shed").reason, RefusalReason::Displaced);
    let _fourth = queued(&gate, NOW, &attempt(5, Internal));
    assert_eq!(second.try_take().expect("decided").expect_err("shed").reason, RefusalReason::Displaced);
    assert_eq!(refused(&gate, NOW, &attempt(6, Internal)).reason, RefusalReason::Overloaded);
    assert_eq!(gate.view().queued, 2);
}

#[test]
fn what_would_wait_past_its_deadline_is_refused_instead_of_held() {
    let gate = open_gate(settings(1, 10));
    admitted(&gate, NOW, &attempt(0, Status)).finish(NOW, SERVED);
    let _running = admitted(&gate, NOW, &attempt(1, Status));
    let short = Attempt { remaining: Millis(150), ..attempt(2, Status) };
    assert_eq!(refused(&gate, NOW, &short).reason, RefusalReason::DeadlineTooShort);
    let _waits = queued(&gate, NOW, &Attempt { remaining: Millis(250), ..short });
    let passed = Attempt { remaining: Millis(0), ..short };
    assert_eq!(refused(&gate, NOW, &passed).reason, RefusalReason::DeadlineTooShort);
}

#[test]
fn an_expired_request_never_gets_a_slot_and_an_abandoned_one_leaves_its_place() {
    let gate = open_gate(settings(1, 3));
    let running = admitted(&gate, NOW, &attempt(0, Status));
    let mut expired = queued(&gate, NOW, &Attempt { remaining: Millis(50), ..attempt(1, Status) });
    drop(queued(&gate, NOW, &attempt(2, Status)));
    let mut patient = queued(&gate, NOW, &attempt(3, Status));
    assert_eq!(gate.view().queued, 2);
    running.finish(NOW + Millis(50), Completion::Broken);
    let refusal = expired.try_take().expect("decided").expect_err("too late");
    assert_eq!(refusal.reason, RefusalReason::DeadlineTooShort);
    let permit = patient.try_take().expect("decided").expect("granted");
    drop(permit);
    assert_eq!((gate.view().running, gate.view().queued), (0, 0));
}

#[test]
fn a_slot_granted_to_a_dropped_ticket_goes_on_to_the_next() {
    let gate = open_gate(settings(1, 3));
    let running = admitted(&gate, NOW, &attempt(0, Status));
    let first = queued(&gate, NOW, &attempt(1, Status));
    let mut second = queued(&gate, NOW, &attempt(2, Status));
    drop(running);
    assert!(second.try_take().is_none());
    drop(first);
    let _permit = second.try_take().expect("decided").expect("granted");
    assert_eq!(gate.view().running, 1);
}

#[test]
fn draining_refuses_from_the_instant_it_is_set_and_lets_running_work_end() {
    let gate = open_gate(settings(1, 3));
    let running = admitted(&gate, NOW, &attempt(0, Internal));
    let mut waiting = queued(&gate, NOW, &attempt(1, Internal));
    gate.set_status(GateStatus::Draining);
    let refusal = waiting.try_take().expect("decided at once").expect_err("refused");
    assert_eq!(refusal.reason, RefusalReason::Draining);
    assert!(refusal.proves_not_executed());
    for class in CLASSES {
        assert_eq!(refused(&gate, NOW, &attempt(2, class)).reason, RefusalReason::Draining);
    }
    assert_eq!(gate.view().running, 1);
    running.finish(NOW, SERVED);
    assert_eq!(refused(&gate, NOW, &attempt(3, Internal)).reason, RefusalReason::Draining);
}

#[test]
fn a_gate_refuses_until_it_is_opened() {
    let gate = Admission::new(settings(1, 1), Timestamp(0));
    assert_eq!(refused(&gate, NOW, &attempt(0, Internal)).reason, RefusalReason::NotReady);
}

struct CountedWakes(AtomicU32);

impl Wake for CountedWakes {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

#[test]
fn a_ticket_is_a_future_that_wakes_its_task() {
    let gate = open_gate(settings(1, 1));
    let running = admitted(&gate, NOW, &attempt(0, Status));
    let mut ticket = pin!(queued(&gate, NOW, &attempt(1, Status)));
    let wakes = Arc::new(CountedWakes(AtomicU32::new(0)));
    let waker = Waker::from(Arc::clone(&wakes));
    let mut context = Context::from_waker(&waker);
    assert!(ticket.as_mut().poll(&mut context).is_pending());
    drop(running);
    assert_eq!(wakes.0.load(Ordering::SeqCst), 1);
    assert!(ticket.as_mut().poll(&mut context).is_ready());
}

#[test]
fn slots_shrink_when_the_back_end_sheds_and_grow_back_when_it_serves() {
    let gate = open_gate(settings(10, 10));
    for burst in 0..3 {
        let now = NOW + Millis(burst * 200);
        for id in 0..4 {
            admitted(&gate, now, &attempt(id, Status)).finish(now, Completion::Shed);
        }
    }
    assert_eq!(gate.view().slots, 3, "one decrease a burst: 10, 7, 4.9, 3.43");
    for id in 0..100 {
        admitted(&gate, NOW, &attempt(id, Status)).finish(NOW, SERVED);
    }
    assert_eq!(gate.view().slots, 10);
}

#[test]
fn a_mix_of_short_calls_and_long_streams_keeps_its_slots() {
    const STREAM: Completion = Completion::Served { service_time: Duration::from_millis(400) };
    const SHORT: Completion = Completion::Served { service_time: Duration::from_millis(5) };
    let gate = open_gate(settings(10, 10));
    // Short calls alone, then bursts of streams among them: different work, not a back end that slows.
    let mut now = NOW;
    for id in 0..2_000 {
        let completion = if id >= 300 && id % 20 < 4 { STREAM } else { SHORT };
        now = now + Millis(20);
        admitted(&gate, now, &attempt(id, Status)).finish(now, completion);
        assert_eq!(gate.view().slots, 10, "after call {id}");
    }
}

#[test]
fn a_back_end_that_could_not_be_reached_is_not_one_that_sheds() {
    let gate = open_gate(settings(10, 10));
    let lost = Attempt { number: 1, ..attempt(7, Transaction) };
    admitted(&gate, NOW, &lost).finish(NOW, Completion::NotSent);
    assert_eq!(gate.view().slots, 10);
    assert_eq!(refused(&gate, NOW, &lost).reason, RefusalReason::Duplicate, "a copy of it stays refused");
    let _next = admitted(&gate, NOW, &Attempt { number: 2, ..lost });
}
