//! Numbered events, their catalogue, metrics and log output.
