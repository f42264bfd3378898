//! The tasks of one node, so that all of them can be ended at once.

use std::future::Future;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::task::JoinSet;

/// A group of tasks. Copies share the group; dropping the last one ends the tasks.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskGroup {
    tasks: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    set: JoinSet<()>,
    closed: bool,
}

impl TaskGroup {
    /// Runs `task` in the group; does nothing once the group is ended.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut state = self.tasks.lock();
        if state.closed {
            return;
        }
        while state.set.try_join_next().is_some() {}
        state.set.spawn(task);
    }

    /// Ends all tasks at once and takes no more.
    pub(crate) fn abort_all(&self) {
        let mut state = self.tasks.lock();
        state.closed = true;
        state.set.abort_all();
    }
}
