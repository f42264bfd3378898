//! Tests of the recipes and of the changes that they make to a site.

use std::path::Path;

use toml::{Table, Value};

use super::recipe::VariantRecipe;
use super::{RECIPES, site};

const SITE: &str = r#"
kept = "as it is"
zones = [ { name = "a", region = "r" }, { name = "b", region = "r" }, { name = "c", region = "r" } ]
machines = [
  { zone = "a", count = 4, link_mbps = 100 },
  { zone = "a", count = 4, link_mbps = 100 },
  { zone = "b", count = 5, link_mbps = 100 },
]
services = [ { name = "x", load_header = true }, { name = "y", load_header = true } ]
classes = [ { name = "read", service = "x" }, { name = "write", service = "y" }, { name = "list", service = "x" } ]
traffic = [ { zone = "a", mix = { read = 3, write = 4.0, list = 3.0 } } ]
[net]
cross_region_ms = 1.0
[[day]]
name = "one"
traffic = [ { zone = "a", mix = { read = 1.0, write = 9.0 } } ]
"#;

fn apply_recipe(recipe: &str) -> Table {
    let mut table: Table = toml::from_str(SITE).unwrap();
    let recipe: VariantRecipe = toml::from_str(&format!("about = \"a test\"\n{recipe}")).unwrap();
    site::apply(&mut table, &recipe);
    assert_eq!(table["kept"].as_str(), Some("as it is"));
    table
}

fn floats(mix: &Value) -> Vec<f64> {
    mix.as_table().unwrap().values().map(|value| value.as_float().unwrap()).collect()
}

#[test]
fn every_recipe_in_the_repository_can_be_parsed() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(RECIPES);
    let recipes = VariantRecipe::read_all(&directory).unwrap();
    assert_eq!(recipes.len(), 5);
    assert!(recipes.iter().all(|(_, recipe)| !recipe.about.is_empty()));
}

#[test]
fn a_recipe_with_an_unknown_key_is_rejected() {
    assert!(toml::from_str::<VariantRecipe>("about = \"x\"\nlink_mbps = [1.0]").is_err());
}

#[test]
fn load_told_false_disables_load_reports_of_every_service() {
    let site = apply_recipe("load_told = false");
    let services = site["services"].as_array().unwrap();
    assert!(services.iter().all(|service| service["load_header"].as_bool() == Some(false)));
}

#[test]
fn link_bandwidths_are_assigned_in_rotation() {
    let site = apply_recipe("links_mbps = [5.0, 50.0]");
    let machines = site["machines"].as_array().unwrap();
    let widths: Vec<_> = machines.iter().map(|machine| machine["link_mbps"].as_float().unwrap()).collect();
    assert_eq!(widths, [5.0, 50.0, 5.0]);
}

#[test]
fn a_far_region_takes_the_last_third_of_the_zones() {
    let site = apply_recipe("far_region = { name = \"far\", one_way_ms = 12.0 }");
    let zones = site["zones"].as_array().unwrap();
    let regions: Vec<_> = zones.iter().map(|zone| zone["region"].as_str().unwrap()).collect();
    assert_eq!(regions, ["r", "r", "far"]);
    assert_eq!(site["net"]["cross_region_ms"].as_float(), Some(12.0));
}

#[test]
fn the_busiest_service_gets_its_share_in_all_traffic_and_on_every_day() {
    let site = apply_recipe("busiest_share = 0.6");
    // Weights are sorted by class name; `list` and `read` belong to service x.
    let all = floats(&site["traffic"][0]["mix"]);
    assert!((all[0] + all[1] - 6.0).abs() < 1e-9 && (all[2] - 4.0).abs() < 1e-9, "{all:?}");
    let day = floats(&site["day"][0]["traffic"][0]["mix"]);
    assert!((day[1] - 6.0).abs() < 1e-9 && (day[0] - 4.0).abs() < 1e-9, "{day:?}");
}

#[test]
fn the_first_zone_is_reduced_to_the_requested_number_of_machines() {
    let site = apply_recipe("smallest_zone = 3");
    let machines = site["machines"].as_array().unwrap();
    let of_a = machines.iter().filter(|machine| machine["zone"].as_str() == Some("a"));
    assert_eq!(of_a.map(|machine| machine["count"].as_integer().unwrap()).sum::<i64>(), 3);
    assert_eq!(machines.last().unwrap()["count"].as_integer(), Some(5));
}
