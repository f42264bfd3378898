//! Child processes: started with a log file each, waited for by a line of output, always ended by process id.

mod child;
mod scratch;

pub use child::ChildProcess;
pub use scratch::ScratchDirectory;
