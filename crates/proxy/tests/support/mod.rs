//! A small mesh in memory: real proxies, scripted peers, a paused clock.
#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

pub mod caller;
pub mod mesh;
pub mod network;
pub mod peer;

pub use caller::{Answer, get, post};
pub use mesh::{Mesh, MeshBuilder};
pub use network::MemoryNetwork;
pub use peer::{Peer, Step};
