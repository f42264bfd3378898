//! The daemon: settings, and the actors and tasks that drive the decision cores.
//!
//! [`Node::start`] runs the same code in the program, over TCP, and in the simulation, over links in memory and on
//! a paused clock; [`Environment`] is the only difference.

mod activation;
pub mod admin;
mod commit_index;
mod control_listener;
mod control_node;
mod environment;
mod observer;
mod overlay;
mod own_status;
mod platform;
pub mod recording;
mod role_name;
mod running;
pub mod settings;
mod shared;
mod start;
mod tasks;

pub use control_node::ControlNode;
pub use environment::Environment;
pub use overlay::message_kind;
pub use running::RunningNode;
pub use settings::NodeConfig;
pub use shared::NodeAddresses;
pub use start::{Node, StartError};
