//! The report of a demo, the checks of its invariants, and its table.

mod checks;
mod figures;
mod table;
#[cfg(test)]
mod tests;

pub use checks::broken_invariants;
pub use figures::{
    AppliedVersion, ControlFigures, DemoReport, DrainFigures, KillFigures, LatencyFigures, PhaseFigures,
    PhaseKind, PlatformFigures, StopFigures,
};
pub use table::print_table;
