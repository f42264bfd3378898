//! An endpoint whose answers break off is ejected like one that does not answer.

mod support;

use support::mesh::{backend_at, settle};
use support::{MemoryNetwork, MeshBuilder, Peer, Step, get};
use tokio::time::Instant;
use umberpond_model::Timestamp;

/// A whole head, and one byte of four.
fn cut() -> Step {
    Step::RunThenCut(b"HTTP/1.1 200 X\r\ncontent-length: 4\r\n\r\nx".to_vec())
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_whose_answers_are_cut_is_ejected() {
    let network = MemoryNetwork::new();
    let broken = Peer::start(&network, backend_at(0), vec![cut()]);
    Peer::start(&network, backend_at(1), vec![Step::ok("whole")]);
    let mesh = MeshBuilder { servers: 2, ..MeshBuilder::default() }.build(&network).await;
    let started = Instant::now();
    for _ in 0..40 {
        get(&network, mesh.entry(), "/read", "").await;
        settle().await;
    }
    let now = Timestamp(u64::try_from(started.elapsed().as_millis()).unwrap());
    let endpoints = mesh.outbound.state.balancer("archive").unwrap().endpoints(now);
    assert!(endpoints[0].ejected_until.is_some(), "{endpoints:?} after {} cuts", broken.ran().len());
    assert!(endpoints[1].pickable);
    assert!(endpoints.iter().all(|endpoint| endpoint.outstanding == 0));
}
