//! The full stack in one process: the real daemon, with platform, back ends and callers as stand-ins, over
//! simulated links on tokio's paused clock.

mod callers;
mod chain;
mod faults;
mod layout;
mod observer;
mod operators;
mod process;
mod run;

pub use run::{RunOptions, RunReport, WARM_UP, run};
