//! Rollouts of good and bad releases, withdrawn orders, coordinator changes and store outages.

mod support;

use std::time::Duration;

use quickcheck::quickcheck;
use support::{Behaviour, FAILURE_BURST, SOUND, World, name, revision};
use umberpond_rollouts::{
    HeldPlans, PlanStage, RolloutCoordinator, RolloutPlan, RolloutSettings, RolloutState,
};

const DURATION: Duration = Duration::from_secs(15);

fn state(world: &World) -> Option<RolloutState> {
    world.store.rollout.as_ref()?.state
}

fn world_with_target() -> World {
    let mut world = World::new(DURATION, 1);
    world.add_nodes("v2", 10);
    world
}

#[test]
fn a_good_release_gets_all_requests_well_before_the_deadline() {
    let mut world = world_with_target();
    assert!(world.run_until(DURATION.mul_f64(0.75), |world| state(world) == Some(RolloutState::Complete)));
    world.step();
    assert_eq!(world.stage(), Some(PlanStage::Complete));
    assert_eq!(world.store.writes, [RolloutState::Running, RolloutState::Complete]);
}

#[test]
fn a_rollout_is_not_complete_while_a_request_runs_on_the_old_release() {
    let mut world = world_with_target();
    world.set_in_flight("v1", 1);
    world.run_until(DURATION.mul_f64(0.85), |world| state(world) == Some(RolloutState::Complete));
    assert_eq!(state(&world), Some(RolloutState::Running));
    assert_eq!(world.stage(), Some(PlanStage::Share(1000)));
    world.set_in_flight("v1", 0);
    assert!(world.run_until(Duration::from_secs(1), |world| state(world) == Some(RolloutState::Complete)));
}

/// Runs a rollout of a bad release to its end and returns the fraction of all requests that it got.
fn exposure(new: Behaviour, old: Behaviour) -> f64 {
    let mut world = world_with_target();
    world.new = new;
    world.old = old;
    world.run_until(DURATION, |_| false);
    assert_eq!(state(&world), Some(RolloutState::Reverted), "{new:?}");
    f64::from(world.to_target) / f64::from(world.to_all)
}

#[test]
fn a_bad_release_gets_few_requests_and_is_reverted() {
    let kinds = [
        Behaviour { fails_every: 1, ..SOUND },
        Behaviour { fails_every: 4, ..SOUND },
        Behaviour { millis: 1_000, ..SOUND },
        Behaviour { fails_every: 3, from_permille: 150, ..SOUND },
        Behaviour { fails_every: 3, from_permille: 300, ..SOUND },
        Behaviour { fails_every: 3, from_permille: 1_000, ..SOUND },
        Behaviour { millis: 1_600, from_permille: 1_000, ..SOUND },
    ];
    for new in kinds {
        let share = exposure(new, SOUND);
        assert!(share <= 0.1, "{new:?}: {share}");
    }
}

#[test]
fn a_release_that_fails_no_more_often_than_the_old_one_is_not_bad() {
    let mut world = world_with_target();
    let failing = Behaviour { fails_every: 4, ..SOUND };
    (world.new, world.old) = (failing, failing);
    assert!(world.run_until(DURATION, |world| state(world) == Some(RolloutState::Complete)));
}

#[test]
fn a_target_that_never_becomes_ready_is_reverted_before_the_deadline() {
    let mut world = World::new(DURATION, 1);
    assert!(world.run_until(DURATION, |world| state(world) == Some(RolloutState::Reverted)));
    assert_eq!(world.to_target, 0);
}

#[test]
fn a_withdrawn_order_stops_requests_to_the_target() {
    let mut world = world_with_target();
    assert!(world.run_until(DURATION, |world| world.stage() == Some(PlanStage::Share(150))));
    world.store.rollout = None;
    world.step();
    assert_eq!(world.stage(), Some(PlanStage::Reverted));
}

#[test]
fn a_bad_release_is_reverted_while_the_store_is_unavailable() {
    let mut world = world_with_target();
    assert!(world.run_until(DURATION, |world| world.stage() == Some(PlanStage::Share(50))));
    world.store.is_up = false;
    world.new = Behaviour { fails_every: 1, ..SOUND };
    assert!(world.run_until(Duration::from_secs(3), |world| world.stage() == Some(PlanStage::Reverting)));
    assert_eq!(state(&world), Some(RolloutState::Running));
    world.store.is_up = true;
    assert!(world.run_until(Duration::from_secs(2), |world| state(world) == Some(RolloutState::Reverted)));
}

#[test]
fn a_new_coordinator_continues_the_rollout_of_a_failed_one() {
    for steps in [1_u32, 10, 25, 30, 35, 40, 45] {
        let mut world = world_with_target();
        for _ in 0..steps {
            world.step();
        }
        let before = world.stage();
        world.coordinators[0] = RolloutCoordinator::new(RolloutSettings::default());
        world.step();
        assert!(world.stage() >= before, "{before:?}");
        assert!(
            world.run_until(DURATION - support::STEP * steps, |world| {
                state(world) == Some(RolloutState::Complete)
            }),
            "after {steps} steps"
        );
    }
}

#[test]
fn two_coordinators_write_one_final_state() {
    for (new, end) in [
        (SOUND, RolloutState::Complete),
        (Behaviour { fails_every: 2, from_permille: 300, ..SOUND }, RolloutState::Reverted),
    ] {
        let mut world = World::new(DURATION, 2);
        world.add_nodes("v2", 10);
        world.new = new;
        world.run_until(DURATION, |_| false);
        assert_eq!(world.store.writes, [RolloutState::Running, end]);
    }
}

#[test]
fn a_second_order_for_the_service_replaces_the_first() {
    let mut world = world_with_target();
    assert!(world.run_until(DURATION, |world| state(world) == Some(RolloutState::Complete)));
    world.add_nodes("v3", 10);
    world.target = name("v3");
    if let Some(rollout) = &mut world.store.rollout {
        rollout.order.target = name("v3");
        rollout.state = None;
        rollout.revision.number += 1;
    }
    assert!(world.run_until(Duration::from_secs(2), |world| world.stage() == Some(PlanStage::Share(50))));
    let plan = world.held.get(&world.service).unwrap();
    assert_eq!(plan.target, name("v3"));
}

/// Guards against reverting a good release in a burst of refused calls after the last step, when the other
/// releases no longer get requests to compare with.
#[test]
fn failures_of_a_burst_after_the_last_step_do_not_revert_a_good_release() {
    let mut world = world_with_target();
    world.new = FAILURE_BURST;
    assert!(world.run_until(DURATION, |world| state(world) == Some(RolloutState::Complete)));
}

/// Guards against reverting a good release when all nodes restart after a power loss: for a moment both
/// releases fail one response in six, and the new coordinator has nothing to compare with.
#[test]
fn failures_just_after_a_coordinator_has_started_do_not_revert_a_good_release() {
    let mut world = world_with_target();
    assert!(world.run_until(DURATION, |world| world.stage() == Some(PlanStage::Share(50))));
    world.coordinators[0] = RolloutCoordinator::new(RolloutSettings::default());
    world.held = HeldPlans::default();
    let failing = Behaviour { fails_every: 6, ..SOUND };
    (world.new, world.old) = (failing, failing);
    for _ in 0..5 {
        world.step();
    }
    (world.new, world.old) = (SOUND, SOUND);
    assert!(world.run_until(DURATION, |world| state(world) == Some(RolloutState::Complete)));
}

/// Guards against a late end when the store is unavailable from the order on: the coordinator took the return
/// of the store as the start of the rollout.
#[test]
fn an_order_given_while_the_store_is_unavailable_finishes_in_time() {
    let mut world = world_with_target();
    world.ordered_at = world.now + Duration::from_secs(1);
    assert!(!world.run_until(Duration::from_millis(700), |world| world.stage().is_some()));
    world.store.is_up = false;
    world.run_until(Duration::from_secs(6), |_| false);
    world.store.is_up = true;
    let left = DURATION - Duration::from_secs(6);
    assert!(world.run_until(left.mul_f64(0.85), |world| state(world) == Some(RolloutState::Complete)));
}

fn plan(created_revision: u64, stage: PlanStage) -> RolloutPlan {
    RolloutPlan {
        service: name("archive"),
        target: name("v2"),
        created_revision: revision(created_revision),
        target_revision: revision(created_revision),
        elapsed_millis: 0,
        stage,
    }
}

fn stage_of(number: u8) -> PlanStage {
    match number % 6 {
        0..=2 => PlanStage::Share(u16::from(number % 3) * 500),
        3 => PlanStage::Reverting,
        4 => PlanStage::Reverted,
        _ => PlanStage::Complete,
    }
}

quickcheck! {
    /// Plans that arrive in any order and any number of times leave all nodes with the same plan.
    fn nodes_agree_for_any_order_of_plans(received: Vec<(u8, u8)>) -> bool {
        let now = std::time::Instant::now();
        let plans: Vec<RolloutPlan> =
            received.iter().map(|(order, number)| plan(u64::from(order % 3), stage_of(*number))).collect();
        let mut forwards = HeldPlans::default();
        let mut backwards = HeldPlans::default();
        for plan in &plans {
            forwards.update(now, plan);
        }
        for plan in plans.iter().rev().chain(&plans) {
            backwards.update(now, plan);
        }
        forwards.get(&name("archive")) == backwards.get(&name("archive"))
    }
}
