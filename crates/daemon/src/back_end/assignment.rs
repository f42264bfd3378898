//! What the settings of the node say about the back end beside it.

use std::net::SocketAddr;

use thiserror::Error;
use umberpond_model::ServiceName;

use super::announcement::Announcement;
use crate::settings::NodeConfig;

/// The back end that the settings place beside this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackEndAssignment {
    /// Its service.
    pub service: ServiceName,
    /// Address at which it listens for requests; absent if the settings have none.
    pub address: Option<SocketAddr>,
    /// Whether it announces itself; otherwise health checks find it.
    pub announces_itself: bool,
}

/// An announcement is not of the back end beside this node, and has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ForeignAnnouncement {
    /// It is of another service.
    #[error(
        "the back end beside this node is of the service `{expected}`, the announced one of `{announced}`"
    )]
    Service {
        /// Service in the settings.
        expected: ServiceName,
        /// Service in the announcement.
        announced: ServiceName,
    },
    /// It is of a back end at another address.
    #[error("the back end beside this node listens at {expected}, the announced one at {announced}")]
    Address {
        /// Address in the settings.
        expected: SocketAddr,
        /// Address in the announcement.
        announced: SocketAddr,
    },
}

impl BackEndAssignment {
    /// The assignment in `config`.
    #[must_use]
    pub fn of(config: &NodeConfig) -> Self {
        let address = config.back_end.map(|back_end| back_end.address);
        let announces_itself = config.listen.registration.is_some();
        Self { service: config.service.clone(), address, announces_itself }
    }

    /// Checks that `announcement` is of this back end.
    ///
    /// # Errors
    /// Returns [`ForeignAnnouncement`] if it is not.
    pub(super) fn check(&self, announcement: &Announcement) -> Result<(), ForeignAnnouncement> {
        if announcement.service != self.service {
            let expected = self.service.clone();
            return Err(ForeignAnnouncement::Service { expected, announced: announcement.service.clone() });
        }
        match self.address {
            Some(expected) if expected != announcement.address => {
                Err(ForeignAnnouncement::Address { expected, announced: announcement.address })
            }
            _ => Ok(()),
        }
    }
}
