//! What a variant changes.

use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::error::XtaskError;

/// What one variant changes of a site; what is absent stays.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VariantRecipe {
    /// What the variant is for.
    pub about: String,
    /// Whether back ends tell their load in their answers.
    pub load_told: Option<bool>,
    /// Widths of the links in Mbit/s, taken by the groups of machines in turn.
    #[serde(default)]
    pub links_mbps: Vec<f64>,
    /// Another region, in which the last third of the zones is.
    pub far_region: Option<FarRegion>,
    /// Share of all requests of callers that go to the service that has most of them.
    pub busiest_share: Option<f64>,
    /// Machines of the first zone.
    pub smallest_zone: Option<u32>,
}

/// Another region.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FarRegion {
    /// Its name.
    pub name: String,
    /// One-way delay to it, in milliseconds.
    pub one_way_ms: f64,
}

impl VariantRecipe {
    /// All recipes in `folder` with their names, in the order of these.
    ///
    /// # Errors
    /// Returns [`XtaskError`] if one can't be read.
    pub fn read_all(folder: &Path) -> Result<Vec<(String, Self)>, XtaskError> {
        let entries = std::fs::read_dir(folder).map_err(XtaskError::file(folder))?;
        let mut paths: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
        paths.retain(|path| path.extension().is_some_and(|extension| extension == "toml"));
        paths.sort();
        paths.iter().map(|path| Self::read(path)).collect()
    }

    fn read(path: &Path) -> Result<(String, Self), XtaskError> {
        let text = std::fs::read_to_string(path).map_err(XtaskError::file(path))?;
        let recipe = toml::from_str(&text)
            .map_err(|source| XtaskError::Unreadable { path: path.to_owned(), source: Box::new(source) })?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        Ok((name, recipe))
    }
}
