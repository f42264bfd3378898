//! The umberpond program.

fn main() {}
