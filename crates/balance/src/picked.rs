//! The guard of one picked endpoint.

use std::net::SocketAddr;
use std::sync::Arc;

use umberpond_model::{Incarnation, Locality, NodeName, Timestamp};

use crate::balancer::Shared;
use crate::endpoint::Endpoint;
use crate::{EndpointReport, Observation};

/// A picked endpoint. Counts as outstanding work there until it is finished or dropped.
#[derive(Debug)]
pub struct Picked {
    shared: Arc<Shared>,
    endpoint: Arc<Endpoint>,
    has_reported: bool,
}

impl Picked {
    pub(crate) fn new(shared: Arc<Shared>, endpoint: Arc<Endpoint>) -> Self {
        endpoint.start_request();
        Self { shared, endpoint, has_reported: false }
    }

    /// The node beside the endpoint.
    #[must_use]
    pub fn node(&self) -> &NodeName {
        &self.endpoint.node
    }

    /// Where the endpoint runs.
    #[must_use]
    pub fn locality(&self) -> &Locality {
        &self.endpoint.locality
    }

    /// Address of the inbound proxy to send to.
    #[must_use]
    pub fn inbound(&self) -> SocketAddr {
        self.endpoint.inbound
    }

    /// Start count of the node that was picked.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.endpoint.incarnation
    }

    /// Takes in what an answer's headers say, while its body may still be on the way. Counts once: the report of
    /// the observation that follows is then left out.
    pub fn report(&mut self, now: Timestamp, report: &EndpointReport) {
        self.has_reported = true;
        self.shared.on_report(now, &self.endpoint, report);
    }

    /// Ends the exchange and learns from it. Dropping the guard instead only ends it.
    pub fn finish(self, now: Timestamp, observation: Observation) {
        if let Some(report) = observation.report.as_ref().filter(|_| !self.has_reported) {
            self.shared.on_report(now, &self.endpoint, report);
        }
        self.shared.on_result(now, &self.endpoint, &observation);
    }
}

impl Drop for Picked {
    fn drop(&mut self) {
        self.endpoint.end_request();
    }
}
