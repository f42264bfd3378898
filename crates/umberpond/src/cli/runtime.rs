//! Runtime of the subcommands for operators.

use super::Exit;

/// Runs `task` on a single-threaded runtime.
pub(super) fn block_on(task: impl Future<Output = Exit>) -> Exit {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(task),
        Err(error) => {
            eprintln!("the runtime can't be started: {error}");
            Exit::Unreachable
        }
    }
}
