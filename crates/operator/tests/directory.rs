//! The node directory in the umberpond store, with entries that no node has written.

use std::sync::Arc;

use bytes::Bytes;
use umberpond_daemon::MemberDirectory;
use umberpond_membership::DirectoryEntry;
use umberpond_operator::StoreDirectory;
use umberpond_store::ObjectKind;
use umberpond_store::memory::{Fault, MemoryPlatform, RequestInfo, Verb};

/// Depth of nested values. A parser that recurses needs more stack for it than a thread has.
const DEPTH: usize = 100_000;

fn entry() -> DirectoryEntry {
    DirectoryEntry {
        node: "node-1".parse().unwrap(),
        control: "10.1.0.1:7620".parse().unwrap(),
        locality: None,
    }
}

/// A client of the store refuses names that are not allowed in a path.
fn refuse_invalid_names(request: &RequestInfo) -> Fault {
    if request.verb == Verb::Get && request.name.contains(' ') { Fault::NotSent } else { Fault::None }
}

/// One name that can't be read made the whole list unreadable, so that no node could join.
#[tokio::test]
async fn odd_entries_leave_the_others_readable() {
    let platform = MemoryPlatform::new();
    let store = platform.client();
    store.set_faults(refuse_invalid_names);
    let directory = StoreDirectory::new(Arc::new(store));
    directory.announce(&entry()).await.unwrap();
    let deep = ["[".repeat(DEPTH), "]".repeat(DEPTH)].concat();
    let odd = [
        &deep,
        "1e999",
        "{\"node\":\"node-9\",\"control\":\"10.1.0.9:70000\"}",
        "{\"node\":\"node-9\",\"control\":18446744073709551616}",
    ];
    for (number, odd) in odd.iter().enumerate() {
        platform.overwrite(ObjectKind::Nodes, &format!("aa-{number}"), Bytes::from((*odd).to_owned()));
    }
    platform.overwrite(ObjectKind::Nodes, "aa odd", Bytes::from_static(b"{}"));
    let listing = directory.list().await.unwrap();
    assert_eq!(listing.entries, [entry()]);
}
