//! The daemon: actors and tasks that drive the decision cores.
