use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use async_trait::async_trait;
use parking_lot::Mutex;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::time::{Duration, timeout};
use umberpond_membership::DirectoryEntry;
use umberpond_telemetry::Telemetry;

use super::{DirectoryError, JoinTask, Listing, MemberDirectory, join};
use crate::membership::MembershipMessage;

fn introduction(node: &str, port: u16) -> DirectoryEntry {
    DirectoryEntry {
        node: node.parse().unwrap(),
        control: std::net::SocketAddr::from(([10, 0, 0, 1], port)),
        locality: None,
    }
}

/// A directory whose list is older than its entries by some reads.
#[derive(Default)]
struct SlowCopy {
    entries: Mutex<Vec<DirectoryEntry>>,
    /// Reads that still get an empty list.
    stale_reads: AtomicU32,
    /// Calls that are still refused.
    refusals: AtomicU32,
    announced: AtomicU32,
    listed: AtomicU32,
}

impl SlowCopy {
    fn refuse(&self) -> Result<(), DirectoryError> {
        let refused =
            self.refusals.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
        refused.map_or(Ok(()), |_| Err(DirectoryError { reason: "refused".to_owned() }))
    }
}

#[async_trait]
impl MemberDirectory for SlowCopy {
    async fn announce(&self, introduction: &DirectoryEntry) -> Result<(), DirectoryError> {
        self.refuse()?;
        self.announced.fetch_add(1, Ordering::Relaxed);
        let mut entries = self.entries.lock();
        entries.retain(|entry| entry.node != introduction.node);
        entries.push(introduction.clone());
        Ok(())
    }

    async fn list(&self) -> Result<Listing, DirectoryError> {
        self.refuse()?;
        self.listed.fetch_add(1, Ordering::Relaxed);
        let stale =
            self.stale_reads.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
        let introductions = if stale.is_ok() { Vec::new() } else { self.entries.lock().clone() };
        Ok(Listing { introductions, may_be_stale: true })
    }

    async fn withdraw(&self, _introduction: &DirectoryEntry) -> Result<(), DirectoryError> {
        Ok(())
    }
}

/// Stands in for the membership.
struct Silent;

impl Actor for Silent {
    type Msg = MembershipMessage;
    type State = ();
    type Arguments = ();

    async fn pre_start(&self, _myself: ActorRef<Self::Msg>, (): ()) -> Result<(), ActorProcessingErr> {
        Ok(())
    }
}

async fn join_with(directory: &Arc<SlowCopy>, is_first_start: bool) {
    let (membership, _) = Actor::spawn(None, Silent, ()).await.unwrap();
    let directory: Arc<dyn MemberDirectory> = Arc::clone(directory) as Arc<dyn MemberDirectory>;
    let task = JoinTask {
        directory,
        own: introduction("own", 7),
        membership,
        is_first_start,
        seed: 1,
        telemetry: Telemetry::silent(),
    };
    timeout(Duration::from_secs(60), join(task)).await.expect("it joins");
}

#[tokio::test(start_paused = true)]
async fn a_process_started_again_does_not_write_the_entry_that_stands() {
    let directory = Arc::new(SlowCopy::default());
    directory.entries.lock().push(introduction("own", 7));
    join_with(&directory, false).await;
    assert_eq!(directory.announced.load(Ordering::Relaxed), 0);
    assert_eq!(directory.listed.load(Ordering::Relaxed), 1);
}

#[tokio::test(start_paused = true)]
async fn a_node_at_another_address_writes_its_entry_anew() {
    let directory = Arc::new(SlowCopy::default());
    directory.entries.lock().push(introduction("own", 8));
    join_with(&directory, false).await;
    assert_eq!(directory.announced.load(Ordering::Relaxed), 1);
    assert_eq!(*directory.entries.lock(), [introduction("own", 7)]);
}

#[tokio::test(start_paused = true)]
async fn a_list_without_the_own_entry_is_too_old_and_is_read_again() {
    let directory = Arc::new(SlowCopy::default());
    directory.stale_reads.store(3, Ordering::Relaxed);
    join_with(&directory, true).await;
    assert_eq!(directory.announced.load(Ordering::Relaxed), 1, "an entry is written once");
    assert_eq!(directory.listed.load(Ordering::Relaxed), 4);
}

#[tokio::test(start_paused = true)]
async fn a_refused_call_is_made_again() {
    let directory = Arc::new(SlowCopy::default());
    directory.refusals.store(5, Ordering::Relaxed);
    join_with(&directory, true).await;
    assert_eq!(directory.announced.load(Ordering::Relaxed), 1);
}
