//! Repository tasks.

fn main() {}
