//! The version chain on one node: what it holds, what it may activate, and the version floor that survives
//! restarts without a disk.
//!
//! All cores here are plain state machines: no socket, no clock, no spawn.
