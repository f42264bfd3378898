//! `umberpond-sim scale`.

use std::process::ExitCode;
use std::time::Instant;

use umberpond_model::Millis;
use umberpond_sim::scale::{ScaleReport, Scenario, Storm, plot, run as run_scenario};

use super::{Scale, USAGE, VIOLATION, output};

/// Nodes if none are given: the planned size.
const PLANNED_NODES: usize = 13_000;

/// Runs each size with each chosen storm; fails if a check failed.
pub fn run(options: &Scale) -> ExitCode {
    let Some(storms) = storms(options.storm.as_deref()) else {
        let names: Vec<&str> = Storm::ALL.iter().map(|storm| storm.name()).collect();
        eprintln!("unknown storm; one of: {}, all", names.join(", "));
        return ExitCode::from(USAGE);
    };
    let mut reports = Vec::new();
    for nodes in options.also.iter().copied().chain([options.nodes.unwrap_or(PLANNED_NODES)]) {
        for &storm in &storms {
            reports.push(run_one(&scenario(options, nodes, storm)));
        }
    }
    let written = options.json.as_deref().is_none_or(|file| output::write_json(file, &reports));
    let drawn = options.plot.as_deref().is_none_or(|file| match plot(&reports, file) {
        Ok(()) => true,
        Err(error) => {
            eprintln!("{error}");
            false
        }
    });
    if written && drawn && reports.iter().all(ScaleReport::holds) {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(VIOLATION)
    }
}

fn run_one(scenario: &Scenario) -> ScaleReport {
    let begun = Instant::now();
    let report = run_scenario(scenario);
    println!("{report}  took {:.1} s of real time\n", begun.elapsed().as_secs_f64());
    report
}

fn storms(name: Option<&str>) -> Option<Vec<Storm>> {
    match name {
        None => Some(vec![Storm::Calm]),
        Some("all") => Some(Storm::ALL.to_vec()),
        Some(name) => Storm::ALL.into_iter().find(|storm| storm.name() == name).map(|storm| vec![storm]),
    }
}

fn scenario(options: &Scale, nodes: usize, storm: Storm) -> Scenario {
    let mut scenario = Scenario::planned(nodes, options.seed.unwrap_or(1));
    scenario.storm = storm;
    if let Some(changes) = options.changes {
        scenario.changes_per_second = changes;
    }
    if let Some(seconds) = options.seconds {
        scenario.measured = Millis(seconds * 1_000);
    }
    if let Some(seconds) = options.storm_seconds {
        scenario.storm_time = Millis(seconds * 1_000);
    }
    scenario
}
