//! Acceptance of submissions: one compare-and-swap step of the version chain.
