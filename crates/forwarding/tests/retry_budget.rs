//! Guards against exceeding the retry budget while back ends reject requests and nodes restart. Back ends of
//! one service rejected more than half of all requests for eight seconds while nodes were restarted one after
//! the other. The service received 2,007 arrivals beyond the first of each request in ten seconds, for 9,122
//! requests, where 0.2 of them and 62 were allowed over all nodes.
//!
//! Each node used only half of its share of the limit, but the other half did not cover the calls of retried
//! runs: runs of another service failed because their calls were rejected, and each retried run made its
//! calls again. The counters over ten seconds show 259 retries that were charged to the budget (`repeats`)
//! and 325 calls of retried runs that were charged to none (`repeated_calls`). In addition, a restarted
//! process had a full budget again, and briefly assumed that it shared the budget with no other node.

mod support;

use std::time::Duration;

use support::fleet::{Fleet, budget};
use tokio::time::{Instant, sleep};

/// Number of requests out of twenty that the back ends reject during the failure.
const REJECTED_OF_TWENTY: usize = 14;

/// Which nodes are restarted while the back ends reject requests.
#[derive(Clone, Copy, PartialEq)]
enum Restarts {
    None,
    OneByOne,
    AllAtOnce,
}

async fn run_fleet(restarts: Restarts) -> Fleet {
    let fleet = Fleet::start().await;
    let end = Instant::now() + Duration::from_secs(25);
    for (path, per_second) in [("/desk/", 150), ("/ledger/book/", 20)] {
        let fleet = fleet.clone();
        tokio::spawn(async move { fleet.send_until(path, per_second, end).await });
    }
    sleep(Duration::from_secs(10)).await;
    fleet.set_rejections(REJECTED_OF_TWENTY);
    for number in 0..7 {
        sleep(Duration::from_millis(1_600)).await;
        if restarts == Restarts::OneByOne {
            fleet.restart(number * 3 % fleet.count()).await;
        }
        if restarts == Restarts::AllAtOnce && number == 1 {
            for node in 0..fleet.count() {
                fleet.restart(node).await;
            }
        }
    }
    fleet.set_rejections(0);
    sleep(Duration::from_secs(5)).await;
    fleet
}

#[track_caller]
fn assert_within_budget(fleet: &Fleet) {
    fleet.history(|history| {
        let (repeats, requests, allowed) = history.worst_window(&budget());
        let calls = history.repeated_calls;
        println!(
            "{repeats} retries for {requests} requests, {allowed} allowed; {calls} calls of retried runs in total; {:?}",
            history.statuses
        );
        assert!(requests > 2_000, "{requests} requests are too few to prove anything");
        assert!(repeats > 100, "{repeats} retries are too few to prove anything");
        assert!(
            f64::from(u32::try_from(repeats).unwrap()) <= allowed,
            "{repeats} retries for {requests} requests, {allowed} allowed; {calls} calls of retried runs in total"
        );
    });
}

#[tokio::test(start_paused = true)]
async fn calls_of_retried_runs_stay_within_the_budget_of_the_called_service() {
    assert_within_budget(&run_fleet(Restarts::None).await);
}

#[tokio::test(start_paused = true)]
async fn nodes_restarted_one_by_one_get_no_second_budget() {
    assert_within_budget(&run_fleet(Restarts::OneByOne).await);
}

#[tokio::test(start_paused = true)]
async fn nodes_restarted_simultaneously_get_no_second_budget() {
    assert_within_budget(&run_fleet(Restarts::AllAtOnce).await);
}
