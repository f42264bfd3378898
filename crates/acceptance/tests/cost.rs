//! Counts the platform requests of an acceptance. Run with `--nocapture` to print the figures.

mod support;

use std::sync::Arc;

use support::{acceptor, platform_with_mesh, put, service};
use umberpond_acceptance::CHECKPOINT_VERSIONS;
use umberpond_acceptance::chain::ChainReader;
use umberpond_store::memory::MemoryPlatform;

/// A platform with `bundles` active bundles, one service in each.
async fn platform_with_bundles(bundles: u32) -> MemoryPlatform {
    let platform = platform_with_mesh().await;
    let acceptor = acceptor(platform.client(), 1);
    for number in 1..bundles {
        let service_name = format!("service-{number}");
        put(&acceptor, number.into(), &service_name, service(&service_name, 4)).await;
    }
    platform
}

#[tokio::test(start_paused = true)]
async fn an_acceptance_costs_a_bounded_number_of_requests() {
    for bundles in [1, 50, 420] {
        let platform = platform_with_bundles(bundles).await;
        let store = platform.client();
        let acceptor = acceptor(store.clone(), 2);
        put(&acceptor, 10_000, "extra", service("extra", 1)).await;
        let first = store.counters();
        put(&acceptor, 10_001, "extra", service("extra", 2)).await;
        let second = store.counters();
        let requests = second.total() - first.total();
        let written = second.bytes_written - first.bytes_written;
        println!(
            "bundles {bundles}: first submission on a node {} requests, {} bytes read; next one {requests} \
             requests, {} bytes read, {written} bytes written",
            first.total(),
            first.bytes_read,
            second.bytes_read - first.bytes_read,
        );
        let cold = platform.client();
        let chain = ChainReader::new(Arc::new(cold.clone()));
        let head = chain.read_head().await.expect("the head can be read").expect("the head exists").head;
        chain.read_whole(head.record).await.expect("the configuration can be read");
        println!(
            "the full configuration: {} requests, {} bytes read",
            cold.counters().total(),
            cold.counters().bytes_read
        );
        // The head, the checkpoint, and one record and one delta for each of fewer than 16 steps.
        assert!(cold.counters().total() <= 2 + 2 * CHECKPOINT_VERSIONS);
        // The head, four content objects and the swap; the search only reads cached records.
        assert_eq!(requests, 6);
        // The head, the record, the manifest, its bundles, one record per page, and the six requests above.
        assert!(first.total() <= u64::from(bundles) + 2 + u64::from(bundles) / 64 + 2 + 6);
    }
}
