//! Owner-written endpoint state, merge, drain and failure suspicion.
