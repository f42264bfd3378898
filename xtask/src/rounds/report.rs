//! Reads the reports of measured runs.

use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::fs;
use std::path::Path;

use serde::Deserialize;

use crate::error::XtaskError;

/// The reports of one directory.
#[derive(Debug, Default)]
pub struct ReportSet {
    /// The reports by file name, without the extension.
    pub runs: BTreeMap<String, RunReport>,
}

/// The fields of a run's report that are compared.
#[derive(Debug, Clone, Deserialize)]
pub struct RunReport {
    /// Worth of the run, after deducting the prices.
    #[serde(rename = "G")]
    pub worth: f64,
    /// Share of the worth lost, by reason.
    #[serde(default)]
    pub prices: Vec<Price>,
    /// Requests by kind.
    #[serde(default, rename = "classes")]
    pub kinds: Vec<RequestGroup>,
    /// Requests by the window of two seconds in which they started.
    #[serde(default)]
    pub windows: Vec<RequestGroup>,
    /// Broken rules, with the number of times.
    #[serde(default)]
    pub breaks: BTreeMap<String, serde_json::Value>,
}

/// The worth lost for one reason.
#[derive(Debug, Clone, Deserialize)]
#[serde(from = "(String, f64, f64)")]
pub struct Price {
    /// The reason.
    pub reason: String,
    /// Share of the worth that is lost.
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
    /// Number of requests sent.
    #[serde(rename = "n")]
    pub sent: u64,
    /// Number of requests answered within their latency objective.
    #[serde(rename = "in_aim")]
    pub in_time: u64,
    /// Number of requests answered after their latency objective.
    pub late: u64,
    /// Number of requests refused.
    pub refused: u64,
    /// Number of requests that failed.
    pub failed: u64,
    /// Share of the credit earned.
    #[serde(rename = "worth")]
    pub credit: f64,
}

impl ReportSet {
    /// Reads every report (`*.json`) in `directory`.
    ///
    /// # Errors
    /// Fails when the directory or a file can't be read, or a file is not a valid report.
    pub fn read(directory: &Path) -> Result<Self, XtaskError> {
        let mut set = Self::default();
        for entry in fs::read_dir(directory).map_err(XtaskError::file(directory))? {
            let path = entry.map_err(XtaskError::file(directory))?.path();
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
