//! Back ends of one service turned more than half of all requests away for eight seconds while nodes were restarted one after the other. The service
//! received 2,007 arrivals beyond the first of each request in ten seconds, for 9,122 requests, where 0.2 of them and 62 were allowed over all nodes.
//!
//! Each node kept to half of its share of the allowance, and the other half was to cover what no node sees. It did not: runs of another
//! service failed for want of their calls and were repeated, and every repeated run made its calls again. The nodes' counts of ten seconds show
//! 259 repeats that were charged to the budget (`repeats`) and 325 calls of repeated runs that were charged to nobody
//! (`repeated_calls`). Besides, a process that starts again has a whole budget again, and believes for a moment that it shares it with nobody.

mod support;

use std::time::Duration;

use support::fleet::{Fleet, budget};
use tokio::time::{Instant, sleep};

/// Of twenty requests the back ends turn so many away while they are in trouble.
const TURNED_AWAY: usize = 14;

/// Which nodes are restarted while the back ends turn requests away.
#[derive(Clone, Copy, PartialEq)]
enum Restarts {
    None,
    InTurn,
    AllAtOnce,
}

async fn play(restarts: Restarts) -> Fleet {
    let fleet = Fleet::start().await;
    let end = Instant::now() + Duration::from_secs(25);
    for (path, per_second) in [("/desk/", 150), ("/ledger/book/", 20)] {
        let fleet = fleet.clone();
        tokio::spawn(async move { fleet.send_until(path, per_second, end).await });
    }
    sleep(Duration::from_secs(10)).await;
    fleet.turn_away(TURNED_AWAY);
    for number in 0..7 {
        sleep(Duration::from_millis(1_600)).await;
        if restarts == Restarts::InTurn {
            fleet.restart(number * 3 % fleet.count()).await;
        }
        if restarts == Restarts::AllAtOnce && number == 1 {
            for node in 0..fleet.count() {
                fleet.restart(node).await;
            }
        }
    }
    fleet.turn_away(0);
    sleep(Duration::from_secs(5)).await;
    fleet
}

#[track_caller]
fn assert_kept(fleet: &Fleet) {
    fleet.history(|history| {
        let (repeats, requests, allowed) = history.worst_window(&budget());
        let calls = history.repeated_calls;
        println!(
            "{repeats} repeats for {requests} requests, {allowed} allowed; {calls} calls of repeated runs in all; {:?}",
            history.statuses
        );
        assert!(requests > 2_000, "{requests} requests are too few to prove anything");
        assert!(repeats > 100, "{repeats} repeats are too few to prove anything");
        assert!(
            f64::from(u32::try_from(repeats).unwrap()) <= allowed,
            "{repeats} repeats for {requests} requests, {allowed} allowed; {calls} calls of repeated runs in all"
        );
    });
}

#[tokio::test(start_paused = true)]
async fn calls_of_repeated_runs_stay_inside_the_budget_of_the_called_service() {
    assert_kept(&play(Restarts::None).await);
}

#[tokio::test(start_paused = true)]
async fn nodes_restarted_in_turn_get_no_second_budget() {
    assert_kept(&play(Restarts::InTurn).await);
}

#[tokio::test(start_paused = true)]
async fn nodes_restarted_at_once_get_no_second_budget() {
    assert_kept(&play(Restarts::AllAtOnce).await);
}
