//! Rules that involve more than one setting.

use std::net::SocketAddr;

use toml::Spanned;
use toml::de::DeValue;
use umberpond_config::Topology;
use umberpond_model::{InvalidName, Locality, RegionName, ZoneName};

use super::fault::{FaultKind, Origin};
use super::reader::{Located, SettingsReader};

const ZONES: &str = "zones";

/// Reads `[zones]`, which maps each zone to its region.
pub(super) fn read_zones(reader: &mut SettingsReader<'_>) -> Option<Topology> {
    let Some(entry) = reader.entry(ZONES) else {
        reader.fault(FaultKind::Missing { key: ZONES }, Origin::Nowhere);
        return None;
    };
    let Some(table) = entry.get_ref().as_table() else {
        return reader.wrong_type(ZONES, "a table of zones", entry.get_ref(), entry);
    };
    let mut topology = Topology::new();
    for (key, region) in table.iter() {
        let zone = check_name(reader, ZoneName::new(key.get_ref()), Origin::File(key.span()));
        let region = read_region(reader, region);
        if let (Some(zone), Some(region)) = (zone, region) {
            topology.entry(region).or_default().insert(zone);
        }
    }
    Some(topology)
}

fn read_region(reader: &mut SettingsReader<'_>, entry: &Spanned<DeValue<'_>>) -> Option<RegionName> {
    match entry.get_ref() {
        DeValue::String(text) => check_name(reader, RegionName::new(text), Origin::File(entry.span())),
        other => reader.wrong_type(ZONES, "the name of a region", other, entry),
    }
}

fn check_name<N>(reader: &mut SettingsReader<'_>, name: Result<N, InvalidName>, origin: Origin) -> Option<N> {
    match name {
        Ok(name) => Some(name),
        Err(invalid) => {
            reader.fault(FaultKind::Name(invalid), origin);
            None
        }
    }
}

/// Checks that the node's locality is a known one.
pub(super) fn check_locality(
    reader: &mut SettingsReader<'_>,
    region: Located<RegionName>,
    zone: Located<ZoneName>,
    known: &Topology,
) -> Option<Locality> {
    let Some(zones) = known.get(&region.value) else {
        reader.fault(FaultKind::UnknownRegion { region: region.value }, region.origin);
        return None;
    };
    if !zones.contains(&zone.value) {
        let known = zones.iter().map(|zone| format!("`{zone}`")).collect::<Vec<_>>().join(", ");
        let kind = FaultKind::UnknownZone { region: region.value, zone: zone.value, known };
        reader.fault(kind, zone.origin);
        return None;
    }
    Some(Locality { region: region.value, zone: zone.value })
}

/// A listening address with the key of its setting.
pub(super) struct NamedAddress {
    pub(super) key: &'static str,
    pub(super) address: Located<SocketAddr>,
}

/// Checks that no two listeners share an address. Port 0 selects any free port and conflicts with nothing.
pub(super) fn check_distinct(reader: &mut SettingsReader<'_>, listeners: &[NamedAddress]) {
    for (index, second) in listeners.iter().enumerate() {
        let conflicting =
            listeners[..index].iter().find(|first| conflicts(first.address.value, second.address.value));
        if let Some(first) = conflicting {
            let kind = FaultKind::SameAddress {
                first: first.key,
                second: second.key,
                address: second.address.value,
            };
            reader.fault(kind, second.address.origin.clone());
        }
    }
}

fn conflicts(first: SocketAddr, second: SocketAddr) -> bool {
    let same_host = first.ip() == second.ip() || first.ip().is_unspecified() || second.ip().is_unspecified();
    first.port() != 0 && first.port() == second.port() && same_host
}

/// Checks that an address published to other nodes identifies one machine.
pub(super) fn check_reachable(
    reader: &mut SettingsReader<'_>,
    listener: &NamedAddress,
    advertised: Option<SocketAddr>,
) {
    let address = advertised.unwrap_or(listener.address.value);
    if address.ip().is_unspecified() {
        let kind = FaultKind::NotReachable { key: listener.key, address };
        reader.fault(kind, listener.address.origin.clone());
    }
}
