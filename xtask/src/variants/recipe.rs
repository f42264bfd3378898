//! Recipes of site variants.

use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::error::XtaskError;

/// The changes that one variant makes to a site. Fields that are absent change nothing.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VariantRecipe {
    /// Purpose of the variant.
    pub about: String,
    /// Whether back ends report their load in a response header.
    pub load_told: Option<bool>,
    /// Link bandwidths in Mbit/s, assigned to the groups of machines in rotation.
    #[serde(default)]
    pub links_mbps: Vec<f64>,
    /// Another region, to which the last third of the zones is moved.
    pub far_region: Option<FarRegion>,
    /// Share of the callers' requests that go to the service with the most requests.
    pub busiest_share: Option<f64>,
    /// Number of machines in the first zone.
    pub smallest_zone: Option<u32>,
}

/// A second region of a site.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FarRegion {
    /// Name of the region.
    pub name: String,
    /// One-way delay between the regions, in milliseconds.
    pub one_way_ms: f64,
}

impl VariantRecipe {
    /// Reads all recipes (`*.toml`) in `directory`, with their names, sorted by name.
    ///
    /// # Errors
    /// Fails when the directory or a recipe can't be read, or a recipe can't be parsed.
    pub fn read_all(directory: &Path) -> Result<Vec<(String, Self)>, XtaskError> {
        let entries = std::fs::read_dir(directory).map_err(XtaskError::file(directory))?;
        let mut paths: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
        paths.retain(|path| path.extension().is_some_and(|extension| extension == "toml"));
        paths.sort();
        paths.iter().map(|path| Self::read(path)).collect()
    }

    fn read(path: &Path) -> Result<(String, Self), XtaskError> {
        let text = std::fs::read_to_string(path).map_err(XtaskError::file(path))?;
        let recipe = toml::from_str(&text)
            .map_err(|source| XtaskError::InvalidToml { path: path.to_owned(), source: Box::new(source) })?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        Ok((name, recipe))
    }
}
