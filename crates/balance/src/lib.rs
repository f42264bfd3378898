//! Endpoint choice inside the allowed localities.
