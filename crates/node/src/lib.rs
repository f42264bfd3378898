//! The daemon: settings, and the actors and tasks that drive the decision cores.

pub mod settings;

pub use settings::NodeConfig;
