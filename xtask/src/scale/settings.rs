//! The settings file of one real node.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use serde::Serialize;
use umberpond_hollow::{Place, Places};
use umberpond_model::{RegionName, ZoneName};

use crate::error::XtaskError;

/// Loopback address with any free port.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct SettingsFile<'a> {
    node: NodeTable<'a>,
    zones: BTreeMap<ZoneName, RegionName>,
    listen: ListenTable,
    back_end: AddressTable,
    store: AddressTable,
    log: LogTable,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct NodeTable<'a> {
    name: &'a str,
    service: &'a str,
    region: &'a str,
    zone: &'a str,
    first_start: bool,
}

#[derive(Serialize)]
struct ListenTable {
    inbound: SocketAddr,
    outbound: SocketAddr,
    admin: SocketAddr,
    control: SocketAddr,
}

#[derive(Serialize)]
struct AddressTable {
    address: SocketAddr,
}

#[derive(Serialize)]
struct LogTable {
    format: &'static str,
    level: &'static str,
}

/// What the settings of a node depend on beside its place.
#[derive(Debug, Clone, Copy)]
pub struct Surroundings {
    /// The store's object API.
    pub store: SocketAddr,
    /// The back end beside the node.
    pub back_end: SocketAddr,
}

/// The settings file of the node at `place`, as TOML.
///
/// # Errors
/// Never, in fact: every value has a form in TOML.
pub fn settings_file(
    places: &Places,
    place: &Place,
    surroundings: Surroundings,
) -> Result<String, XtaskError> {
    let regions = places.topology()?.into_iter();
    let zones = regions.flat_map(|(region, zones)| zones.into_iter().map(move |zone| (zone, region.clone())));
    let file = SettingsFile {
        node: NodeTable {
            name: place.node.as_str(),
            service: place.service.as_str(),
            region: place.locality.region.as_str(),
            zone: place.locality.zone.as_str(),
            first_start: true,
        },
        zones: zones.collect(),
        listen: ListenTable { inbound: ANY_PORT, outbound: ANY_PORT, admin: ANY_PORT, control: ANY_PORT },
        back_end: AddressTable { address: surroundings.back_end },
        store: AddressTable { address: surroundings.store },
        log: LogTable { format: "json", level: "info" },
    };
    Ok(toml::to_string(&file)?)
}
