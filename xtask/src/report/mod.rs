//! The figures of a demo, the invariants they must keep, and the table.

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
