//! Applies recipes to a site file, which is kept as a TOML table.
//!
//! The users' site files have many more keys than are named here; all other keys are preserved.

use std::collections::BTreeMap;

use toml::{Table, Value};

use super::recipe::{FarRegion, VariantRecipe};

/// A far region takes one zone of this many, rounded down.
const FAR_REGION_DIVISOR: usize = 3;

/// Applies `recipe` to `site`.
pub fn apply(site: &mut Table, recipe: &VariantRecipe) {
    if let Some(is_reported) = recipe.load_told {
        for service in tables(site, "services") {
            service.insert("load_header".to_owned(), Value::Boolean(is_reported));
        }
    }
    if !recipe.links_mbps.is_empty() {
        let widths = recipe.links_mbps.iter().cycle();
        for (machine, width) in tables(site, "machines").zip(widths) {
            machine.insert("link_mbps".to_owned(), Value::Float(*width));
        }
    }
    if let Some(region) = &recipe.far_region {
        move_zones(site, region);
    }
    if let Some(share) = recipe.busiest_share {
        shift_traffic(site, share);
    }
    if let Some(machines) = recipe.smallest_zone {
        shrink_first_zone(site, machines);
    }
}

/// The tables in the array at `key`.
fn tables<'a>(table: &'a mut Table, key: &str) -> impl Iterator<Item = &'a mut Table> {
    let list = table.get_mut(key).and_then(Value::as_array_mut);
    list.into_iter().flatten().filter_map(Value::as_table_mut)
}

fn text<'a>(table: &'a Table, key: &str) -> &'a str {
    table.get(key).and_then(Value::as_str).unwrap_or_default()
}

fn move_zones(site: &mut Table, region: &FarRegion) {
    let count = tables(site, "zones").count();
    let kept = count - count / FAR_REGION_DIVISOR;
    for zone in tables(site, "zones").skip(kept) {
        zone.insert("region".to_owned(), Value::String(region.name.clone()));
    }
    if let Some(net) = site.get_mut("net").and_then(Value::as_table_mut) {
        net.insert("cross_region_ms".to_owned(), Value::Float(region.one_way_ms));
    }
}

/// Scales the weights of all traffic mixes so that the service with the most requests receives `share` of
/// them.
fn shift_traffic(site: &mut Table, share: f64) {
    let service_of: BTreeMap<String, String> = tables(site, "classes")
        .map(|class| (text(class, "name").to_owned(), text(class, "service").to_owned()))
        .collect();
    scale_mixes(site, &service_of, share);
    for day in tables(site, "day") {
        scale_mixes(day, &service_of, share);
    }
}

fn scale_mixes(parent: &mut Table, service_of: &BTreeMap<String, String>, share: f64) {
    for traffic in tables(parent, "traffic") {
        if let Some(mix) = traffic.get_mut("mix").and_then(Value::as_table_mut) {
            scale_mix(mix, service_of, share);
        }
    }
}

fn scale_mix(mix: &mut Table, service_of: &BTreeMap<String, String>, share: f64) {
    let weight = |value: &Value| value.as_float().or_else(|| value.as_integer().map(|whole| whole as f64));
    let mut by_service: BTreeMap<&str, f64> = BTreeMap::new();
    for (class, value) in mix.iter() {
        let service = service_of.get(class).map_or("", String::as_str);
        *by_service.entry(service).or_default() += weight(value).unwrap_or(0.0);
    }
    let all: f64 = by_service.values().sum();
    let Some((busiest, most)) = by_service.iter().max_by(|left, right| left.1.total_cmp(right.1)) else {
        return;
    };
    let others = all - most;
    if *most <= 0.0 || others <= 0.0 {
        return;
    }
    let (up, down) = (share * all / most, (1.0 - share) * all / others);
    let is_busiest = |class: &str| service_of.get(class).is_some_and(|service| service == busiest);
    let factors: Vec<f64> = mix.keys().map(|class| if is_busiest(class) { up } else { down }).collect();
    for ((_, value), factor) in mix.iter_mut().zip(factors) {
        let scaled = weight(value).unwrap_or(0.0) * factor;
        *value = Value::Float(scaled);
    }
}

/// Reduces the first zone to `machines` machines, spread over its groups as evenly as their sizes allow, and
/// removes empty groups.
fn shrink_first_zone(site: &mut Table, machines: u32) {
    let Some(zone) = tables(site, "zones").next().map(|zone| text(zone, "name").to_owned()) else { return };
    let groups: Vec<&mut Table> =
        tables(site, "machines").filter(|machine| text(machine, "zone") == zone).collect();
    let mut left = i64::from(machines);
    let count = i64::try_from(groups.len()).unwrap_or(i64::MAX);
    for (index, group) in groups.into_iter().enumerate() {
        let groups_left = count - i64::try_from(index).unwrap_or(i64::MAX);
        let current = group.get("count").and_then(Value::as_integer).unwrap_or(0);
        let assigned = current.min((left + groups_left - 1) / groups_left.max(1));
        group.insert("count".to_owned(), Value::Integer(assigned));
        left -= assigned;
    }
    if let Some(list) = site.get_mut("machines").and_then(Value::as_array_mut) {
        list.retain(|group| group.get("count").and_then(Value::as_integer) != Some(0));
    }
}
