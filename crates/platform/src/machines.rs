//! The platform's list of machines: a hint that lags behind reality.

use std::net::SocketAddr;

use http::{Method, StatusCode};
use serde::Deserialize;
use umberpond_model::{Locality, Member, NodeName, RegionName, ZoneName};

use crate::client::decode_json;
use crate::exchange::{RequestParts, refusal};
use crate::{PlatformClient, PlatformError, Revision};

/// One machine of the list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct MachineEntry {
    /// Name of the node on the machine.
    pub node: NodeName,
    /// Region of the machine.
    pub region: RegionName,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Address of the node's control listener.
    pub control: SocketAddr,
    /// Whether the platform is taking the machine away.
    #[serde(default)]
    pub leaving: bool,
}

impl MachineEntry {
    /// Reads the entry that a watch of [`crate::ObjectKind::Machines`] carries; `None` if it is none.
    #[must_use]
    pub fn from_json(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }

    /// The node as a possible peer.
    #[must_use]
    pub fn member(&self) -> Member {
        let locality = Locality { region: self.region.clone(), zone: self.zone.clone() };
        Member { node: self.node.clone(), locality, control: self.control }
    }
}

/// The whole list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct MachineList {
    /// Revision of the list; a watch of [`crate::ObjectKind::Machines`] after it tells each change.
    pub revision: Revision,
    /// The machines.
    pub machines: Vec<MachineEntry>,
}

impl PlatformClient {
    /// Reads the machine list.
    ///
    /// # Errors
    /// Returns [`PlatformError`] when no answer came.
    pub async fn machines(&self) -> Result<MachineList, PlatformError> {
        let request = RequestParts::new(Method::GET, "/v1/machines".to_owned());
        let response = self.exchange.run(request).await?;
        match response.status() {
            StatusCode::OK => decode_json(response.body()),
            _ => Err(refusal(&response)),
        }
    }
}
