//! The settings file of one node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

use super::layout::{ANY_PORT, Placement, REGION, ZONES};
use crate::error::XtaskError;

/// Private halves of the test keys of RFC 7748, section 6.1, whose public halves the example bundle names.
const SEAL_KEYS: [(&str, &str); 2] = [
    ("web", "77076d0a7318a57d3c16c17251b26645df4c2f87ebc0992ab177fba51db92c2a"),
    ("billing", "5dab087e624a8a4b79e17f8b83800ee66f3bb1292618b6fd1c2f8b27ff88e0eb"),
];

/// Private seal key of a service, as the content of its file.
pub fn seal_key(service: &str) -> Option<&'static str> {
    SEAL_KEYS.iter().find(|(owner, _)| *owner == service).map(|(_, key)| *key)
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct SettingsFile<'a> {
    node: NodeTable<'a>,
    zones: &'a BTreeMap<String, String>,
    listen: ListenTable,
    #[serde(skip_serializing_if = "Option::is_none")]
    advertise: Option<AdvertiseTable>,
    #[serde(skip_serializing_if = "Option::is_none")]
    back_end: Option<BackEndTable>,
    store: AddressTable,
    #[serde(skip_serializing_if = "Option::is_none")]
    secrets: Option<SecretsTable<'a>>,
    stop: StopTable,
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

/// Addresses told to other nodes, where they differ from those listened at.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct AdvertiseTable {
    /// For requests.
    pub inbound: SocketAddr,
    /// For datagrams and control connections.
    pub control: SocketAddr,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct BackEndTable {
    address: SocketAddr,
    check_interval: &'static str,
}

#[derive(Serialize)]
struct AddressTable {
    address: SocketAddr,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct SecretsTable<'a> {
    seal_key_file: &'a str,
}

#[derive(Serialize)]
struct StopTable {
    grace: &'static str,
}

#[derive(Serialize)]
struct LogTable {
    format: &'static str,
    level: &'static str,
}

/// What the settings of a node depend on beside itself.
#[derive(Debug, Clone, Copy)]
pub struct Surroundings<'a> {
    /// The store's object API.
    pub store: SocketAddr,
    /// The back end beside the node; absent where callers enter.
    pub back_end: Option<SocketAddr>,
    /// Addresses told to other nodes, where they differ from those listened at.
    pub advertise: Option<AdvertiseTable>,
    /// Number of the process among those of the node, from 0 on.
    pub life: u32,
    /// File with the service's private seal key, if it has one.
    pub seal_key_file: Option<&'a str>,
}

impl Surroundings<'_> {
    /// A first process that is reached where it listens.
    #[must_use]
    pub const fn plain(store: SocketAddr, back_end: Option<SocketAddr>) -> Self {
        Self { store, back_end, advertise: None, life: 0, seal_key_file: None }
    }
}

/// Which node the settings are for.
#[derive(Debug, Clone)]
pub struct NodeFacts {
    /// Its name.
    pub name: String,
    /// Service of its back end, or of its callers.
    pub service: String,
    /// Its region.
    pub region: String,
    /// Its zone.
    pub zone: String,
    /// The region of every zone.
    pub zones: BTreeMap<String, String>,
}

impl From<&Placement> for NodeFacts {
    fn from(placement: &Placement) -> Self {
        Self {
            name: placement.name.to_owned(),
            service: placement.service.to_owned(),
            region: REGION.to_owned(),
            zone: placement.zone.to_owned(),
            zones: ZONES.iter().map(|zone| ((*zone).to_owned(), REGION.to_owned())).collect(),
        }
    }
}

/// The settings file of a node, as TOML.
///
/// # Errors
/// Never, in fact: every value has a form in TOML.
pub fn settings_file(node: &NodeFacts, surroundings: &Surroundings<'_>) -> Result<String, XtaskError> {
    let file = SettingsFile {
        node: NodeTable {
            name: &node.name,
            service: &node.service,
            region: &node.region,
            zone: &node.zone,
            first_start: surroundings.life == 0,
        },
        zones: &node.zones,
        listen: ListenTable { inbound: ANY_PORT, outbound: ANY_PORT, admin: ANY_PORT, control: ANY_PORT },
        advertise: surroundings.advertise,
        back_end: surroundings.back_end.map(|address| BackEndTable { address, check_interval: "200ms" }),
        store: AddressTable { address: surroundings.store },
        secrets: surroundings.seal_key_file.map(|seal_key_file| SecretsTable { seal_key_file }),
        stop: StopTable { grace: "10s" },
        log: LogTable { format: "json", level: "info" },
    };
    Ok(toml::to_string(&file)?)
}
