//! The operators' API: JSON over HTTP.

mod answer;
pub mod api;
mod bundles;
mod configuration;
mod handler;
mod shared;
mod status;

pub use handler::{AdminHandler, TimeOfDay};

/// Longest body of an operator's request, in bytes: a bundle with room to spare.
pub const ADMIN_BODY_BYTES: usize = 8 * 1024 * 1024;
