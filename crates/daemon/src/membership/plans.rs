//! Applies the rollout plans that nodes publish to the request path.

use std::time::Instant;

use umberpond_forwarding::{Inbound, Outbound};
use umberpond_membership::Membership;
use umberpond_rollouts::{HeldPlans, RolloutPlan};
use umberpond_selection::ReleaseShare;
use umberpond_telemetry::{Event, Telemetry};

/// The plans in force on this node.
#[derive(Debug, Default)]
pub(super) struct PlansInForce {
    held: HeldPlans,
}

impl PlansInForce {
    /// A copy of the plans.
    pub(super) fn held(&self) -> HeldPlans {
        self.held.clone()
    }

    /// Merges the plans that all reachable nodes publish, and applies new ones to the request path.
    pub(super) fn follow(
        &mut self,
        now: Instant,
        membership: &Membership,
        inbound: &Inbound,
        outbound: &Outbound,
        telemetry: &Telemetry,
    ) {
        for record in membership.reachable().chain([membership.own()]) {
            for plan in &record.rollouts {
                if self.held.update(now, plan) {
                    put_in_force(plan, outbound, telemetry);
                }
            }
        }
        inbound.set_release_open(self.is_own_release_open(membership));
    }

    /// Whether the plan for the local back end's service assigns any requests to its release.
    fn is_own_release_open(&self, membership: &Membership) -> bool {
        let Some(back_end) = &membership.own().back_end else { return true };
        let Some(release) = &back_end.release else { return true };
        let Some(plan) = self.held.get(&back_end.service) else { return true };
        let is_closed =
            if *release == plan.target { plan.stage.closes_target() } else { plan.stage.closes_others() };
        !is_closed
    }
}

fn put_in_force(plan: &RolloutPlan, outbound: &Outbound, telemetry: &Telemetry) {
    let permille = plan.stage.target_permille();
    telemetry.emit(Event::RolloutPlanInForce {
        service: plan.service.clone(),
        target: plan.target.to_string(),
        stage: plan.stage.as_str(),
        permille,
        elapsed_millis: plan.elapsed_millis,
    });
    outbound.set_release_share(&plan.service, ReleaseShare { target: plan.target.clone(), permille });
}
