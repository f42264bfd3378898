use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use async_trait::async_trait;
use parking_lot::Mutex;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::watch;
use tokio::time::{Duration, timeout};
use umberpond_membership::DirectoryEntry;
use umberpond_model::StoreEra;
use umberpond_telemetry::Telemetry;

use super::{DirectoryError, JoinTask, Listing, MemberDirectory, join};
use crate::membership::MembershipMessage;

fn directory_entry(node: &str, port: u16) -> DirectoryEntry {
    DirectoryEntry {
        node: node.parse().unwrap(),
        control: std::net::SocketAddr::from(([10, 0, 0, 1], port)),
        locality: None,
    }
}

/// A directory whose list stays stale for a number of reads.
#[derive(Default)]
struct StaleDirectory {
    entries: Mutex<Vec<DirectoryEntry>>,
    /// Number of reads that still return an empty list.
    stale_reads: AtomicU32,
    /// Number of calls that are still refused.
    refusals: AtomicU32,
    announced: AtomicU32,
    listed: AtomicU32,
}

impl StaleDirectory {
    fn refuse(&self) -> Result<(), DirectoryError> {
        let refused =
            self.refusals.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
        refused.map_or(Ok(()), |_| Err(DirectoryError { reason: "refused".to_owned() }))
    }
}

#[async_trait]
impl MemberDirectory for StaleDirectory {
    fn era(&self) -> StoreEra {
        StoreEra::default()
    }

    async fn announce(&self, directory_entry: &DirectoryEntry) -> Result<(), DirectoryError> {
        self.refuse()?;
        self.announced.fetch_add(1, Ordering::Relaxed);
        let mut entries = self.entries.lock();
        entries.retain(|entry| entry.node != directory_entry.node);
        entries.push(directory_entry.clone());
        Ok(())
    }

    async fn list(&self) -> Result<Listing, DirectoryError> {
        self.refuse()?;
        self.listed.fetch_add(1, Ordering::Relaxed);
        let stale =
            self.stale_reads.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
        let entries = if stale.is_ok() { Vec::new() } else { self.entries.lock().clone() };
        Ok(Listing { entries, may_be_stale: true })
    }

    async fn withdraw(&self, _introduction: &DirectoryEntry) -> Result<(), DirectoryError> {
        Ok(())
    }
}

/// A membership actor that ignores all messages.
struct IgnoringMembership;

impl Actor for IgnoringMembership {
    type Msg = MembershipMessage;
    type State = ();
    type Arguments = ();

    async fn pre_start(&self, _myself: ActorRef<Self::Msg>, (): ()) -> Result<(), ActorProcessingErr> {
        Ok(())
    }
}

async fn join_with(directory: &Arc<StaleDirectory>, is_first_start: bool) {
    let (membership, _) = Actor::spawn(None, IgnoringMembership, ()).await.unwrap();
    let directory: Arc<dyn MemberDirectory> = Arc::clone(directory) as Arc<dyn MemberDirectory>;
    let task = JoinTask {
        directory,
        own: directory_entry("own", 7),
        membership,
        store_eras: watch::channel(StoreEra::default()).1,
        is_first_start,
        seed: 1,
        telemetry: Telemetry::silent(),
    };
    timeout(Duration::from_secs(60), join(&task)).await.expect("the node joins");
}

#[tokio::test(start_paused = true)]
async fn a_restarted_process_does_not_rewrite_its_existing_entry() {
    let directory = Arc::new(StaleDirectory::default());
    directory.entries.lock().push(directory_entry("own", 7));
    join_with(&directory, false).await;
    assert_eq!(directory.announced.load(Ordering::Relaxed), 0);
    assert_eq!(directory.listed.load(Ordering::Relaxed), 1);
}

#[tokio::test(start_paused = true)]
async fn a_node_with_a_new_address_replaces_its_old_entry() {
    let directory = Arc::new(StaleDirectory::default());
    directory.entries.lock().push(directory_entry("own", 8));
    join_with(&directory, false).await;
    assert_eq!(directory.announced.load(Ordering::Relaxed), 1);
    assert_eq!(*directory.entries.lock(), [directory_entry("own", 7)]);
}

#[tokio::test(start_paused = true)]
async fn a_stale_list_without_the_own_entry_is_read_again() {
    let directory = Arc::new(StaleDirectory::default());
    directory.stale_reads.store(3, Ordering::Relaxed);
    join_with(&directory, true).await;
    assert_eq!(directory.announced.load(Ordering::Relaxed), 1, "an entry is written once");
    assert_eq!(directory.listed.load(Ordering::Relaxed), 4);
}

#[tokio::test(start_paused = true)]
async fn a_refused_call_is_retried() {
    let directory = Arc::new(StaleDirectory::default());
    directory.refusals.store(5, Ordering::Relaxed);
    join_with(&directory, true).await;
    assert_eq!(directory.announced.load(Ordering::Relaxed), 1);
}
