//! Hollow nodes over loopback, beside the stand-in of the store.

use std::time::Duration;

use tokio::time::sleep;
use umberpond_hollow::{Fleet, FleetPlan, Places};
use umberpond_net::TcpNetwork;
use umberpond_standins::platform::Platform;

/// Looks at the nodes before the test gives up; far more than are needed.
const MAX_LOOKS: u32 = 600;

/// Each node writes its entry to the store and hears the other one: that shows that it runs the daemon itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hollow_nodes_find_one_another_over_the_store() {
    let platform = Platform::start(&TcpNetwork, "127.0.0.1:0".parse().unwrap()).await.unwrap();
    let plan = FleetPlan {
        first: 0,
        count: 2,
        places: Places { regions: 1, zones: 2, services: 1 },
        store: platform.address(),
        start_millis: 0,
    };
    let mut fleet = Fleet::start(&plan).await.unwrap();
    assert_eq!(fleet.started().started, [0, 1]);
    let mut looks = 0;
    loop {
        fleet.take_sample().unwrap();
        if fleet.last_control_bytes().iter().all(|bytes| *bytes > 0) {
            break;
        }
        assert!(looks < MAX_LOOKS, "{:?}", platform.counters());
        looks += 1;
        sleep(Duration::from_millis(50)).await;
    }
    let report = fleet.finish();
    assert_eq!(report.nodes.len(), 2);
    assert!(report.samples[0].usage.resident_bytes > 0);
    assert!(report.nodes.iter().all(|node| node.activations.is_empty() && node.failures == 0));
}
