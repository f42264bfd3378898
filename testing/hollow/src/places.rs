//! Names, zones, services and addresses of the nodes of a scale run; all follow from the number of a node.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};
use umberpond_model::{Locality, NodeName, RegionName, ServiceName, ZoneName};

use crate::HollowError;

/// First address of hollow nodes; each has one of its own, so that no two share a port.
const FIRST_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 64, 0, 1);

/// Addresses for hollow nodes.
const MAX_NODES: usize = 1 << 20;

/// How many regions, zones and services there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Places {
    /// Regions.
    pub regions: usize,
    /// Zones, spread evenly over the regions.
    pub zones: usize,
    /// Services; each is in every zone, as evenly as the numbers allow.
    pub services: usize,
}

/// Where one node stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Name of the node.
    pub node: NodeName,
    /// Its zone.
    pub locality: Locality,
    /// Service of its back end.
    pub service: ServiceName,
    /// Where it listens if it is hollow; the port is left to the system.
    pub address: SocketAddr,
}

impl Places {
    /// Place of node `number`.
    ///
    /// # Errors
    /// [`HollowError::NoPlace`] if there are no zones, regions or services, or more nodes than addresses.
    pub fn place(&self, number: usize) -> Result<Place, HollowError> {
        let no_place = || HollowError::NoPlace { number };
        if number >= MAX_NODES || self.regions == 0 || self.zones == 0 || self.services == 0 {
            return Err(no_place());
        }
        let offset = u32::try_from(number).map_err(|_| no_place())?;
        let address = Ipv4Addr::from(u32::from(FIRST_ADDRESS) + offset);
        Ok(Place {
            node: NodeName::new(&format!("node-{number}"))?,
            locality: self.locality(number % self.zones)?,
            service: Self::service((number / self.zones) % self.services)?,
            address: SocketAddr::from((address, 0)),
        })
    }

    /// Region and name of zone `zone`.
    ///
    /// # Errors
    /// Never: the made names follow the naming rule.
    pub fn locality(&self, zone: usize) -> Result<Locality, HollowError> {
        let region = RegionName::new(&format!("region-{}", zone % self.regions))?;
        Ok(Locality { region, zone: ZoneName::new(&format!("zone-{zone}"))? })
    }

    /// Name of service `number`.
    ///
    /// # Errors
    /// Never: the made name follows the naming rule.
    pub fn service(number: usize) -> Result<ServiceName, HollowError> {
        Ok(ServiceName::new(&format!("service-{number}"))?)
    }

    /// All regions and their zones.
    ///
    /// # Errors
    /// Never: the made names follow the naming rule.
    pub fn topology(&self) -> Result<BTreeMap<RegionName, BTreeSet<ZoneName>>, HollowError> {
        let mut topology: BTreeMap<RegionName, BTreeSet<ZoneName>> = BTreeMap::new();
        for zone in 0..self.zones {
            let Locality { region, zone } = self.locality(zone)?;
            topology.entry(region).or_default().insert(zone);
        }
        Ok(topology)
    }
}
