//! Operator API: JSON over HTTP.

pub mod api;
mod bundles;
mod configuration;
mod handler;
mod response;
mod shared;
mod status;

pub use handler::{AdminHandler, TimeOfDay};

/// Maximum body size of an operator's request, in bytes; well above the size of a bundle.
pub const ADMIN_BODY_BYTES: usize = 8 * 1024 * 1024;
