//! Guards against spending the retry budget where it saves no run. All back ends of a service reject 55 of
//! 100 requests for eight seconds although slots are free. Seven of ten runs of another service make two
//! parallel calls to it, and fail if one fails. On a first-come, first-served basis the budget went to calls
//! of runs that had already lost another call, to runs that lacked both calls, and to requests of callers,
//! which can resend them.

mod support;

use std::time::Duration;

use support::fleet::{Fleet, RunLoad, budget};
use tokio::time::{Instant, sleep};

/// Number of requests out of twenty that the back ends reject during the failure.
const REJECTED_OF_TWENTY: usize = 11;
const REJECTION_PERIOD: Duration = Duration::from_secs(8);
const SEED: u64 = 5;
const CALLING_RUNS: RunLoad = RunLoad { calls: 2, calling_runs: 7 };

async fn run_fleet(restarts: bool) -> (f64, f64, Fleet) {
    let fleet = Fleet::with_runs(CALLING_RUNS, SEED).await;
    let rejections_start = Instant::now() + Duration::from_secs(10);
    let end = rejections_start + REJECTION_PERIOD;
    for (path, per_second) in [("/desk/", 100), ("/ledger/check/", 100)] {
        let fleet = fleet.clone();
        tokio::spawn(async move { fleet.send_until(path, per_second, end).await });
    }
    sleep(Duration::from_secs(10)).await;
    let before = (served(&fleet, "/desk/"), served(&fleet, "/ledger/check/"));
    fleet.set_rejections(REJECTED_OF_TWENTY);
    if restarts {
        for number in 0..5 {
            sleep(Duration::from_millis(1_600)).await;
            fleet.restart(number * 3 % fleet.count()).await;
        }
    } else {
        sleep(REJECTION_PERIOD).await;
    }
    sleep(Duration::from_millis(500)).await;
    let share = |path: &str, before: (usize, usize)| {
        let after = served(&fleet, path);
        let count = |number: usize| f64::from(u32::try_from(number).unwrap());
        count(after.0 - before.0) / count(after.1 - before.1)
    };
    let desk = share("/desk/", before.0);
    let ledger = share("/ledger/check/", before.1);
    println!(
        "served while requests were rejected: {desk:.3} of the runs, {ledger:.3} of the callers' requests"
    );
    (desk, ledger, fleet)
}

/// Number of served requests, and of all.
fn served(fleet: &Fleet, path: &str) -> (usize, usize) {
    fleet.history(|history| {
        let of_path = history.statuses_by_path.iter().filter(|((of, _), _)| of == path);
        of_path.fold((0, 0), |(served, all), ((_, status), count)| {
            (served + if *status == 200 { *count } else { 0 }, all + count)
        })
    })
}

fn assert_within_budget(fleet: &Fleet) {
    fleet.history(|history| {
        let (repeats, requests, allowed) = history.worst_window(&budget());
        println!("{repeats} retries for {requests} requests, {allowed} allowed");
        assert!(repeats > 100, "{repeats} retries are too few to prove anything");
        assert!(
            f64::from(u32::try_from(repeats).unwrap()) <= allowed,
            "{repeats} retries, {allowed} allowed"
        );
    });
}

#[tokio::test(start_paused = true)]
async fn runs_that_lack_one_call_take_precedence_over_requests_that_callers_can_resend() {
    let (desk, ledger, fleet) = run_fleet(false).await;
    // Three of ten runs make no call; of the others, a fifth has both calls served without a retry. 240
    // requests per second earn 48 retries: half of them, spent on runs that lack one call, save 0.45 runs
    // each.
    let least = 0.3 + 0.7 * 0.2 + 24.0 * 0.45 / 100.0;
    assert!(desk >= least, "served {desk:.3} of the runs, expected at least {least:.3}");
    // Requests that are not rejected on their first arrival.
    assert!(ledger >= 0.45, "served {ledger:.3} of the requests of callers");
    assert_within_budget(&fleet);
}

#[tokio::test(start_paused = true)]
async fn restarted_nodes_stay_within_the_budget_with_retry_priorities() {
    let (_desk, _ledger, fleet) = run_fleet(true).await;
    assert_within_budget(&fleet);
}
