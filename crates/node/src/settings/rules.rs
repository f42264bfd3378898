//! Rules that concern more than one setting.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use toml::Spanned;
use toml::de::DeValue;
use umberpond_config::Topology;
use umberpond_model::{InvalidName, Locality, RegionName, ZoneName};

use super::fault::{FaultKind, Origin};
use super::reader::{Located, SettingsReader};

const LOCALITIES: &str = "localities";

/// Reads `[localities]`: regions and their zones.
pub(super) fn read_localities(reader: &mut SettingsReader<'_>) -> Option<Topology> {
    let Some(entry) = reader.entry(LOCALITIES) else {
        reader.fault(FaultKind::Missing { key: LOCALITIES }, Origin::Nowhere);
        return None;
    };
    let Some(table) = entry.get_ref().as_table() else {
        return reader.wrong_type(LOCALITIES, "a table of regions", entry.get_ref(), entry);
    };
    let mut localities = Topology::new();
    for (key, zones) in table.iter() {
        let region = checked(reader, RegionName::new(key.get_ref()), Origin::File(key.span()));
        let zones = read_zones(reader, zones);
        if let Some(region) = region {
            localities.insert(region, zones);
        }
    }
    Some(localities)
}

fn read_zones(reader: &mut SettingsReader<'_>, entry: &Spanned<DeValue<'_>>) -> BTreeSet<ZoneName> {
    let Some(items) = entry.get_ref().as_array() else {
        let _: Option<()> = reader.wrong_type(LOCALITIES, "a list of zones", entry.get_ref(), entry);
        return BTreeSet::new();
    };
    let mut zones = BTreeSet::new();
    for item in items.iter() {
        match item.get_ref() {
            DeValue::String(text) => {
                zones.extend(checked(reader, ZoneName::new(text), Origin::File(item.span())));
            }
            other => {
                let _: Option<()> = reader.wrong_type(LOCALITIES, "a list of zone names", other, item);
            }
        }
    }
    zones
}

fn checked<N>(reader: &mut SettingsReader<'_>, name: Result<N, InvalidName>, origin: Origin) -> Option<N> {
    match name {
        Ok(name) => Some(name),
        Err(invalid) => {
            reader.fault(FaultKind::Name(invalid), origin);
            None
        }
    }
}

/// The node's locality must be a known one.
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

/// A listening address under the name of its setting.
pub(super) struct NamedAddress {
    pub(super) key: &'static str,
    pub(super) address: Located<SocketAddr>,
}

/// No two listeners may share an address; port 0 takes any free port and clashes with nothing.
pub(super) fn check_distinct(reader: &mut SettingsReader<'_>, listeners: &[NamedAddress]) {
    for (index, second) in listeners.iter().enumerate() {
        let clash =
            listeners[..index].iter().find(|first| clashes(first.address.value, second.address.value));
        if let Some(first) = clash {
            let kind = FaultKind::SameAddress {
                first: first.key,
                second: second.key,
                address: second.address.value,
            };
            reader.fault(kind, second.address.origin.clone());
        }
    }
}

fn clashes(first: SocketAddr, second: SocketAddr) -> bool {
    let same_host = first.ip() == second.ip() || first.ip().is_unspecified() || second.ip().is_unspecified();
    first.port() != 0 && first.port() == second.port() && same_host
}

/// An address that other nodes are told must name one machine.
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
