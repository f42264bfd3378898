//! Writes the settings file of a node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

use super::layout::{ANY_PORT, Placement, REGION, ZONES};
use crate::error::XtaskError;

/// Private keys of the test vectors in RFC 7748, section 6.1. The example bundle contains the matching public
/// keys.
const SEAL_KEYS: [(&str, &str); 2] = [
    ("web", "77076d0a7318a57d3c16c17251b26645df4c2f87ebc0992ab177fba51db92c2a"),
    ("billing", "5dab087e624a8a4b79e17f8b83800ee66f3bb1292618b6fd1c2f8b27ff88e0eb"),
];

/// Content of the private seal key file of `service`, if it has one.
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

/// Addresses advertised to other nodes, if they differ from the listen addresses.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct AdvertiseTable {
    /// Address for requests.
    pub inbound: SocketAddr,
    /// Address for datagrams and control connections.
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

/// Inputs of a node's settings other than its identity.
#[derive(Debug, Clone, Copy)]
pub struct NodeEnvironment<'a> {
    /// Address of the store's object API.
    pub store: SocketAddr,
    /// Address of the node's back end; `None` for an edge node.
    pub back_end: Option<SocketAddr>,
    /// Addresses advertised to other nodes, if they differ from the listen addresses.
    pub advertise: Option<AdvertiseTable>,
    /// How many processes of this node were started before; 0 for the first.
    pub restarts: u32,
    /// Path of the service's private seal key file, if it has one.
    pub seal_key_file: Option<&'a str>,
}

impl NodeEnvironment<'_> {
    /// The environment of a node's first process, which advertises its listen addresses.
    #[must_use]
    pub const fn first_process(store: SocketAddr, back_end: Option<SocketAddr>) -> Self {
        Self { store, back_end, advertise: None, restarts: 0, seal_key_file: None }
    }
}

/// Identity of the node that the settings are for.
#[derive(Debug, Clone)]
pub struct NodeIdentity {
    /// Its name.
    pub name: String,
    /// Service of its back end, or of its callers.
    pub service: String,
    /// Its region.
    pub region: String,
    /// Its zone.
    pub zone: String,
    /// Regions by zone.
    pub zones: BTreeMap<String, String>,
}

impl From<&Placement> for NodeIdentity {
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
/// Never: every value can be represented in TOML.
pub fn settings_file(node: &NodeIdentity, environment: &NodeEnvironment<'_>) -> Result<String, XtaskError> {
    let file = SettingsFile {
        node: NodeTable {
            name: &node.name,
            service: &node.service,
            region: &node.region,
            zone: &node.zone,
            first_start: environment.restarts == 0,
        },
        zones: &node.zones,
        listen: ListenTable { inbound: ANY_PORT, outbound: ANY_PORT, admin: ANY_PORT, control: ANY_PORT },
        advertise: environment.advertise,
        back_end: environment.back_end.map(|address| BackEndTable { address, check_interval: "200ms" }),
        store: AddressTable { address: environment.store },
        secrets: environment.seal_key_file.map(|seal_key_file| SecretsTable { seal_key_file }),
        stop: StopTable { grace: "10s" },
        log: LogTable { format: "json", level: "info" },
    };
    Ok(toml::to_string(&file)?)
}
