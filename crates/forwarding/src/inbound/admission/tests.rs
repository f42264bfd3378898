//! Waiters of several tenants that share one slot.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;
use umberpond_model::TenantId;
use umberpond_scheduling::{Refusal, WorkItem};

use super::{Admission, now};

const GREEDY: TenantId = TenantId(0);
const OTHER: TenantId = TenantId(1);
/// Number of requests that may wait for one slot.
const FULL: usize = 20;
const TIME: Duration = Duration::from_secs(20);
const MOMENT: Duration = Duration::from_millis(1);

fn item(tenant: Option<TenantId>) -> WorkItem {
    WorkItem {
        priority: 1,
        objective_at: now() + TIME,
        deadline: now() + TIME,
        queue_deadline: now() + TIME,
        max_queue_wait: TIME,
        service: Duration::from_millis(50),
        is_caller_retry: false,
        tenant,
        call: None,
    }
}

/// Waits for a slot and frees it immediately.
fn admit(admission: &Arc<Admission>, tenant: TenantId) -> JoinHandle<Result<(), Refusal>> {
    let admission = Arc::clone(admission);
    tokio::spawn(async move { admission.admit(item(Some(tenant))).await.map(drop) })
}

#[tokio::test(start_paused = true)]
async fn displaced_waiter_is_rejected_immediately_and_gets_no_slot() {
    let admission = Arc::new(Admission::default());
    admission.open(1);
    let permit = admission.admit(item(None)).await.expect("a free slot");
    let mut greedy: Vec<_> = (0..FULL).map(|_| admit(&admission, GREEDY)).collect();
    sleep(MOMENT).await;
    let other = admit(&admission, OTHER);
    sleep(MOMENT).await;
    let displaced: Vec<_> = greedy.extract_if(.., |waiter| waiter.is_finished()).collect();
    assert_eq!(displaced.len(), 1, "one waiter is displaced while the slot is still taken");
    for waiter in displaced {
        assert!(matches!(waiter.await.unwrap(), Err(Refusal::OverShare { .. })));
    }
    drop(permit);
    assert_eq!(other.await.unwrap(), Ok(()));
    for waiter in greedy {
        assert_eq!(waiter.await.unwrap(), Ok(()));
    }
    let load = admission.report();
    assert_eq!((load.running, load.waiting), (0, 0));
}

/// A dropped waiter must count neither for its tenant nor for the slots.
#[tokio::test(start_paused = true)]
async fn dropped_waiter_frees_its_place_in_the_queue() {
    let admission = Arc::new(Admission::default());
    admission.open(1);
    let permit = admission.admit(item(None)).await.expect("a free slot");
    let greedy: Vec<_> = (0..FULL).map(|_| admit(&admission, GREEDY)).collect();
    sleep(MOMENT).await;
    for waiter in &greedy {
        waiter.abort();
    }
    sleep(MOMENT).await;
    assert_eq!(admission.report().waiting, 0);
    drop(permit);
    assert_eq!(admit(&admission, GREEDY).await.unwrap(), Ok(()));
    assert_eq!(admission.usage(GREEDY), None, "no usage is kept once a slot was free for every request");
}
