//! What operators are told about the shares of tenants.

use std::time::Duration;

use tokio::time::Instant;
use umberpond_model::TenantId;
use umberpond_scheduling::{Refusal, TenantUsage};
use umberpond_telemetry::Event;

use super::back_end::{Inbound, millis};
use crate::message::{Attempt, id_text};

/// Tenants that are told one by one; the others are told together.
const GREATEST_TENANTS: usize = 3;
/// Shortest time between two lines about how tenants share the slots.
const LINE_INTERVAL: Duration = Duration::from_secs(10);

impl Inbound {
    /// Tells operators how tenants share the slots, if any had to wait of late.
    pub fn report_tenant_shares(&self) {
        let standings = self.admission.standings(GREATEST_TENANTS);
        let uses: Vec<u16> = standings.greatest.iter().map(|standing| standing.use_permille).collect();
        self.telemetry.metrics().set_tenant_uses(standings.count, &uses);
        if standings.count > 1 && self.is_share_line_due() {
            self.telemetry.emit(Event::SlotsShared {
                tenants: standings.count as u64,
                share_permille: standings.greatest.first().map_or(0, |standing| standing.share_permille),
                greatest: self.describe(&standings.greatest),
            });
        }
    }

    /// Tells operators that a request was refused whose tenant is above its share.
    pub(super) fn tell_over_share(&self, attempt: &Attempt, refusal: Refusal) {
        let Some(tenant) = &attempt.tenant else { return };
        let Some(reason) = over_share_reason(refusal) else { return };
        let standing = self.admission.standing(TenantId::of(tenant));
        let is_displaced = matches!(refusal, Refusal::OverShare { .. });
        let Some(standing) = standing.filter(|standing| is_displaced || standing.is_over_share) else {
            return;
        };
        self.telemetry.metrics().over_share(reason);
        self.telemetry.emit(Event::RequestOverShare {
            request: id_text(&attempt.id),
            tenant: tenant.to_string(),
            reason,
            use_permille: standing.use_permille,
            share_permille: standing.share_permille,
            ahead_millis: millis(standing.ahead),
        });
    }

    fn is_share_line_due(&self) -> bool {
        let mut told_at = self.shares_told_at.lock();
        let is_due = told_at.is_none_or(|at| at.elapsed() >= LINE_INTERVAL);
        if is_due {
            *told_at = Some(Instant::now());
        }
        is_due
    }

    /// The tenants with their use in thousandths, by name where the configuration in force has them.
    fn describe(&self, standings: &[TenantUsage]) -> String {
        let described = standings
            .iter()
            .map(|standing| format!("{}={}", self.tenant_name(standing.tenant), standing.use_permille));
        described.collect::<Vec<String>>().join(",")
    }

    fn tenant_name(&self, number: TenantId) -> String {
        let access = self.access.load();
        let tenants = access.iter().flat_map(|access| access.tenants.iter());
        let mut named = tenants.filter(|tenant| TenantId::of(&tenant.name) == number);
        named.next().map_or_else(|| number.0.to_string(), |tenant| tenant.name.to_string())
    }
}

/// What a refusal for want of room is called in logs and metrics.
const fn over_share_reason(refusal: Refusal) -> Option<&'static str> {
    match refusal {
        Refusal::OverShare { .. } => Some("displaced"),
        Refusal::WaitTooLong { .. } => Some("wait-too-long"),
        Refusal::QueueFull => Some("queue-full"),
        Refusal::Closed | Refusal::QueueTimeout | Refusal::Expired | Refusal::BackEndSlow { .. } => None,
    }
}
