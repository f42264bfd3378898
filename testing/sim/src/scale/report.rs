//! The report of a scale run, as text, JSON and a plot.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;
use thiserror::Error;
use umberpond_overlay::Role;

use super::hollow::BYTES_WINDOW;
use super::measure::MessageCount;
use super::roles::{RoleFigures, by_role};
use super::scenario::Scenario;
use super::world::World;

/// Size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 500);

/// Percentiles of a time, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Percentiles {
    /// Half of the values are at most this.
    pub p50: u64,
    /// 99 of 100 values are at most this.
    pub p99: u64,
    /// The greatest value.
    pub max: u64,
    /// Count of values.
    pub count: u64,
}

impl From<&Histogram<u64>> for Percentiles {
    fn from(histogram: &Histogram<u64>) -> Self {
        Self {
            p50: histogram.value_at_quantile(0.5),
            p99: histogram.value_at_quantile(0.99),
            max: histogram.max(),
            count: histogram.len(),
        }
    }
}

/// Figures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct ScaleReport {
    /// What was run.
    pub scenario: Scenario,
    /// Versions accepted in the measured time.
    pub versions: u64,
    /// Acceptance to in force, for each version and node.
    pub convergence: Percentiles,
    /// Begin of a drain until callers' nodes knew it.
    pub drain_spread: Percentiles,
    /// Control bytes a second sent and received by a node, mean over nodes and time.
    pub mean_bytes_per_second: f64,
    /// Control bytes a second of the node with the highest mean.
    pub highest_mean_bytes_per_second: f64,
    /// Control bytes a second of the busiest node in its busiest ten seconds.
    pub busiest_bytes_per_second: f64,
    /// Most distinct readers of the platform in any ten seconds, warm-up included.
    pub most_platform_readers: usize,
    /// Platform requests a second.
    pub platform_requests_per_second: f64,
    /// Times at which a node went back to an older version; must be 0.
    pub went_back: u64,
    /// Running nodes that lacked a version that was due; must be 0.
    pub lagging_at_end: u64,
    /// Time from the end of the storm until in force everywhere, in milliseconds.
    pub recovery_millis: Option<u64>,
    /// Figures by role.
    pub roles: BTreeMap<Role, RoleFigures>,
    /// Resident memory of the whole run at its end, in bytes; 0 where the system doesn't tell.
    pub resident_bytes: u64,
    /// Messages by kind.
    pub messages: BTreeMap<&'static str, MessageCount>,
    /// Decisions of the cores by name.
    pub decisions: BTreeMap<String, u64>,
    /// Events handled, warm-up included.
    pub events: u64,
}

impl ScaleReport {
    #[expect(clippy::cast_precision_loss, reason = "figures for people")]
    pub(super) fn of(world: &World) -> Self {
        let measured_seconds = world.scenario.measured.0 as f64 / 1_000.0;
        let totals: Vec<u64> = world.nodes.iter().map(|node| node.bytes.total).collect();
        let busiest = world.nodes.iter().map(|node| node.bytes.busiest_window).max().unwrap_or(0);
        let measurement = &world.measurement;
        Self {
            scenario: world.scenario.clone(),
            versions: measurement.versions,
            convergence: Percentiles::from(&measurement.convergence),
            drain_spread: Percentiles::from(&measurement.drain_spread),
            mean_bytes_per_second: totals.iter().sum::<u64>() as f64 / totals.len() as f64 / measured_seconds,
            highest_mean_bytes_per_second: totals.iter().max().copied().unwrap_or(0) as f64
                / measured_seconds,
            busiest_bytes_per_second: busiest as f64 / (BYTES_WINDOW.0 as f64 / 1_000.0),
            most_platform_readers: world.platform.most_readers,
            platform_requests_per_second: (world.platform.requests - measurement.requests_before) as f64
                / measured_seconds,
            went_back: measurement.went_back,
            lagging_at_end: measurement.lagging_at_end,
            recovery_millis: measurement.recovery.map(|recovery| recovery.0),
            roles: by_role(&world.nodes, measured_seconds),
            resident_bytes: resident_bytes(),
            messages: measurement.messages.clone(),
            decisions: measurement.decisions.clone(),
            events: measurement.events,
        }
    }

    /// Whether nothing went back and every due version was in force.
    #[must_use]
    pub const fn holds(&self) -> bool {
        self.went_back == 0 && self.lagging_at_end == 0
    }
}

impl fmt::Display for ScaleReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let scenario = &self.scenario;
        writeln!(
            formatter,
            "{} nodes, {} services, {} zones, {} changes/s, storm {}, seed {}",
            scenario.nodes,
            scenario.services,
            scenario.zones,
            scenario.changes_per_second,
            scenario.storm.name(),
            scenario.seed
        )?;
        let times = |name: &str, times: &Percentiles| {
            format!(
                "{name:<28} p50 {} ms, p99 {} ms, max {} ms ({} values)",
                times.p50, times.p99, times.max, times.count
            )
        };
        writeln!(formatter, "{}", times("in force after acceptance", &self.convergence))?;
        writeln!(formatter, "{}", times("drain known to callers", &self.drain_spread))?;
        writeln!(
            formatter,
            "{:<28} mean {:.0} B/s, highest mean {:.0} B/s, busiest 10 s {:.0} B/s",
            "control bytes of a node",
            self.mean_bytes_per_second,
            self.highest_mean_bytes_per_second,
            self.busiest_bytes_per_second
        )?;
        writeln!(
            formatter,
            "{:<28} most readers {}, {:.1} requests/s",
            "platform", self.most_platform_readers, self.platform_requests_per_second
        )?;
        if let Some(recovery) = self.recovery_millis {
            writeln!(formatter, "{:<28} {recovery} ms", "recovery after the storm")?;
        }
        writeln!(
            formatter,
            "{:<28} {} went back, {} lagging at the end, {} versions, {} events",
            "checks", self.went_back, self.lagging_at_end, self.versions, self.events
        )?;
        for (role, figures) in &self.roles {
            writeln!(
                formatter,
                "  {:<26} {} nodes, mean {:.0} B/s, busiest 10 s {:.0} B/s, core {:.0} us/s",
                format!("{role:?}"),
                figures.nodes,
                figures.mean_bytes_per_second,
                figures.busiest_bytes_per_second,
                figures.core_micros_per_second
            )?;
        }
        writeln!(formatter, "  resident memory of the run   {} KiB", self.resident_bytes / BYTES_PER_KIB)?;
        for (kind, count) in &self.messages {
            writeln!(formatter, "  {kind:<26} {} messages, {} bytes", count.messages, count.bytes)?;
        }
        for (name, count) in &self.decisions {
            writeln!(formatter, "  {name:<26} {count} decisions")?;
        }
        Ok(())
    }
}

const BYTES_PER_KIB: u64 = 1_024;
const BYTES_PER_PAGE: u64 = 4_096;

/// Resident memory of this process, from the second field of `/proc/self/statm`, in bytes.
fn resident_bytes() -> u64 {
    let statistics = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statistics.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * BYTES_PER_PAGE
}

/// A plot that could not be drawn.
#[derive(Debug, Error)]
#[error("the plot could not be drawn: {reason}")]
pub struct PlotError {
    reason: String,
}

/// Draws convergence and bytes of several runs as an SVG: a bar for each run's p50 and p99, in milliseconds.
///
/// # Errors
/// Returns [`PlotError`] when the file can't be written.
pub fn plot(reports: &[ScaleReport], file: &Path) -> Result<(), PlotError> {
    draw(reports, file).map_err(|error| PlotError { reason: error.to_string() })
}

fn draw(reports: &[ScaleReport], file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let highest = reports.iter().map(|report| report.convergence.max).max().unwrap_or(1).max(1);
    let last = u32::try_from(reports.len().max(1) - 1)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("acceptance to in force, by run (ms): p50, p99, max", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(50)
        .y_label_area_size(70)
        .build_cartesian_2d((0..last).into_segmented(), (1..highest + 1).log_scale())?;
    chart
        .configure_mesh()
        .x_labels(reports.len())
        .x_label_formatter(&|value| label(reports, value))
        .draw()?;
    for (color, pick) in series() {
        chart.draw_series(reports.iter().zip(0_u32..).map(|(report, index)| {
            Circle::new((SegmentValue::CenterOf(index), pick(&report.convergence).max(1)), 5, color.filled())
        }))?;
    }
    area.present()?;
    Ok(())
}

type Pick = fn(&Percentiles) -> u64;

fn series() -> [(RGBColor, Pick); 3] {
    [(GREEN, |times| times.p50), (BLUE, |times| times.p99), (RED, |times| times.max)]
}

fn label(reports: &[ScaleReport], value: &SegmentValue<u32>) -> String {
    let (SegmentValue::CenterOf(index) | SegmentValue::Exact(index)) = value else { return String::new() };
    let report = usize::try_from(*index).ok().and_then(|index| reports.get(index));
    report.map_or_else(String::new, |report| {
        format!("{} {}", report.scenario.nodes, report.scenario.storm.name())
    })
}
