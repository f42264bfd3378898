//! Rollouts over a restore of the store from an older copy.
//!
//! An order that is written again has other revisions than before, and states that were written since the copy
//! are lost. Callers have seen which release serves them, so a rollout must neither start again nor end in
//! another way.

mod support;

use std::time::Duration;

use support::{Behaviour, SOUND, World, name};
use umberpond_model::StoreRevision;
use umberpond_rollouts::{PlanStage, RolloutState, StoredRollout};

const DURATION: Duration = Duration::from_secs(40);
/// Time after which the operator has written a lost order again.
const REWRITE_DELAY: Duration = Duration::from_secs(1);
/// Time after which a restore is over for the coordinators.
const LATER: Duration = Duration::from_secs(10);

fn world() -> World {
    let mut world = World::new(DURATION, 2);
    world.add_nodes("v2", 10);
    world
}

fn state(world: &World) -> Option<RolloutState> {
    world.store.rollout.as_ref()?.state
}

/// Steps for `length`; checks that the stage never goes back.
fn run_without_going_back(world: &mut World, length: Duration) {
    let end = world.now + length;
    while world.now < end {
        let before = world.stage();
        world.step();
        assert!(world.stage() >= before, "{before:?} was followed by {:?}", world.stage());
    }
}

/// The order as its operator writes it again: created anew, and without a state.
fn written_again(world: &World, order: &StoredRollout) -> StoredRollout {
    let revision = StoreRevision::new(world.store.era, order.revision.number + 3);
    StoredRollout { state: None, revision, created_revision: revision, ..order.clone() }
}

#[test]
fn rollout_continues_when_its_order_is_lost_and_written_again() {
    let mut world = world();
    assert!(world.run_until(DURATION, |world| world.stage() >= Some(PlanStage::Share(250))));
    let order = world.store.rollout.clone().unwrap();
    world.store.restore(None);
    run_without_going_back(&mut world, REWRITE_DELAY);
    world.store.rollout = Some(written_again(&world, &order));
    run_without_going_back(&mut world, DURATION);
    assert_eq!(state(&world), Some(RolloutState::Complete));
    assert_eq!(world.stage(), Some(PlanStage::Complete));
}

/// The copy has the order, as running or without a state.
#[test]
fn end_of_a_rollout_is_written_again_if_the_restored_store_lacks_it() {
    for state_in_copy in [None, Some(RolloutState::Running)] {
        let mut world = world();
        assert!(world.run_until(DURATION, |world| world.stage() == Some(PlanStage::Complete)));
        let order = world.store.rollout.clone().unwrap();
        world.store.restore(Some(StoredRollout { state: state_in_copy, ..order }));
        run_without_going_back(&mut world, LATER);
        assert_eq!(state(&world), Some(RolloutState::Complete), "copy with {state_in_copy:?}");
    }
}

#[test]
fn reverted_release_stays_reverted_after_a_restore() {
    let mut world = world();
    world.new = Behaviour { fails_every: 2, ..SOUND };
    assert!(world.run_until(DURATION, |world| world.stage() == Some(PlanStage::Reverted)));
    // It would pass a second evaluation.
    world.new = SOUND;
    let order = world.store.rollout.clone().unwrap();
    world.store.restore(Some(StoredRollout { state: Some(RolloutState::Running), ..order }));
    run_without_going_back(&mut world, LATER);
    assert_eq!(state(&world), Some(RolloutState::Reverted));
    assert_eq!(world.stage(), Some(PlanStage::Reverted));
}

/// The order was changed to another target since the copy.
#[test]
fn earlier_target_in_the_restored_store_is_ignored_until_the_order_is_written_again() {
    let mut world = world();
    assert!(world.run_until(DURATION, |world| world.stage() == Some(PlanStage::Complete)));
    let first = world.store.rollout.clone().unwrap();
    world.add_nodes("v3", 10);
    world.target = name("v3");
    let mut second = first.clone();
    second.order.target = name("v3");
    second.state = None;
    second.revision.number += 1;
    world.store.rollout = Some(second.clone());
    assert!(world.run_until(DURATION, |world| world.stage() >= Some(PlanStage::Share(250))
        && world.held.get(&world.service).is_some_and(|plan| plan.target == name("v3"))));
    world.store.restore(Some(first));
    run_without_going_back(&mut world, REWRITE_DELAY);
    world.store.rollout = Some(written_again(&world, &second));
    run_without_going_back(&mut world, DURATION);
    assert_eq!(world.held.get(&world.service).unwrap().target, name("v3"));
    assert_eq!(state(&world), Some(RolloutState::Complete));
}

/// An operator may order a release again that was reverted before the restore.
#[test]
fn order_for_the_same_release_long_after_a_restore_is_a_new_one() {
    let mut world = world();
    world.new = Behaviour { fails_every: 2, ..SOUND };
    assert!(world.run_until(DURATION, |world| world.stage() == Some(PlanStage::Reverted)));
    let order = world.store.rollout.clone().unwrap();
    world.store.restore(None);
    run_without_going_back(&mut world, LATER);
    world.new = SOUND;
    world.store.rollout = Some(written_again(&world, &order));
    assert!(world.run_until(DURATION, |world| state(world) == Some(RolloutState::Complete)));
}
