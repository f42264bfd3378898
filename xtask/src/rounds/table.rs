//! Prints a comparison as a table.

use super::comparison::{Change, Comparison, RunPair};

/// Price changes below this share of the worth are not printed.
const MIN_PRICE_CHANGE: f64 = 0.000_5;

/// Prints the runs, the credit by kind of request, the worth lost by reason, and the mean difference.
pub fn print(comparison: &Comparison) {
    println!("{:<40} {:>8} {:>8} {:>8}  worst window after", "run", "before", "after", "change");
    for run in &comparison.runs {
        print_run(run);
    }
    for name in &comparison.unpaired {
        println!("{name:<40} in one set only, not compared");
    }
    println!("\ncredit earned by kind of request, mean");
    for (name, change) in &comparison.kinds {
        print_change(name, *change);
    }
    println!("\nworth lost by reason, mean, changes only");
    for (name, change) in &comparison.prices {
        if change.difference().abs() >= MIN_PRICE_CHANGE {
            print_change(name, *change);
        }
    }
    let worth = comparison.worth;
    println!(
        "\n{} runs: mean difference {:+.4}, standard error {:.4}",
        comparison.runs.len(),
        worth.mean,
        worth.error
    );
}

fn print_run(run: &RunPair) {
    let window = run.worst_window.as_ref().map_or_else(String::new, |window| {
        format!(
            "second {}: {:.3} of the credit; {} sent, {} in time, {} late, {} refused, {} failed",
            window.name,
            window.credit,
            window.sent,
            window.in_time,
            window.late,
            window.refused,
            window.failed
        )
    });
    let broken =
        if run.broken.is_empty() { String::new() } else { format!("  BROKEN {}", run.broken.join(", ")) };
    let Change { before, after } = run.worth;
    let change = run.worth.difference();
    println!("{:<40} {before:>8.3} {after:>8.3} {change:>+8.3}  {window}{broken}", run.name);
}

fn print_change(name: &str, change: Change) {
    let Change { before, after } = change;
    println!("{name:<40} {before:>8.4} {after:>8.4} {:>+8.4}", change.difference());
}
