//! A small deterministic driver of many overlay nodes: virtual time, links with delay and cuts, restarts, and a
//! platform in small.

#![allow(dead_code, unused_imports, reason = "each test file uses another part of the driver")]

pub mod checks;
pub mod content;
pub mod control;
pub mod platform;
pub mod scenario;
pub mod settings;
pub mod world;

pub use world::{World, WorldSettings};
