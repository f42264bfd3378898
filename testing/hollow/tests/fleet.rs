//! Hollow nodes over loopback TCP, beside the platform stand-in.

use std::time::Duration;

use tokio::time::sleep;
use umberpond_hollow::{Fleet, FleetPlan, Places};
use umberpond_net::TcpNetwork;
use umberpond_standins::platform::Platform;

/// Looks at the nodes before the test gives up; far more than are needed.
const MAX_LOOKS: u32 = 600;

/// A node alone in its zone takes a reader lease at the platform; that shows that it runs the daemon's own actors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hollow_nodes_become_readers_of_the_platform() {
    let platform = Platform::start(&TcpNetwork, "127.0.0.1:0".parse().unwrap()).await.unwrap();
    let plan = FleetPlan {
        first: 0,
        count: 2,
        places: Places { regions: 1, zones: 2, services: 1 },
        platform: platform.address(),
        seeds: Vec::new(),
        start_millis: 0,
    };
    let mut fleet = Fleet::start(&plan).await.unwrap();
    assert_eq!(fleet.started().started.len(), 2);
    let mut looks = 0;
    while platform.counters().lease_holders.len() < 2 {
        assert!(looks < MAX_LOOKS, "{:?}", platform.counters());
        looks += 1;
        sleep(Duration::from_millis(50)).await;
    }
    fleet.take_sample().unwrap();
    let report = fleet.finish();
    assert_eq!(report.nodes.len(), 2);
    assert!(report.samples[0].usage.resident_bytes > 0);
    assert!(report.nodes.iter().all(|node| node.activations.is_empty() && node.failures == 0));
}
