//! The hard locality filter: which endpoints of a service may be chosen at all.

use umberpond_config::Service;
use umberpond_model::{EndpointRecord, LocalityRule, ServiceName};

/// Decides which endpoints of one service lie in its allowed localities.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalityFilter {
    service: ServiceName,
    allowed: Vec<LocalityRule>,
    slots: u32,
}

/// An endpoint record that a [`LocalityFilter`] has let through.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllowedEndpoint {
    record: EndpointRecord,
    slots: u32,
}

impl LocalityFilter {
    /// The filter that the configuration in force gives for `service`.
    #[must_use]
    pub fn of(service: &Service) -> Self {
        // A running request uses one connection, so the connections bound the slots too.
        let slots = service.slots.min(service.connections);
        Self { service: service.name.clone(), allowed: service.allowed.clone(), slots }
    }

    /// Lets `record` through if it belongs to the service and lies in an allowed locality.
    #[must_use]
    pub fn allow(&self, record: EndpointRecord) -> Option<AllowedEndpoint> {
        let is_of_service = record.service.as_ref() == Some(&self.service);
        let is_allowed = self.allowed.iter().any(|rule| rule.allows(&record.locality));
        (is_of_service && is_allowed).then_some(AllowedEndpoint { record, slots: self.slots })
    }

    /// Lets through those of `records` that may be chosen.
    pub fn allow_all(&self, records: impl IntoIterator<Item = EndpointRecord>) -> Vec<AllowedEndpoint> {
        records.into_iter().filter_map(|record| self.allow(record)).collect()
    }
}

impl AllowedEndpoint {
    /// The record that was let through.
    #[must_use]
    pub const fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// Requests that the endpoint runs at once, by the configuration.
    pub(crate) const fn slots(&self) -> u32 {
        self.slots
    }
}
