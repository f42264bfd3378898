//! The overlay: roles, parents and children, transfers, and the spread of endpoint records.
//!
//! [`interface`] is the whole boundary between the core and whatever drives it: the daemon over TCP, the
//! full-stack simulation, and the scale simulation with thousands of hollow nodes in one process.

pub mod interface;
