//! Prints the report of a demo as a table.

use super::figures::{DemoReport, PhaseFigures};

/// Width of the first column, in characters.
const LABEL_WIDTH: usize = 42;

/// Prints the report as a table.
pub fn print_table(report: &DemoReport) {
    print_phases(report);
    println!();
    print_line("nodes", &report.nodes.to_string());
    print_line("added latency at p50", &micros(report.latency.added_p50_micros));
    print_line("added latency at p99", &micros(report.latency.added_p99_micros));
    for version in &report.versions {
        let everywhere =
            version.everywhere_millis.map_or("never".to_owned(), |millis| format!("{millis} ms"));
        let value = format!("{everywhere} (command: {} ms)", version.command_millis);
        print_line(&format!("version {} in force everywhere after", version.version), &value);
    }
    let served = format!("{} of {}", report.second_version_answered, report.second_version_calls);
    print_line("calls of the second version's route", &format!("{served} answered"));
    print_line("runs in a disallowed locality", &report.disallowed_runs.to_string());
    print_departures(report);
    let control = &report.control;
    let rate = format!(
        "{:.0} B/s mean, {:.0} B/s busiest, {:.0} B per node in total",
        control.mean_bytes_per_second, control.max_bytes_per_second, control.mean_bytes
    );
    print_line("control traffic per node", &rate);
    let platform = &report.platform;
    let readers = format!(
        "{} concurrent readers, {} nodes with requests, {} requests",
        platform.greatest_readers, platform.nodes_with_requests, platform.requests
    );
    print_line("platform", &readers);
    let slowest = report.stops.iter().map(|stop| stop.millis).max().unwrap_or(0);
    print_line("processes stopped at the end", &format!("{}, slowest {slowest} ms", report.stops.len()));
    print_line("whole demo without the build", &format!("{} ms", report.total_millis));
}

fn print_phases(report: &DemoReport) {
    println!(
        "{:<8}{:>7}{:>10}{:>10}{:>9}{:>11}{:>7}{:>11}{:>14}{:>10}{:>10}",
        "phase",
        "calls",
        "answered",
        "rejected",
        "unknown",
        "truncated",
        "wrong",
        "ran twice",
        "rejected, ran",
        "p50 ms",
        "p99 ms"
    );
    report.phases.iter().for_each(print_phase);
}

fn print_phase(phase: &PhaseFigures) {
    let counts = &phase.reconciliation;
    println!(
        "{:<8}{:>7}{:>10}{:>10}{:>9}{:>11}{:>7}{:>11}{:>14}{:>10}{:>10}",
        phase.kind.name(),
        counts.calls,
        counts.answered,
        counts.rejected,
        counts.unknown,
        counts.truncated,
        counts.wrong_answers,
        counts.ran_twice,
        counts.rejected_but_ran,
        millis(phase.latencies.p50_micros),
        millis(phase.latencies.p99_micros)
    );
}

fn print_departures(report: &DemoReport) {
    if let Some(drain) = &report.drain {
        let value = format!(
            "exited after {} ms; {} requests before, {} after the grace period",
            drain.stop.millis, drain.runs_before, drain.runs_after_grace
        );
        print_line(&format!("graceful stop of {}", drain.node), &value);
    }
    if let Some(kill) = &report.kill {
        let value = format!(
            "{} requests before, {} calls failed after the grace period",
            kill.runs_before, kill.late_failures
        );
        print_line(&format!("kill of {}", kill.node), &value);
    }
}

fn print_line(label: &str, value: &str) {
    println!("{label:<LABEL_WIDTH$}{value}");
}

fn millis(micros: u64) -> String {
    format!("{}.{:02}", micros / 1_000, micros % 1_000 / 10)
}

fn micros(value: i64) -> String {
    format!("{value} us")
}
