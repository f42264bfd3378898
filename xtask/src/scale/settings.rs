//! The settings file of one real node.

use umberpond_hollow::{Place, Places};

use crate::demo::settings::{NodeFacts, Surroundings, settings_file};
use crate::error::XtaskError;

/// The settings file of the node at `place`, as TOML.
///
/// # Errors
/// Never, in fact: made names follow the naming rule, and every value has a form in TOML.
pub fn settings_of(
    places: &Places,
    place: &Place,
    surroundings: &Surroundings<'_>,
) -> Result<String, XtaskError> {
    let regions = places.topology()?.into_iter();
    let zones = regions.flat_map(|(region, zones)| {
        zones.into_iter().map(move |zone| (zone.to_string(), region.to_string()))
    });
    let node = NodeFacts {
        name: place.node.to_string(),
        service: place.service.to_string(),
        region: place.locality.region.to_string(),
        zone: place.locality.zone.to_string(),
        zones: zones.collect(),
    };
    settings_file(&node, surroundings)
}
