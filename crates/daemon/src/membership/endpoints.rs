//! Derives from the membership the endpoints that the request path may choose.

use std::collections::BTreeMap;

use umberpond_forwarding::Outbound;
use umberpond_membership::{BackEndRecord, BackEndState, MemberPhase, MemberRecord, Membership};
use umberpond_model::ServiceName;
use umberpond_rollouts::EndpointCounts;
use umberpond_selection::Endpoint;

/// The endpoints that were last published to the request path.
#[derive(Debug, Default)]
pub(super) struct PublishedEndpoints {
    by_service: BTreeMap<ServiceName, Vec<Endpoint>>,
}

impl PublishedEndpoints {
    /// Publishes changed endpoints to the request path; returns the total number of endpoints.
    pub(super) fn update(&mut self, membership: &Membership, outbound: &Outbound) -> usize {
        let found = find(membership);
        let gone: Vec<&ServiceName> =
            self.by_service.keys().filter(|service| !found.contains_key(*service)).collect();
        for service in gone {
            outbound.set_endpoints(service, Vec::new());
        }
        for (service, endpoints) in &found {
            if self.by_service.get(service) != Some(endpoints) {
                outbound.set_endpoints(service, endpoints.clone());
            }
        }
        self.by_service = found;
        self.by_service.values().map(Vec::len).sum()
    }
}

/// The reachable back ends that report a release, by service.
pub(super) fn count_by_release(membership: &Membership) -> BTreeMap<ServiceName, EndpointCounts> {
    let mut counts: BTreeMap<ServiceName, EndpointCounts> = BTreeMap::new();
    for record in membership.reachable().chain([membership.own()]) {
        let Some(back_end) = usable_back_end(membership, record) else { continue };
        let Some(release) = &back_end.release else { continue };
        let of_service = counts.entry(back_end.service.clone()).or_default();
        let of_release = of_service.ready.entry(release.clone()).or_default();
        of_release.push((record.node.clone(), back_end.slots));
    }
    counts
}

fn find(membership: &Membership) -> BTreeMap<ServiceName, Vec<Endpoint>> {
    let mut found: BTreeMap<ServiceName, Vec<Endpoint>> = BTreeMap::new();
    for record in membership.reachable().chain([membership.own()]) {
        if let Some(back_end) = usable_back_end(membership, record) {
            let endpoint = Endpoint {
                node: record.node.clone(),
                address: record.inbound,
                locality: record.locality.clone(),
                instance: back_end.instance.clone(),
                release: back_end.release.clone(),
                slots: back_end.slots,
                is_cold: back_end.is_cold,
                request_limit: back_end.request_limit,
            };
            found.entry(back_end.service.clone()).or_default().push(endpoint);
        }
    }
    found
}

/// The back end in `record`, if it accepts new requests. Its node may have restarted and not know that it has
/// departed.
fn usable_back_end<'a>(membership: &Membership, record: &'a MemberRecord) -> Option<&'a BackEndRecord> {
    let back_end = record.back_end.as_ref()?;
    let is_ready = record.phase == MemberPhase::Running && back_end.state == BackEndState::Ready;
    let is_usable = is_ready && !membership.has_departed_before(record);
    is_usable.then_some(back_end)
}
