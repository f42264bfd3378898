//! Supervision of child processes. Each has a log file, is waited for by a line of its output, and is
//! signalled by its process id.

mod child;
mod scratch;

pub use child::ChildProcess;
pub use scratch::ScratchDirectory;
