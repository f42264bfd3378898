//! `cargo xtask variants`: writes variants of a site file of the users' bench, so that tuning does not
//! overfit the bench's own sites.
//!
//! The recipes are in `testing/variants/`. The site file is read in place, and the variants are written to a
//! directory outside the repository, so that no part of the users' files is stored in it.

mod recipe;
mod site;
#[cfg(test)]
mod tests;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use toml::Table;

use crate::error::XtaskError;
use crate::flags::Variants;
use recipe::VariantRecipe;

/// Directory of the recipes, relative to the root of the repository.
const RECIPES: &str = "testing/variants";

/// Writes one variant of the site file for each recipe.
pub fn run(options: &Variants) -> Result<ExitCode, XtaskError> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let root = root.canonicalize().map_err(XtaskError::file(&root))?;
    let into = std::path::absolute(&options.into).map_err(XtaskError::file(&options.into))?;
    if into.starts_with(&root) {
        return Err(XtaskError::InsideRepository { path: into });
    }
    std::fs::create_dir_all(&into).map_err(XtaskError::file(&into))?;
    let text = std::fs::read_to_string(&options.site).map_err(XtaskError::file(&options.site))?;
    let site: Table = toml::from_str(&text)
        .map_err(|source| XtaskError::InvalidToml { path: options.site.clone(), source: Box::new(source) })?;
    copy_wire_description(&options.site, &into)?;
    for (name, recipe) in VariantRecipe::read_all(&root.join(RECIPES))? {
        let path = write_variant(&site, &options.site, &into, &name, &recipe)?;
        println!("{}: {}", path.display(), recipe.about);
    }
    Ok(ExitCode::SUCCESS)
}

fn write_variant(
    site: &Table,
    original: &Path,
    into: &Path,
    name: &str,
    recipe: &VariantRecipe,
) -> Result<PathBuf, XtaskError> {
    let mut variant = site.clone();
    site::apply(&mut variant, recipe);
    let stem = original.file_stem().unwrap_or_default().to_string_lossy();
    let path = into.join(format!("{stem}-{name}.toml"));
    std::fs::write(&path, toml::to_string(&variant)?).map_err(XtaskError::file(&path))?;
    Ok(path)
}

/// Copies `wire.json`, the description of the wire format, which the bench reads from the directory of the
/// site file.
fn copy_wire_description(site: &Path, into: &Path) -> Result<(), XtaskError> {
    let wire = site.with_file_name("wire.json");
    if wire.exists() {
        std::fs::copy(&wire, into.join("wire.json")).map_err(XtaskError::file(&wire))?;
    }
    Ok(())
}
