//! Deterministic simulation: fault schedules, invariant checkers and the scale run.
