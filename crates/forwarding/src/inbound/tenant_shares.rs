//! Reports on the tenants' shares of the slots, in logs and metrics.

use std::time::Duration;

use tokio::time::Instant;
use umberpond_model::TenantId;
use umberpond_scheduling::{Refusal, TenantUsage};
use umberpond_telemetry::Event;

use super::back_end::{Inbound, millis};
use crate::message::{Attempt, id_text};

/// Number of tenants that are reported individually; the others are reported together.
const TOP_TENANT_COUNT: usize = 3;
/// Minimum time between two log events about the tenants' shares.
const EVENT_INTERVAL: Duration = Duration::from_secs(10);

impl Inbound {
    /// Exports the tenants' slot use as metrics, and logs it periodically while several tenants share the
    /// slots.
    pub fn report_tenant_shares(&self) {
        let usages = self.admission.usages(TOP_TENANT_COUNT);
        let uses: Vec<u16> = usages.greatest.iter().map(|usage| usage.use_permille).collect();
        self.telemetry.metrics().set_tenant_uses(usages.count, &uses);
        if usages.count > 1 && self.is_share_event_due() {
            self.telemetry.emit(Event::SlotsShared {
                tenants: usages.count as u64,
                share_permille: usages.greatest.first().map_or(0, |usage| usage.share_permille),
                greatest: self.describe(&usages.greatest),
            });
        }
    }

    /// Reports a rejected request of a tenant that exceeds its share.
    pub(super) fn report_over_share(&self, attempt: &Attempt, refusal: Refusal) {
        let Some(tenant) = &attempt.tenant else { return };
        let Some(reason) = over_share_reason(refusal) else { return };
        let usage = self.admission.usage(TenantId::of(tenant));
        let is_displaced = matches!(refusal, Refusal::OverShare { .. });
        let Some(usage) = usage.filter(|usage| is_displaced || usage.is_over_share) else {
            return;
        };
        self.telemetry.metrics().over_share(reason);
        self.telemetry.emit(Event::RequestOverShare {
            request: id_text(&attempt.id),
            tenant: tenant.to_string(),
            reason,
            use_permille: usage.use_permille,
            share_permille: usage.share_permille,
            ahead_millis: millis(usage.ahead),
        });
    }

    fn is_share_event_due(&self) -> bool {
        let mut logged_at = self.shares_logged_at.lock();
        let is_due = logged_at.is_none_or(|at| at.elapsed() >= EVENT_INTERVAL);
        if is_due {
            *logged_at = Some(Instant::now());
        }
        is_due
    }

    /// Formats the tenants with their use in thousandths. Tenants without an entry in the active
    /// configuration appear by number.
    fn describe(&self, usages: &[TenantUsage]) -> String {
        let described =
            usages.iter().map(|usage| format!("{}={}", self.tenant_name(usage.tenant), usage.use_permille));
        described.collect::<Vec<String>>().join(",")
    }

    fn tenant_name(&self, number: TenantId) -> String {
        let access = self.access.load();
        let tenants = access.iter().flat_map(|access| access.tenants.iter());
        let mut named = tenants.filter(|tenant| TenantId::of(&tenant.name) == number);
        named.next().map_or_else(|| number.0.to_string(), |tenant| tenant.name.to_string())
    }
}

/// Name of a rejection for lack of capacity in logs and metrics.
const fn over_share_reason(refusal: Refusal) -> Option<&'static str> {
    match refusal {
        Refusal::OverShare { .. } => Some("displaced"),
        Refusal::WaitTooLong { .. } => Some("wait-too-long"),
        Refusal::RequestLimit { .. } => Some("request-limit"),
        Refusal::QueueFull => Some("queue-full"),
        Refusal::Closed | Refusal::QueueTimeout | Refusal::Expired | Refusal::BackEndSlow { .. } => None,
    }
}
