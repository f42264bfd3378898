//! The scale simulation: thousands of hollow nodes (overlay cores only) in one process, in virtual time.
//!
//! The same [`umberpond_overlay::OverlayNode`] as in the daemon; sockets, the request path and the platform's
//! server are models. What the model leaves out is said in `docs/CAPACITY.md`.

mod course;
mod hollow;
mod links;
mod measure;
mod outputs;
mod platform;
mod queue;
mod report;
mod roles;
mod scenario;
mod workload;
mod world;

pub use measure::{CONVERGENCE_LIMIT, Measurement};
pub use report::{PlotError, ScaleReport, plot};
pub use roles::RoleFigures;
pub use scenario::{Scenario, Storm};
pub use world::World;

/// Runs a scenario to its end.
#[must_use]
pub fn run(scenario: &Scenario) -> ScaleReport {
    let mut world = World::new(scenario.clone());
    world.run();
    world.report()
}
