//! Reports of measured runs.

use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::fs;
use std::path::Path;

use serde::Deserialize;

use crate::error::XtaskError;

/// The reports of one folder, by file name.
#[derive(Debug, Default)]
pub struct ReportSet {
    /// The reports.
    pub runs: BTreeMap<String, RunReport>,
}

/// The report of one run, as far as it is compared.
#[derive(Debug, Clone, Deserialize)]
pub struct RunReport {
    /// Worth of the run, prices taken off.
    #[serde(rename = "G")]
    pub worth: f64,
    /// Share of the worth lost, by reason.
    #[serde(default)]
    pub prices: Vec<Price>,
    /// Requests by kind.
    #[serde(default, rename = "classes")]
    pub kinds: Vec<RequestGroup>,
    /// Requests by the two seconds in which they began.
    #[serde(default)]
    pub windows: Vec<RequestGroup>,
    /// Rules broken, with how often.
    #[serde(default)]
    pub breaks: BTreeMap<String, serde_json::Value>,
}

/// What one reason costs.
#[derive(Debug, Clone, Deserialize)]
#[serde(from = "(String, f64, f64)")]
pub struct Price {
    /// The reason.
    pub reason: String,
    /// Share of the worth.
    pub share: f64,
}

impl From<(String, f64, f64)> for Price {
    fn from((reason, _amount, share): (String, f64, f64)) -> Self {
        Self { reason, share }
    }
}

/// A group of requests.
#[derive(Debug, Clone, Deserialize)]
pub struct RequestGroup {
    /// Name of the group.
    pub name: String,
    /// Requests sent.
    #[serde(rename = "n")]
    pub sent: u64,
    /// Requests answered within their objective.
    #[serde(rename = "in_aim")]
    pub in_time: u64,
    /// Requests answered after it.
    pub late: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Share of the credit earned.
    #[serde(rename = "worth")]
    pub credit: f64,
}

impl ReportSet {
    /// Reads every report of `folder`.
    ///
    /// # Errors
    /// Returns [`XtaskError`] if a file can't be read or is no report.
    pub fn read(folder: &Path) -> Result<Self, XtaskError> {
        let mut set = Self::default();
        for entry in fs::read_dir(folder).map_err(XtaskError::file(folder))? {
            let path = entry.map_err(XtaskError::file(folder))?.path();
            if path.extension() != Some(OsStr::new("json")) {
                continue;
            }
            let text = fs::read_to_string(&path).map_err(XtaskError::file(&path))?;
            let name = path.file_stem().map(|name| name.to_string_lossy().into_owned());
            set.runs.insert(name.unwrap_or_default(), serde_json::from_str(&text)?);
        }
        Ok(set)
    }
}
