//! `umberpond-sim invariants` and `umberpond-sim replay`.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;
use umberpond_sim::checkers::Invariant;
use umberpond_sim::cluster::{RunOptions, RunReport, run as run_seed};
use umberpond_sim::schedule::{FaultKind, Schedule};

use super::{Invariants, Replay, USAGE, VIOLATION, output};

/// Number of seeds if `--seeds` is absent.
const DEFAULT_SEEDS: u64 = 50;

/// Number of runs and violations for one invariant and one kind of fault.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Cell {
    runs: u64,
    violations: u64,
    smallest_failing_seed: Option<u64>,
}

/// One row of the JSON report.
#[derive(Debug, Serialize)]
struct Row {
    invariant: &'static str,
    fault: &'static str,
    #[serde(flatten)]
    cell: Cell,
}

type Table = BTreeMap<(Invariant, FaultKind), Cell>;

/// Schedule of one seed and the number of violations of each violated invariant.
struct Verdict {
    seed: u64,
    schedule: Schedule,
    violated: BTreeMap<Invariant, usize>,
}

/// Runs all seeds and prints the table. The exit code reports violations and a report that can't be written.
pub fn run(options: &Invariants) -> ExitCode {
    let Some(kinds) = parse_kinds(options.fault.as_deref()) else {
        return unknown_name("fault", FaultKind::ALL.iter().map(|kind| kind.name()));
    };
    let Some(invariants) = parse_invariants(options.invariant.as_deref()) else {
        return unknown_name("invariant", Invariant::ALL.iter().map(|invariant| invariant.name()));
    };
    let first = options.first_seed.unwrap_or(0);
    let seeds = first..first + options.seeds.unwrap_or(DEFAULT_SEEDS);
    let verdicts = run_all(seeds, &kinds, options.jobs.unwrap_or(1));
    let table = build_table(&verdicts, &invariants);
    print(&table);
    let mut failed = false;
    for verdict in verdicts.iter().filter(|verdict| is_violated(verdict, &invariants)) {
        failed = true;
        print_failure(verdict, &invariants, &kinds);
    }
    let written = options.json.as_deref().is_none_or(|file| output::write_json(file, &rows(&table)));
    if failed || !written { ExitCode::from(VIOLATION) } else { ExitCode::SUCCESS }
}

/// Runs one seed and prints its trace, violations and digest.
pub fn replay(options: &Replay) -> ExitCode {
    let Some(kinds) = parse_kinds(options.fault.as_deref()) else {
        return unknown_name("fault", FaultKind::ALL.iter().map(|kind| kind.name()));
    };
    let schedule = Schedule::from_seed(options.seed, &kinds);
    let report = run_seed(&RunOptions { seed: options.seed, schedule });
    for line in &report.trace {
        println!("{line}");
    }
    for violation in report.violations.values().flatten() {
        println!("VIOLATION {violation:?}");
    }
    println!("seed {} digest {}", options.seed, report.digest);
    if report.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(VIOLATION) }
}

fn unknown_name<'a>(what: &str, names: impl Iterator<Item = &'a str>) -> ExitCode {
    eprintln!("unknown {what}; expected one of: {}", names.collect::<Vec<_>>().join(", "));
    ExitCode::from(USAGE)
}

fn parse_kinds(name: Option<&str>) -> Option<Vec<FaultKind>> {
    let Some(names) = name else { return Some(FaultKind::ALL.to_vec()) };
    names.split(',').map(|name| FaultKind::ALL.into_iter().find(|kind| kind.name() == name)).collect()
}

fn parse_invariants(name: Option<&str>) -> Option<Vec<Invariant>> {
    let Some(name) = name else { return Some(Invariant::ALL.to_vec()) };
    Invariant::ALL.into_iter().find(|invariant| invariant.name() == name).map(|invariant| vec![invariant])
}

/// Runs all seeds on `jobs` threads. Each run has its own runtime, so parallel runs don't affect each other.
fn run_all(seeds: std::ops::Range<u64>, kinds: &[FaultKind], jobs: usize) -> Vec<Verdict> {
    let next = AtomicU64::new(seeds.start);
    let work = || {
        let mut verdicts = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return verdicts;
            }
            verdicts.push(run_one(seed, kinds));
        }
    };
    let mut verdicts: Vec<Verdict> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..jobs.max(1)).map(|_| scope.spawn(work)).collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("a run does not panic")).collect()
    });
    verdicts.sort_by_key(|verdict| verdict.seed);
    verdicts
}

fn run_one(seed: u64, kinds: &[FaultKind]) -> Verdict {
    let schedule = Schedule::from_seed(seed, kinds);
    let report = run_seed(&RunOptions { seed, schedule: schedule.clone() });
    Verdict { seed, schedule, violated: violation_counts(&report) }
}

fn violation_counts(report: &RunReport) -> BTreeMap<Invariant, usize> {
    report.violations.iter().map(|(invariant, violations)| (*invariant, violations.len())).collect()
}

fn is_violated(verdict: &Verdict, invariants: &[Invariant]) -> bool {
    invariants.iter().any(|invariant| verdict.violated.contains_key(invariant))
}

fn build_table(verdicts: &[Verdict], invariants: &[Invariant]) -> Table {
    let mut table = Table::new();
    for verdict in verdicts {
        let mut kinds: Vec<FaultKind> = verdict.schedule.faults.iter().map(|fault| fault.kind).collect();
        kinds.sort();
        kinds.dedup();
        for kind in kinds {
            for invariant in invariants {
                let cell = table.entry((*invariant, kind)).or_default();
                cell.runs += 1;
                if verdict.violated.contains_key(invariant) {
                    cell.violations += 1;
                    cell.smallest_failing_seed.get_or_insert(verdict.seed);
                }
            }
        }
    }
    table
}

fn print(table: &Table) {
    println!("{:<28} {:<16} {:>6} {:>10}  smallest failing seed", "invariant", "fault", "runs", "violations");
    for ((invariant, kind), cell) in table {
        let seed = cell.smallest_failing_seed.map_or_else(|| "-".to_owned(), |seed| seed.to_string());
        println!(
            "{:<28} {:<16} {:>6} {:>10}  {seed}",
            invariant.name(),
            kind.name(),
            cell.runs,
            cell.violations
        );
    }
}

/// Prints the violations of a failing seed and the shortest schedule that still fails.
fn print_failure(verdict: &Verdict, invariants: &[Invariant], kinds: &[FaultKind]) {
    let seed = verdict.seed;
    let fails = |schedule: &Schedule| {
        let report = run_seed(&RunOptions { seed, schedule: schedule.clone() });
        invariants.iter().any(|invariant| report.violations.contains_key(invariant))
    };
    let broken: Vec<&str> = verdict.violated.keys().map(|invariant| invariant.name()).collect();
    println!("\nseed {seed} breaks {}", broken.join(", "));
    let names: Vec<&str> = kinds.iter().map(|kind| kind.name()).collect();
    println!("  see it: replay --seed {seed} --fault {}", names.join(","));
    let shortest = verdict.schedule.clone().shrink(fails);
    println!("  shortest schedule that still fails: {:?}", shortest.faults);
    let report = run_seed(&RunOptions { seed, schedule: shortest });
    for violation in report.violations.values().flatten().take(3) {
        println!("  {violation:?}");
    }
}

fn rows(table: &Table) -> Vec<Row> {
    let row = |(&(invariant, kind), cell): (&(Invariant, FaultKind), &Cell)| Row {
        invariant: invariant.name(),
        fault: kind.name(),
        cell: *cell,
    };
    table.iter().map(row).collect()
}
