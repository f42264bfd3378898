//! A cluster in one process: the real daemon with a simulated platform, back ends and callers, over an
//! in-memory network on tokio's paused clock.

mod callers;
mod chain;
mod faults;
mod layout;
mod observer;
mod operators;
mod process;
mod run;

pub use run::{RunOptions, RunReport, WARM_UP, run};
